// Package placer decides which engine holds which layers of which model.
//
// A plan is a pure function of the catalogue and the engines' statuses. It
// states only orders that are missing now and safe now; the next plan is made
// from the statuses that follow. What holds its target stays. A model without
// Replicas is not managed: its engines stay as they are.
//
// Usage:
//
//	p := placer.Decide(placer.Input{Models: models, Engines: engines, MaxLoads: 2})
//	for _, d := range p.Decisions {
//	}
package placer

import (
	"cmp"
	"slices"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// DefaultMaxLoads bounds the engines that load weights at once, because they
// share the rate-limited weight store.
const DefaultMaxLoads = 2

// Model is what the catalogue wants of a model.
type Model struct {
	Name     unit.EntryName
	Version  string
	Adapters []string
	Layers   unit.Layer
	Replicas int
}

// Engine is what is known of an engine.
type Engine struct {
	ID unit.BackendID
	// Held is the model, version, adapters and layers in the memory.
	Held engine.Order
	// Target is a load that was ordered or is running; nil means none.
	Target    *engine.Order
	MaxLayers unit.Layer
	Running   int
	Healthy   bool
	// Draining means that the engine takes no new streams.
	Draining bool
	// Leaving means that the engine itself shuts down.
	Leaving bool
	// Marked means that operators want the engine drained.
	Marked bool
	// Unmarked means that operators canceled a drain of the engine.
	Unmarked bool
}

// Input is a snapshot of the catalogue and the engines.
type Input struct {
	Models   []Model
	Engines  []Engine
	MaxLoads int
}

// Cause says why a plan holds an order or lacks one.
type Cause string

const (
	// CauseUncovered means that no engine holds the layers.
	CauseUncovered Cause = "Uncovered"
	// CauseReplicas means that too few engines hold the layers.
	CauseReplicas Cause = "TooFewReplicas"
	// CauseVersion means that the engine holds another version or adapters.
	CauseVersion Cause = "OtherVersion"
	// CauseMark means that operators want the engine drained.
	CauseMark Cause = "DrainMark"
	// CauseNoReason means that nothing wants the engine drained any more.
	CauseNoReason Cause = "NoReasonToDrain"
	// CauseNoEngine means that no engine can take the layers without leaving
	// others uncovered.
	CauseNoEngine Cause = "NoEngineFree"
	// CauseLastEngine means that no other engine covers the layers meanwhile.
	CauseLastEngine Cause = "LastEngine"
)

// Decision is an order for one engine; the fencing number is not set.
type Decision struct {
	Backend unit.BackendID
	Order   engine.Order
	Cause   Cause
}

// Blocked is a wish that can't be met safely now.
type Blocked struct {
	Backend unit.BackendID
	Target  engine.Order
	Cause   Cause
}

// Plan is the result of a decision.
type Plan struct {
	Decisions []Decision
	Blocked   []Blocked
}

// planning is a snapshot on which decisions take effect at once.
type planning struct {
	input   Input
	engines []*Engine
	models  map[unit.EntryName]Model
	// loads counts the engines that load or are drained for it, targets only
	// those that load.
	loads, targets int
	// busy are engines with a decision, or that wait for their streams.
	busy map[unit.BackendID]bool
	plan Plan
}

// Decide returns the orders that are missing now.
func Decide(in Input) Plan {
	p := &planning{input: in, models: map[unit.EntryName]Model{}, busy: map[unit.BackendID]bool{}}
	for _, e := range in.Engines {
		if e.Healthy && !e.Leaving {
			p.engines = append(p.engines, &e)
		}
	}
	slices.SortFunc(p.engines, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range in.Models {
		p.models[m.Name] = m
	}
	p.followMarks()
	for _, e := range p.engines {
		if p.counts(e) {
			p.loads++
		}
		if e.Target != nil {
			p.targets++
		}
	}
	p.redirect()
	p.fill()
	p.upgrade()
	p.resume()
	return p.plan
}

// counts tells whether an engine loads or is drained for a load.
func (p *planning) counts(e *Engine) bool {
	return e.Target != nil || (e.Draining && !e.Marked && p.managed(e.Held.Model))
}

// allowed tells whether one more engine may be changed; one that is drained for
// a load has its place already.
func (p *planning) allowed(e *Engine) bool {
	limit := max(1, p.input.MaxLoads)
	return p.targets < limit && (p.counts(e) || p.loads < limit)
}

func (p *planning) order(e *Engine, o engine.Order, c Cause) {
	p.busy[e.ID] = true
	p.plan.Decisions = append(p.plan.Decisions, Decision{Backend: e.ID, Order: o, Cause: c})
}

// followMarks drains the engines that operators marked.
func (p *planning) followMarks() {
	for _, e := range p.engines {
		if e.Marked && !e.Draining {
			p.order(e, engine.Order{Kind: engine.OrderDrain}, CauseMark)
			e.Draining = true
		}
	}
}

// resume lets drained engines back in that nothing wants drained any more.
func (p *planning) resume() {
	for _, e := range p.engines {
		managed := p.managed(e.Held.Model)
		if e.Draining && !e.Marked && e.Target == nil && !p.busy[e.ID] && (managed || e.Unmarked) {
			p.order(e, engine.Order{Kind: engine.OrderResume}, CauseNoReason)
		}
	}
}

func (p *planning) managed(name unit.EntryName) bool {
	m, ok := p.models[name]
	return ok && m.Replicas > 0
}

// change moves an engine one step towards a target: it is drained first and
// loads once it runs no stream. It returns false if no load is allowed now.
func (p *planning) change(e *Engine, target engine.Order, c Cause) bool {
	if !p.allowed(e) {
		return false
	}
	if !p.counts(e) {
		p.loads++
	}
	switch {
	case e.Running == 0:
		p.targets++
		p.order(e, target, c)
		e.Target = &target
	case !e.Draining:
		p.order(e, engine.Order{Kind: engine.OrderDrain}, c)
	default:
		p.busy[e.ID] = true
	}
	e.Draining = true
	return true
}

// serves tells whether an engine takes new streams of a model at a layer.
func (e *Engine) serves(model unit.EntryName, l unit.Layer) bool {
	return !e.Draining && !e.Marked && e.Target == nil && e.Held.Model == model && e.Held.From <= l && l < e.Held.To
}

// removable tells whether other engines cover all layers of the engine.
func (p *planning) removable(e *Engine) bool {
	if p.input.known(e.Held.Model) {
		for l := e.Held.From; l < e.Held.To; l++ {
			if !slices.ContainsFunc(p.engines, func(o *Engine) bool { return o != e && o.serves(e.Held.Model, l) }) {
				return false
			}
		}
	}
	return true
}

func (in *Input) known(name unit.EntryName) bool {
	return slices.ContainsFunc(in.Models, func(m Model) bool { return m.Name == name })
}

// idle tells whether an engine holds nothing that the catalogue lists.
func (p *planning) idle(e *Engine) bool {
	return e.Held.From >= e.Held.To || !p.input.known(e.Held.Model)
}

// placed is what the engine holds once its load has ended.
func (e *Engine) placed() engine.Order {
	if e.Target != nil {
		return *e.Target
	}
	return e.Held
}
