package watcher

import (
	"fmt"
	"net/http"
	"time"

	"oleandercove.example/core/unit"
)

// leavingHold is how long a backend server gets no new work after the last signal
// that it is leaving, unless it restarts earlier. The host list lags and can flip
// back to an older row.
const leavingHold = 5 * time.Second

// LeavingSignals receives signals that a backend server is leaving from the components
// that call it.
type LeavingSignals interface {
	// ReportLeaving reports that the backend server refused work because it is leaving.
	ReportLeaving(id unit.BackendID, cause string)
}

// leavingSignal is the last signal that a backend server is leaving.
type leavingSignal struct {
	at time.Time
	// start identifies the instance of the engine that sent the signal.
	start string
}

// ReportLeaving stops this daemon from sending new work to the backend server. The
// daemons that poll the server read the same from its status and report it to their peers.
func (w *Watcher) ReportLeaving(id unit.BackendID, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.reports[id]; !ok {
		return
	}
	if _, ok := w.leavingSignals[id]; !ok {
		w.options.Log.Info("backend server is leaving", "backend", id, "cause", cause)
	}
	w.leavingSignals[id], w.stale[id] = leavingSignal{at: w.options.Timer.Now(), start: w.engineStart(id)}, true
}

// engineStart returns the start time that identifies the instance of an engine in
// the last snapshot, or "" if it is unknown.
func (w *Watcher) engineStart(id unit.BackendID) string {
	for _, b := range w.cached {
		if b.ID == id && b.Engine != nil {
			return b.Engine.Start
		}
	}
	return ""
}

// resolveLeaving reports whether a backend server counts as draining. A signal
// applies at once, until leavingHold has passed since the last one or until a
// restart.
func (w *Watcher) resolveLeaving(b Backend) bool {
	now, start := w.options.Timer.Now(), ""
	if b.Engine != nil {
		start = b.Engine.Start
	}
	if b.Draining {
		w.leavingSignals[b.ID] = leavingSignal{at: now, start: start}
		return true
	}
	s, ok := w.leavingSignals[b.ID]
	if !ok {
		return false
	}
	restarted := s.start != "" && start != "" && s.start != start
	if restarted || now.Sub(s.at) >= leavingHold {
		delete(w.leavingSignals, b.ID)
		return false
	}
	return true
}

// serviceHealthError returns an error for the status code of an unhealthy worker.
// A leaving worker returns 503 and still finishes its calls, which is no error.
func serviceHealthError(status int) error {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return fmt.Errorf("health check returned status %d", status)
	}
	return nil
}
