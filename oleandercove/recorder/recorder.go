// Package recorder keeps the decisions about each request with their causes, in a
// bounded journal in memory.
//
// Usage:
//
//	j := recorder.New(recorder.Options{Host: "entry-1", Capacity: 10000, Timer: t})
//	j.Record(recorder.Event{Request: r.ID, Part: "planner", Decision: "Chain"})
package recorder

import (
	"sync"
	"time"

	"oleandercove.example/core/clock"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

// Event is one decision with its cause.
type Event struct {
	At    time.Time
	Stamp clock.Stamp
	Host  unit.HostID
	// Request is the id of a request, or a BackendSubject or EntrySubject.
	Request unit.RequestID
	// Part names the part of the daemon that decided.
	Part     string
	Decision string
	Cause    string
}

// Recorder stores events.
type Recorder interface {
	// Record stores an event and stamps it with host and time.
	Record(e Event)
	// Explain returns the events of a request or subject, oldest first.
	Explain(id unit.RequestID) []Event
	// Recent returns the newest n events, oldest first.
	Recent(n int) []Event
}

// Options configures a Journal.
type Options struct {
	Host     unit.HostID
	Capacity int
	Timer    timer.Service
	// Clock stamps the events; nil creates a new clock.
	Clock *clock.Clock
}

// Journal is the default implementation of Recorder: a ring buffer in memory.
type Journal struct {
	options Options
	mu      sync.Mutex
	ring    []Event
	// next is the index of the oldest event once the ring is full.
	next int
}

// New returns an empty Journal.
func New(o Options) *Journal {
	if o.Clock == nil {
		o.Clock = clock.New(o.Timer)
	}
	return &Journal{options: o, ring: make([]Event, 0, max(1, o.Capacity))}
}

// Record stores an event, in place of the oldest one when the ring is full.
func (j *Journal) Record(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	// Stamped under the lock, so that the ring is in the order of the stamps.
	e.At, e.Stamp, e.Host = j.options.Timer.Now(), j.options.Clock.Now(), j.options.Host
	if len(j.ring) < cap(j.ring) {
		j.ring = append(j.ring, e)
		return
	}
	j.ring[j.next] = e
	j.next = (j.next + 1) % len(j.ring)
}

// Explain returns the events of a request or subject, oldest first.
func (j *Journal) Explain(id unit.RequestID) []Event {
	var out []Event
	for _, e := range j.Recent(cap(j.ring)) {
		if e.Request == id {
			out = append(out, e)
		}
	}
	return out
}

// Recent returns the newest n events, oldest first.
func (j *Journal) Recent(n int) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := append(append([]Event{}, j.ring[j.next:]...), j.ring[:j.next]...)
	return all[max(0, len(all)-n):]
}
