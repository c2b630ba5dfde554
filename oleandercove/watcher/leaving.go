package watcher

import (
	"fmt"
	"net/http"
	"time"

	"oleandercove.example/core/unit"
)

// signTime is how long row and status must both show no sign of leaving before
// a backend server without a restart gets new work again. The host list lags
// and can flip back to an older row.
const signTime = 5 * time.Second

// Signs takes signs that a backend server leaves from the parts that call it.
type Signs interface {
	// Leaving reports that the backend server refused work because it leaves.
	Leaving(id unit.BackendID, cause string)
}

// sign is the last sign that a backend server leaves.
type sign struct {
	at time.Time
	// start names the run of the engine that the sign concerned.
	start string
}

// Leaving hides the backend server from new work of this daemon. The daemons
// that poll it see the sign in its status and tell the others.
func (w *Watcher) Leaving(id unit.BackendID, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.reports[id]; !ok {
		return
	}
	if _, ok := w.signs[id]; !ok {
		w.options.Log.Info("backend server leaves", "backend", id, "cause", cause)
	}
	w.signs[id], w.stale[id] = sign{at: w.options.Timer.Now(), start: w.start(id)}, true
}

// start returns the run of an engine in the last snapshot.
func (w *Watcher) start(id unit.BackendID) string {
	for _, b := range w.cached {
		if b.ID == id && b.Engine != nil {
			return b.Engine.Start
		}
	}
	return ""
}

// settleSign applies a sign at once and withdraws it after signTime without
// one, or after a restart.
func (w *Watcher) settleSign(b Backend) bool {
	now, start := w.options.Timer.Now(), ""
	if b.Engine != nil {
		start = b.Engine.Start
	}
	if b.Draining {
		w.signs[b.ID] = sign{at: now, start: start}
		return true
	}
	s, ok := w.signs[b.ID]
	if !ok {
		return false
	}
	restarted := s.start != "" && start != "" && s.start != start
	if restarted || now.Sub(s.at) >= signTime {
		delete(w.signs, b.ID)
		return false
	}
	return true
}

// serviceFault returns an error for a health check that shows a broken worker.
// Status 503 is the answer of a leaving worker, which still finishes its calls.
func serviceFault(status int) error {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return fmt.Errorf("health check answered status %d", status)
	}
	return nil
}
