// Package tracker counts the work in flight on each backend server: the work
// of this daemon at once, and that of other daemons from the load that the
// backend server reports.
//
// Usage:
//
//	done := t.Start("engine-1")
//	defer done()
//	t.Report("engine-1", status.Load.Running, seen)
//	n := t.Load("engine-1")
package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"oleandercove.example/core/unit"
)

const (
	// reportInterval is the shortest time between two samples of a backend
	// server's report; reports lag by about 200 ms, so more of them repeat.
	reportInterval = 50 * time.Millisecond
	// smoothing is the weight of a new sample. A sample compares a lagging
	// report with the present work of this daemon and is noisy.
	smoothing = 0.3
)

// Tracker counts work in flight.
type Tracker struct {
	mu     sync.RWMutex
	counts map[unit.BackendID]*count
}

type count struct {
	own atomic.Int64

	mu sync.Mutex
	// others estimates the work of other daemons.
	others float64
	seen   time.Time
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{counts: map[unit.BackendID]*count{}} }

func (t *Tracker) counter(b unit.BackendID) *count {
	t.mu.RLock()
	c := t.counts[b]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c = t.counts[b]; c == nil {
		c = &count{}
		t.counts[b] = c
	}
	return c
}

// Start counts one piece of work until done is called.
func (t *Tracker) Start(b unit.BackendID) (done func()) {
	c := t.counter(b)
	c.own.Add(1)
	return sync.OnceFunc(func() { c.own.Add(-1) })
}

// InFlight returns this daemon's work in flight on a backend server.
func (t *Tracker) InFlight(b unit.BackendID) int { return int(t.counter(b).own.Load()) }

// Report takes over the number of streams that a backend server said to hold
// at a time. Older and too frequent reports are ignored.
func (t *Tracker) Report(b unit.BackendID, running int, at time.Time) {
	c := t.counter(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Sub(c.seen) < reportInterval {
		return
	}
	sample := max(0, float64(running)-float64(c.own.Load()))
	if c.seen.IsZero() {
		c.others = sample
	}
	c.seen = at
	c.others += smoothing * (sample - c.others)
}

// Load returns the work of all daemons on a backend server, as far as known.
func (t *Tracker) Load(b unit.BackendID) int {
	c := t.counter(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.own.Load()) + int(c.others+0.5)
}
