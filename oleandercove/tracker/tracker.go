// Package tracker counts the work in flight on each backend server. It counts the
// work of this daemon exactly and estimates the work of other daemons from the load
// that the backend server reports.
//
// Usage:
//
//	done := t.Start("engine-1")
//	defer done()
//	t.SetReported("engine-1", status.Load.Running, seen)
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
	// server's reports. Reports lag by about 200 ms, so more frequent samples would
	// repeat the same report.
	reportInterval = 50 * time.Millisecond
	// smoothing is the weight of a new sample in the moving average. A sample is
	// noisy, because it compares a lagging report with this daemon's current work.
	smoothing = 0.3
)

// Tracker counts the work in flight on backend servers.
type Tracker struct {
	mu    sync.RWMutex
	loads map[unit.BackendID]*backendLoad
}

type backendLoad struct {
	// own is the work of this daemon.
	own atomic.Int64

	mu sync.Mutex
	// others is the estimated work of other daemons.
	others float64
	// sampledAt is the time of the last report that was used.
	sampledAt time.Time
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{loads: map[unit.BackendID]*backendLoad{}} }

func (t *Tracker) load(b unit.BackendID) *backendLoad {
	t.mu.RLock()
	c := t.loads[b]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c = t.loads[b]; c == nil {
		c = &backendLoad{}
		t.loads[b] = c
	}
	return c
}

// Start counts one request or stream as in flight until done is called.
func (t *Tracker) Start(b unit.BackendID) (done func()) {
	c := t.load(b)
	c.own.Add(1)
	return sync.OnceFunc(func() { c.own.Add(-1) })
}

// InFlight returns the number of this daemon's requests and streams in flight on a
// backend server.
func (t *Tracker) InFlight(b unit.BackendID) int { return int(t.load(b).own.Load()) }

// SetReported updates the estimate from the number of running streams that a backend
// server reported at a time. Reports that are older than the last one or follow it
// within reportInterval are ignored.
func (t *Tracker) SetReported(b unit.BackendID, running int, at time.Time) {
	c := t.load(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Sub(c.sampledAt) < reportInterval {
		return
	}
	sample := max(0, float64(running)-float64(c.own.Load()))
	if c.sampledAt.IsZero() {
		c.others = sample
	}
	c.sampledAt = at
	c.others += smoothing * (sample - c.others)
}

// Load returns the estimated work of all daemons on a backend server.
func (t *Tracker) Load(b unit.BackendID) int {
	c := t.load(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.own.Load()) + int(c.others+0.5)
}
