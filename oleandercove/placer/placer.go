// Package placer decides which engine holds which layers of which model.
//
// A plan is a pure function of the catalogue and the engines' statuses:
//
//   - It contains only orders that are missing now and safe now; the next plan is made from
//     the statuses that result.
//   - An engine that holds its target gets no order.
//   - A model without Replicas is not managed: its engines stay as they are.
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

// DefaultMaxLoads bounds the engines that load weights at the same time, because they share
// the rate-limited weight store.
const DefaultMaxLoads = 2

// Model is the catalogue's specification of a model.
type Model struct {
	Name     unit.EntryName
	Version  string
	Adapters []string
	Layers   unit.Layer
	Replicas int
}

// Engine is the known state of an engine.
type Engine struct {
	ID unit.BackendID
	// Held is the model, version, adapters and layers in the engine's memory.
	Held engine.Order
	// Target is a load that is ordered or running; nil means none.
	Target *engine.Order
	// MaxLayers is the number of layers that fit in the engine's memory; 0 means no limit.
	MaxLayers unit.Layer
	// Running counts the streams on the engine.
	Running int
	Healthy bool
	// Draining means that the engine accepts no new streams.
	Draining bool
	// Leaving means that the engine is shutting down.
	Leaving bool
	// DrainMarked means that an operator's drain mark applies to the engine.
	DrainMarked bool
	// DrainCanceled means that an operator canceled a drain of the engine.
	DrainCanceled bool
}

// Input is a snapshot of the catalogue and the engines.
type Input struct {
	Models  []Model
	Engines []Engine
	// MaxLoads bounds the concurrent loads; less than 1 means 1.
	MaxLoads int
}

// Cause states why a plan contains or blocks an order.
type Cause string

const (
	// CauseUncovered means that no engine holds the layers.
	CauseUncovered Cause = "Uncovered"
	// CauseReplicas means that too few engines hold the layers.
	CauseReplicas Cause = "TooFewReplicas"
	// CauseVersion means that the engine holds another version or adapters.
	CauseVersion Cause = "OtherVersion"
	// CauseDrainMark means that an operator's drain mark applies to the engine.
	CauseDrainMark Cause = "DrainMark"
	// CauseNoReason means that there is no longer a reason to drain the engine.
	CauseNoReason Cause = "NoReasonToDrain"
	// CauseNoEngine means that no engine can load the layers without leaving
	// others uncovered.
	CauseNoEngine Cause = "NoEngineFree"
	// CauseLastEngine means that no other engine would cover the layers during the load.
	CauseLastEngine Cause = "LastEngine"
)

// Decision is an order for one engine; the fencing number is not set.
type Decision struct {
	Backend unit.BackendID
	Order   engine.Order
	Cause   Cause
}

// Blocked is a load that is needed but not safe now.
type Blocked struct {
	// Backend is empty for CauseNoEngine.
	Backend unit.BackendID
	Target  engine.Order
	Cause   Cause
}

// Plan is the result of a decision.
type Plan struct {
	Decisions []Decision
	Blocked   []Blocked
}

// planBuilder builds a plan on a copy of the input, to which each decision is applied at
// once.
type planBuilder struct {
	input   Input
	engines []*Engine
	models  map[unit.EntryName]Model
	// changing counts the engines that load or are drained for a load, loading only those
	// that load.
	changing, loading int
	// busy holds engines with a decision and those that wait for their streams to end.
	busy map[unit.BackendID]bool
	plan Plan
}

// Decide returns the orders that are missing now.
func Decide(in Input) Plan {
	p := &planBuilder{input: in, models: map[unit.EntryName]Model{}, busy: map[unit.BackendID]bool{}}
	for _, e := range in.Engines {
		if e.Healthy && !e.Leaving {
			p.engines = append(p.engines, &e)
		}
	}
	slices.SortFunc(p.engines, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range in.Models {
		p.models[m.Name] = m
	}
	p.applyDrainMarks()
	for _, e := range p.engines {
		if p.isChanging(e) {
			p.changing++
		}
		if e.Target != nil {
			p.loading++
		}
	}
	p.replaceOutdatedLoads()
	p.fillStages()
	p.upgradeEngines()
	p.resumeEngines()
	return p.plan
}

// isChanging reports whether an engine loads or is drained for a load.
func (p *planBuilder) isChanging(e *Engine) bool {
	return e.Target != nil || (e.Draining && !e.DrainMarked && p.isManaged(e.Held.Model))
}

// mayChange reports whether an engine may be drained or loaded within the limit on
// concurrent loads; an engine that is drained for a load is already counted.
func (p *planBuilder) mayChange(e *Engine) bool {
	limit := max(1, p.input.MaxLoads)
	return p.loading < limit && (p.isChanging(e) || p.changing < limit)
}

func (p *planBuilder) addOrder(e *Engine, o engine.Order, c Cause) {
	p.busy[e.ID] = true
	p.plan.Decisions = append(p.plan.Decisions, Decision{Backend: e.ID, Order: o, Cause: c})
}

// applyDrainMarks orders a drain of the engines with a drain mark.
func (p *planBuilder) applyDrainMarks() {
	for _, e := range p.engines {
		if e.DrainMarked && !e.Draining {
			p.addOrder(e, engine.Order{Kind: engine.OrderDrain}, CauseDrainMark)
			e.Draining = true
		}
	}
}

// resumeEngines orders draining engines to resume if there is no longer a reason to drain
// them.
func (p *planBuilder) resumeEngines() {
	for _, e := range p.engines {
		managed := p.isManaged(e.Held.Model)
		if e.Draining && !e.DrainMarked && e.Target == nil && !p.busy[e.ID] && (managed || e.DrainCanceled) {
			p.addOrder(e, engine.Order{Kind: engine.OrderResume}, CauseNoReason)
		}
	}
}

func (p *planBuilder) isManaged(name unit.EntryName) bool {
	m, ok := p.models[name]
	return ok && m.Replicas > 0
}

// advance adds the next order that brings an engine to its target: a drain, then the load
// once the engine runs no stream. It returns false if no load is allowed now.
func (p *planBuilder) advance(e *Engine, target engine.Order, c Cause) bool {
	if !p.mayChange(e) {
		return false
	}
	if !p.isChanging(e) {
		p.changing++
	}
	switch {
	case e.Running == 0:
		p.loading++
		p.addOrder(e, target, c)
		e.Target = &target
	case !e.Draining:
		p.addOrder(e, engine.Order{Kind: engine.OrderDrain}, c)
	default:
		p.busy[e.ID] = true
	}
	e.Draining = true
	return true
}

// serves reports whether an engine accepts new streams of a model at a layer.
func (e *Engine) serves(model unit.EntryName, l unit.Layer) bool {
	return !e.Draining && !e.DrainMarked && e.Target == nil && e.Held.Model == model && e.Held.From <= l && l < e.Held.To
}

// removable reports whether other engines cover all layers of the engine. An engine of a
// model that the catalogue doesn't list is removable.
func (p *planBuilder) removable(e *Engine) bool {
	if p.input.hasModel(e.Held.Model) {
		for l := e.Held.From; l < e.Held.To; l++ {
			if !slices.ContainsFunc(p.engines, func(o *Engine) bool { return o != e && o.serves(e.Held.Model, l) }) {
				return false
			}
		}
	}
	return true
}

func (in *Input) hasModel(name unit.EntryName) bool {
	return slices.ContainsFunc(in.Models, func(m Model) bool { return m.Name == name })
}

// idle reports whether an engine holds no layers of a model that the catalogue lists.
func (p *planBuilder) idle(e *Engine) bool {
	return e.Held.From >= e.Held.To || !p.input.hasModel(e.Held.Model)
}

// heldAfterLoad returns what the engine holds once its load is complete.
func (e *Engine) heldAfterLoad() engine.Order {
	if e.Target != nil {
		return *e.Target
	}
	return e.Held
}
