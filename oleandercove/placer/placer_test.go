package placer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/placer"
)

func holds(id string, version string, from, to unit.Layer) placer.Engine {
	return placer.Engine{
		ID: unit.BackendID(id), Healthy: true,
		Held: engine.Order{Model: "m", Version: version, From: from, To: to},
	}
}

func spare(id string) placer.Engine { return placer.Engine{ID: unit.BackendID(id), Healthy: true} }

func with(e placer.Engine, change func(e *placer.Engine)) placer.Engine {
	change(&e)
	return e
}

func running(e *placer.Engine)  { e.Running = 3 }
func draining(e *placer.Engine) { e.Draining = true }
func marked(e *placer.Engine)   { e.DrainMarked = true }
func dead(e *placer.Engine)     { e.Healthy = false }
func loading(v string, from, to unit.Layer) func(e *placer.Engine) {
	return func(e *placer.Engine) {
		e.Held = engine.Order{}
		e.Target = &engine.Order{Kind: engine.OrderLoad, Model: "m", Version: v, From: from, To: to}
	}
}

// Guards against wrong orders for one snapshot: layers that are left uncovered, and engines
// that are loaded, drained or resumed without a reason.
func TestDecide(t *testing.T) {
	model := placer.Model{Name: "m", Version: "2", Layers: 24, Replicas: 1}
	rows := []struct {
		name    string
		model   placer.Model
		engines []placer.Engine
		orders  string
		blocked string
	}{
		{"engine that holds its target gets an order", model, []placer.Engine{holds("a", "2", 0, 12), holds("b", "2", 12, 24)}, "", ""},
		{"dead stage is left uncovered", model, []placer.Engine{holds("a", "2", 0, 12), with(holds("b", "2", 12, 24), dead), spare("c")}, "c Load 2 [12,24) Uncovered;", ""},
		{"last engine of a stage is moved to another", model, []placer.Engine{holds("a", "2", 0, 12), with(holds("b", "2", 12, 24), dead)}, "", " [12,24) NoEngineFree;"},
		{"best-covered stage doesn't help", model, []placer.Engine{holds("a", "2", 0, 12), holds("b", "2", 0, 12), with(holds("c", "2", 12, 24), dead)}, "a Load 2 [12,24) Uncovered;", ""},
		{"busy engine is moved instead of an idle one", model, []placer.Engine{with(holds("a", "2", 0, 12), running), holds("b", "2", 0, 12), with(holds("c", "2", 12, 24), dead)}, "b Load 2 [12,24) Uncovered;", ""},
		{"busy engine loads without a drain", model, []placer.Engine{with(holds("a", "2", 0, 12), running), with(holds("b", "2", 0, 12), running)}, "a Drain  [0,0) Uncovered;", ""},
		{"drained engine with streams loads", model, []placer.Engine{with(with(holds("a", "2", 0, 12), running), draining), holds("b", "2", 0, 12)}, "", ""},
		{"drained engine is not resumed", model, []placer.Engine{with(holds("a", "2", 0, 24), draining), holds("b", "2", 0, 24)}, "a Resume  [0,0) NoReasonToDrain;", ""},
		{"all replicas are upgraded at once", model, []placer.Engine{holds("a", "1", 0, 24), holds("b", "1", 0, 24)}, "a Load 2 [0,24) OtherVersion;", "b [0,24) LastEngine;"},
		{"only replica is upgraded", model, []placer.Engine{holds("a", "1", 0, 24)}, "", "a [0,24) LastEngine;"},
		{"running load keeps an outdated version", model, []placer.Engine{with(spare("a"), loading("1", 0, 24)), holds("b", "2", 0, 24)}, "a Load 2 [0,24) OtherVersion;", ""},
		{"running load is ordered again", model, []placer.Engine{with(spare("a"), loading("2", 0, 24)), spare("b")}, "", ""},
		{"drain mark is ignored or the stage not replaced", model, []placer.Engine{with(holds("a", "2", 0, 24), marked), spare("b")}, "a Drain  [0,0) DrainMark;b Load 2 [0,24) Uncovered;", ""},
		{"marked engine is resumed", model, []placer.Engine{with(with(holds("a", "2", 0, 24), marked), draining), holds("b", "2", 0, 24)}, "", ""},
		{"too many loads at once", placer.Model{Name: "m", Layers: 24, Replicas: 4}, []placer.Engine{holds("a", "", 0, 24), spare("b"), spare("c"), spare("d")}, "b Load  [0,24) TooFewReplicas;c Load  [0,24) TooFewReplicas;", ""},
		{"model without replicas is managed", placer.Model{Name: "m", Layers: 24}, []placer.Engine{holds("a", "", 0, 12), spare("b")}, "", ""},
		{"layers don't fit in the memory", model, []placer.Engine{with(spare("a"), func(e *placer.Engine) { e.MaxLayers = 12 }), with(spare("b"), func(e *placer.Engine) { e.MaxLayers = 12 })}, "a Load 2 [0,12) Uncovered;b Load 2 [12,24) Uncovered;", ""},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			p := placer.Decide(placer.Input{Models: []placer.Model{r.model}, Engines: r.engines, MaxLoads: 2})
			orders, blocked := "", ""
			for _, d := range p.Decisions {
				orders += fmt.Sprintf("%s %s %s [%d,%d) %s;", d.Backend, d.Order.Kind, d.Order.Version, d.Order.From, d.Order.To, d.Cause)
			}
			for _, b := range p.Blocked {
				blocked += fmt.Sprintf("%s [%d,%d) %s;", b.Backend, b.Target.From, b.Target.To, b.Cause)
			}
			is.Equal(orders, r.orders)
			is.Equal(blocked, r.blocked)
		})
	}
}

// fleet simulates engines that follow orders.
type fleet struct{ in placer.Input }

func (f *fleet) covered() map[string]bool {
	out := map[string]bool{}
	for _, e := range f.in.Engines {
		if e.Healthy && !e.Leaving && !e.Draining && e.Target == nil {
			for l := e.Held.From; l < e.Held.To; l++ {
				out[fmt.Sprint(e.Held.Model, "/", l)] = true
			}
		}
	}
	return out
}

func (f *fleet) applyOrder(t *rapid.T, d placer.Decision) {
	for i := range f.in.Engines {
		e := &f.in.Engines[i]
		if e.ID != d.Backend {
			continue
		}
		switch d.Order.Kind {
		case engine.OrderDrain:
			e.Draining = true
		case engine.OrderResume:
			e.Draining = false
		case engine.OrderLoad:
			if e.Running > 0 || !e.Healthy {
				t.Fatalf("%s must load with %d streams, healthy %v", e.ID, e.Running, e.Healthy)
			}
			o := d.Order
			e.Target, e.Held = &o, engine.Order{}
		}
	}
}

// applyPlan applies one plan and returns the number of its decisions. It fails if a decision
// other than a drain mark uncovers a layer.
func (f *fleet) applyPlan(t *rapid.T) int {
	before := f.covered()
	p := placer.Decide(f.in)
	for _, d := range p.Decisions {
		f.applyOrder(t, d)
		if d.Cause == placer.CauseDrainMark {
			before = f.covered()
		}
	}
	after := f.covered()
	for l := range before {
		if !after[l] {
			t.Fatalf("layer %s is not covered any more after %+v", l, p.Decisions)
		}
	}
	loads := 0
	for _, e := range f.in.Engines {
		if e.Target != nil && e.Healthy {
			loads++
		}
	}
	if loads > f.in.MaxLoads+f.returnedLoads() {
		t.Fatalf("%d loads at once", loads)
	}
	return len(p.Decisions)
}

// returnedLoads counts the loads on engines that became unhealthy after their last load ended.
func (f *fleet) returnedLoads() int {
	n := 0
	for _, e := range f.in.Engines {
		if e.Target != nil && e.DrainCanceled {
			n++
		}
	}
	return n
}

func (f *fleet) finishLoads() {
	for i := range f.in.Engines {
		if e := &f.in.Engines[i]; e.Target != nil {
			e.Held, e.Target, e.DrainCanceled = *e.Target, nil, false
		}
	}
}

func (f *fleet) injectEvent(t *rapid.T) {
	e := &f.in.Engines[rapid.IntRange(0, len(f.in.Engines)-1).Draw(t, "engine")]
	m := &f.in.Models[rapid.IntRange(0, len(f.in.Models)-1).Draw(t, "model")]
	switch rapid.SampledFrom([]string{"die", "live", "mark", "unmark", "work", "rest", "edit", "scale", "loaded"}).Draw(t, "event") {
	case "die":
		e.Healthy = false
		e.DrainCanceled = true // the engine may return with its load
	case "live":
		e.Healthy = true
	case "mark":
		e.DrainMarked = true
	case "unmark":
		e.DrainMarked = false
	case "work":
		if e.Target == nil && !e.Draining {
			e.Running = 2
		}
	case "rest":
		e.Running = 0
	case "edit":
		m.Version = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version")
	case "scale":
		m.Replicas = rapid.IntRange(1, 3).Draw(t, "replicas")
	case "loaded":
		f.finishLoads()
	}
}

// Guards against layers that a decision uncovers, too many concurrent loads, loads on engines
// with running streams, and plans that never converge.
func TestPlacementProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{placer.Input{MaxLoads: rapid.IntRange(1, 3).Draw(t, "loads")}}
		for i := range rapid.IntRange(1, 2).Draw(t, "models") {
			f.in.Models = append(f.in.Models, placer.Model{
				Name: unit.EntryName(fmt.Sprint("m", i)), Version: "1", Layers: 12, Replicas: rapid.IntRange(1, 3).Draw(t, "replicas"),
			})
		}
		for i := range rapid.IntRange(1, 9).Draw(t, "engines") {
			e := spare(fmt.Sprint("e", i))
			e.MaxLayers = unit.Layer(rapid.SampledFrom([]int{0, 4, 6, 12}).Draw(t, "memory"))
			f.in.Engines = append(f.in.Engines, e)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f.injectEvent(t)
			f.applyPlan(t)
		}
		for i := range f.in.Engines {
			f.in.Engines[i].Running, f.in.Engines[i].Healthy = 0, true
		}
		for range 60 {
			f.finishLoads()
			if f.applyPlan(t) == 0 {
				return
			}
		}
		t.Fatalf("plans don't converge: %+v", placer.Decide(f.in))
	})
}
