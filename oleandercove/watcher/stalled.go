package watcher

import (
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

const (
	// stallLimit is the minimum time without an iteration after which an engine
	// with work counts as stalled.
	stallLimit = time.Second
	// stallIterations is the same limit in the engine's own iterations, for slow
	// engines.
	stallIterations = 20
	// stallHold is how long a stalled engine still counts as stalled after its last
	// status with work. Without work it can't show that it runs again.
	stallHold = 10 * time.Second
)

// engineProgress is the progress of an engine's iterations, from its status calls.
type engineProgress struct {
	start      string
	iterations uint64
	// unchangedSince is the time of the first status with work and this number of
	// iterations; zero for an engine without work.
	unchangedSince time.Time
	// lastBusy is the time of the last status with work.
	lastBusy time.Time
	// stalled is true while an engine responds but runs no work.
	stalled bool
}

// update applies a status; nil means that the status call failed. An overloaded
// engine continues its iterations and is never stalled, however long its queue is.
func (p *engineProgress) update(s *engine.Status, now time.Time) {
	if s == nil {
		return
	}
	switch {
	case s.Start != p.start || s.Iterations != p.iterations:
		*p = engineProgress{start: s.Start, iterations: s.Iterations}
		if s.Pending > 0 {
			p.unchangedSince, p.lastBusy = now, now
		}
	case s.Pending == 0:
		p.unchangedSince = time.Time{}
		p.stalled = p.stalled && now.Sub(p.lastBusy) < stallHold
	default:
		if p.unchangedSince.IsZero() {
			p.unchangedSince = now
		}
		p.lastBusy = now
		iteration := time.Duration(s.TokenTimeMicros) * time.Microsecond
		p.stalled = p.stalled || now.Sub(p.unchangedSince) >= max(stallLimit, stallIterations*iteration)
	}
}

// updateStalled updates the progress of an engine from a status call and reports
// whether it is stalled. The caller holds w.mu.
func (w *Watcher) updateStalled(id unit.BackendID, s *engine.Status, now time.Time) bool {
	p := w.progress[id]
	p.update(s, now)
	w.progress[id] = p
	return s != nil && p.stalled
}

// deriveStalled sets Stalled from the reports of all daemons that poll. An engine
// is stalled if a report shows it as unhealthy although it returned a status, and no
// report shows it as healthy.
func (b *Backend) deriveStalled(reports []report) {
	b.Stalled = false
	for _, r := range reports {
		if n := r.backend; !b.Healthy && !n.Healthy && n.Engine != nil && n.Address == b.Address {
			b.Stalled, b.Engine, b.Seen = true, n.Engine, n.Seen
		}
	}
}
