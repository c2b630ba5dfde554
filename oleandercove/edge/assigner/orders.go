package assigner

import (
	"context"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/oleandercove/edge/partitioner"
)

// order is a range that an engine was ordered to hold.
type order struct {
	instance backend.Incarnation
	layers   backend.Layers
	// until is when the order is forgotten, even if the registry doesn't show it.
	until time.Time
}

// currentLayers returns the layers that an engine holds or was ordered to hold, and
// whether an order to it is not yet visible in the registry.
func (a *Assigner) currentLayers(x backend.Server, now time.Time) (backend.Layers, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, ok := a.orders[x.ID]
	if !ok {
		return x.Layers, false
	}
	if o.instance != x.Born || x.Layers == o.layers || now.After(o.until) {
		delete(a.orders, x.ID)
		return x.Layers, false
	}
	return o.layers, true
}

// sendOrder sends one order if this daemon still holds the lease.
func (a *Assigner) sendOrder(ctx context.Context, t partitioner.Target) {
	x, ok := a.Directory.Servers().Get(t.Engine)
	if !ok || !a.HoldsLease() {
		return
	}
	report, err := a.Prober.Report(ctx, x.ID, x.Address)
	if err != nil {
		a.Log.Debug("order not sent, engine does not report", "engine", x.ID, "layers", t.Layers, "err", err)
		return
	}
	if report.Busy || report.Born != x.Born || !a.HoldsLease() {
		a.Log.Debug("order not sent", "engine", x.ID, "layers", t.Layers, "busy", report.Busy, "restarted", report.Born != x.Born)
		return
	}
	result, err := a.Engines.Place(ctx, x.Address, backend.Placement{Layers: t.Layers, Expect: report.Sequence})
	a.Log.Info("engine ordered to hold layers", "engine", x.ID, "card", x.Card, "held", report.Layers, "layers", t.Layers,
		"sequence", report.Sequence, "result", result, "err", err)
	if result == backend.OrderBegun || result == backend.OrderDone {
		a.trackOrder(x, t.Layers)
	}
}

// trackOrder keeps an order until the registry shows it, because loading takes time and
// the registry lags.
func (a *Assigner) trackOrder(x backend.Server, l backend.Layers) {
	load := time.Duration(0)
	if t := a.Directory.Table(); t != nil {
		if s := t.Service(x.Service); s != nil && s.Engine.Chained() {
			load = s.Engine.LoadTime * time.Duration(l.Len()) / time.Duration(s.Engine.Layers)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orders[x.ID] = order{instance: x.Born, layers: l, until: a.Timer.Now().Add(2*load + registryLag)}
}
