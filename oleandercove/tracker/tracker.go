// Package tracker counts the work in flight on each backend server.
//
// Usage:
//
//	done := t.Start("engine-1")
//	defer done()
package tracker

import (
	"sync"
	"sync/atomic"

	"oleandercove.example/core/unit"
)

// Tracker counts work in flight.
type Tracker struct {
	mu     sync.RWMutex
	counts map[unit.BackendID]*atomic.Int64
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{counts: map[unit.BackendID]*atomic.Int64{}} }

func (t *Tracker) counter(b unit.BackendID) *atomic.Int64 {
	t.mu.RLock()
	c := t.counts[b]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c = t.counts[b]; c == nil {
		c = &atomic.Int64{}
		t.counts[b] = c
	}
	return c
}

// Start counts one piece of work until done is called.
func (t *Tracker) Start(b unit.BackendID) (done func()) {
	c := t.counter(b)
	c.Add(1)
	return sync.OnceFunc(func() { c.Add(-1) })
}

// InFlight returns the work in flight on a backend server.
func (t *Tracker) InFlight(b unit.BackendID) int { return int(t.counter(b).Load()) }
