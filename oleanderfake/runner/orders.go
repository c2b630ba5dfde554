package runner

import (
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/engine"
	"oleandercove.example/oleanderfake/responder"
)

// handleOrder applies the target state of an order. Unless fencing is ignored, it refuses
// an order whose fencing number is lower than the highest one seen.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var m engine.Order
	if !responder.Read(w, r, &m) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	record := engine.OrderRecord{Backend: e.options.Backend, At: time.Now(), Outcome: engine.OrderApplied, Order: m}
	if !e.options.IgnoreFence && m.Fence < e.fence {
		record.Outcome = engine.OrderStale
		e.orders.Append(record)
		http.Error(w, "order carries an old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.orders.Append(record)
	e.fence = max(e.fence, m.Fence)
	switch m.Kind {
	case engine.OrderDrain:
		e.draining = true
	case engine.OrderResume:
		e.draining = e.leaving
	case engine.OrderLoad:
		e.loadTarget(m)
	}
	w.WriteHeader(http.StatusNoContent)
}

// loadTarget loads the target state of an order, unless the engine holds or loads it
// already. A load drops all streams. Weights are read from a rate-limited store, so a load
// lasts LoadTime; the old layers are removed from the memory before the load. The caller
// holds the lock.
func (e *Engine) loadTarget(m engine.Order) {
	current := engine.Order{Model: e.model, Version: e.version, Adapters: e.adapters, From: e.from, To: e.to}
	if e.loading != nil {
		current = *e.loading
	}
	if current.Model == m.Model && current.Version == m.Version && current.From == m.From && current.To == m.To && slices.Equal(current.Adapters, m.Adapters) {
		return
	}
	e.streams.clear()
	if e.options.LoadTime <= 0 {
		e.setWeights(m)
		return
	}
	e.setWeights(engine.Order{})
	e.loading = &m
	time.AfterFunc(e.options.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.loading == &m { // a newer order may have replaced this one
			e.setWeights(m)
		}
	})
}

// setWeights sets the weights that the engine holds; the caller holds the lock.
func (e *Engine) setWeights(m engine.Order) {
	e.loading = nil
	e.model, e.version, e.adapters, e.from, e.to = m.Model, m.Version, m.Adapters, m.From, m.To
}

// Drain makes the engine refuse new streams until it exits; a resume order doesn't
// cancel this.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining, e.leaving = true, true
	if e.options.DrainLimit > 0 {
		e.drainEnd = time.Now().Add(e.options.DrainLimit)
	}
}
