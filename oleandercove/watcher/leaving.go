package watcher

import (
	"fmt"
	"net/http"
	"time"

	"oleandercove.example/core/unit"
)

// settleTime is how long row and status must both show no sign of leaving
// before a backend server without a restart gets new work again. The host list
// lags and can flip back to an older row.
const settleTime = 5 * time.Second

// Signs takes signs that a backend server leaves from the parts that call it.
type Signs interface {
	// Leaving reports that the backend server refused work because it leaves.
	Leaving(id unit.BackendID, cause string)
}

// Leaving hides the backend server from new work.
func (w *Watcher) Leaving(id unit.BackendID, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, ok := w.backends[id]
	if !ok {
		return
	}
	if !b.Draining {
		w.options.Log.Info("backend server leaves", "backend", id, "cause", cause)
	}
	b.settle(w.options.Timer.Now(), true)
	w.backends[id] = b
}

// settle applies a sign at once and withdraws it only after settleTime.
func (b *Backend) settle(now time.Time, sign bool) {
	switch {
	case sign:
		b.Draining, b.signed = true, now
	case b.Draining && now.Sub(b.signed) >= settleTime:
		b.Draining = false
	}
}

// serviceFault returns an error for a health check that shows a broken worker.
// Status 503 is the answer of a leaving worker, which still finishes its calls.
func serviceFault(status int) error {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return fmt.Errorf("health check answered status %d", status)
	}
	return nil
}
