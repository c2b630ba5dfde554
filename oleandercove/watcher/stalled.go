package watcher

import (
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

const (
	// stallLimit is the least time without an iteration after which an engine
	// with work counts as stalled.
	stallLimit = time.Second
	// stallIterations is the same in the engine's own iterations, for slow ones.
	stallIterations = 20
	// stallHold is how long a stalled engine without work stays hidden. Without
	// work it can't show that it runs again.
	stallHold = 10 * time.Second
)

// work is what the status calls showed of an engine's iterations.
type work struct {
	start      string
	iterations uint64
	// since is the first status with work and this number of iterations; zero
	// for an engine without work.
	since time.Time
	// last is the last status with work.
	last time.Time
	// stalled is true while an engine answers but runs no work.
	stalled bool
}

// progress updates the state from a status; nil means that none arrived. An
// overloaded engine goes on with its iterations and is never stalled, however
// long its queue is.
func (w *work) progress(s *engine.Status, now time.Time) {
	if s == nil {
		return
	}
	switch {
	case s.Start != w.start || s.Iterations != w.iterations:
		*w = work{start: s.Start, iterations: s.Iterations}
		if s.Pending > 0 {
			w.since, w.last = now, now
		}
	case s.Pending == 0:
		w.since = time.Time{}
		w.stalled = w.stalled && now.Sub(w.last) < stallHold
	default:
		if w.since.IsZero() {
			w.since = now
		}
		w.last = now
		iteration := time.Duration(s.TokenTimeMicros) * time.Microsecond
		w.stalled = w.stalled || now.Sub(w.since) >= max(stallLimit, stallIterations*iteration)
	}
}

// stalled updates the state of an engine from a status call; w.mu is held.
func (w *Watcher) stalled(id unit.BackendID, s *engine.Status, now time.Time) bool {
	x := w.work[id]
	x.progress(s, now)
	w.work[id] = x
	return s != nil && x.stalled
}

// stall derives Stalled from the reports of all daemons that poll. An engine
// that a report calls unhealthy although it answered with a status is stalled;
// it stays usable while another report calls it healthy.
func (b *Backend) stall(reports []report) {
	b.Stalled = false
	for _, r := range reports {
		if n := r.backend; !b.Healthy && !n.Healthy && n.Engine != nil && n.Address == b.Address {
			b.Stalled, b.Engine, b.Seen = true, n.Engine, n.Seen
		}
	}
}
