package placer

import (
	"cmp"
	"slices"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// stage is a range of layers that some engines hold or should hold.
type stage struct {
	model    Model
	from, to unit.Layer
	holders  []*Engine
}

func (s *stage) target() engine.Order {
	return engine.Order{
		Kind: engine.OrderLoad, Model: s.model.Name, Version: s.model.Version, Adapters: s.model.Adapters,
		From: s.from, To: s.to,
	}
}

// stages splits a model into stages, at the boundaries that most of its engines use. Layers
// that no engine holds are split by the memory of the engines that could load them.
func (p *planBuilder) stages(m Model) []stage {
	byRange := map[[2]unit.Layer][]*Engine{}
	for _, e := range p.engines {
		h := e.heldAfterLoad()
		if h.Model == m.Name && !e.DrainMarked && h.From < h.To && h.To <= m.Layers {
			k := [2]unit.Layer{h.From, h.To}
			byRange[k] = append(byRange[k], e)
		}
	}
	var out []stage
	for at := unit.Layer(0); at < m.Layers; at = out[len(out)-1].to {
		to, next := unit.Layer(0), m.Layers
		for k, holders := range byRange {
			switch best := len(byRange[[2]unit.Layer{at, to}]); {
			case k[0] > at:
				next = min(next, k[0])
			case k[0] == at && (len(holders) > best || (len(holders) == best && k[1] > to)):
				to = k[1]
			}
		}
		if to > 0 {
			out = append(out, stage{model: m, from: at, to: to, holders: byRange[[2]unit.Layer{at, to}]})
			continue
		}
		out = append(out, stage{model: m, from: at, to: at + p.gapStageSize(next-at)})
	}
	return out
}

// gapStageSize returns the number of layers of the first stage in a gap, so that the gap
// needs the fewest idle engines or, without enough idle ones, the fewest engines of any kind.
func (p *planBuilder) gapStageSize(gap unit.Layer) unit.Layer {
	for _, idle := range []bool{true, false} {
		for n := unit.Layer(1); n <= gap; n++ {
			size, fit := (gap+n-1)/n, unit.Layer(0)
			for _, e := range p.engines {
				if (!idle || p.idle(e)) && e.Target == nil && !e.DrainMarked && e.fits(size) {
					fit++
				}
			}
			if fit >= n {
				return size
			}
		}
	}
	return gap
}

func (e *Engine) fits(n unit.Layer) bool { return e.MaxLayers == 0 || n <= e.MaxLayers }

// matches reports whether the version and adapters of o are those of the catalogue entry;
// an entry that states neither accepts any.
func (m *Model) matches(o engine.Order) bool {
	if m.Version == "" && len(m.Adapters) == 0 {
		return true
	}
	a, b := slices.Sorted(slices.Values(m.Adapters)), slices.Sorted(slices.Values(o.Adapters))
	return m.Version == o.Version && slices.Equal(a, b)
}

// managedStages returns the stages of the managed models.
func (p *planBuilder) managedStages() []stage {
	var out []stage
	managed := make([]Model, 0, len(p.models))
	for _, m := range p.models {
		if m.Replicas > 0 {
			managed = append(managed, m)
		}
	}
	slices.SortFunc(managed, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range managed {
		out = append(out, p.stages(m)...)
	}
	return out
}

// replaceOutdatedLoads replaces running loads whose version or adapters no longer match the
// catalogue. A loading engine serves nothing, so this uncovers no layer.
func (p *planBuilder) replaceOutdatedLoads() {
	for _, e := range p.engines {
		if e.Target == nil || e.DrainMarked || !p.isManaged(e.Target.Model) {
			continue
		}
		m := p.models[e.Target.Model]
		if !m.matches(*e.Target) && e.Target.To <= m.Layers {
			o := *e.Target
			o.Kind, o.Version, o.Adapters, o.Fence = engine.OrderLoad, m.Version, m.Adapters, 0
			p.addOrder(e, o, CauseVersion)
			e.Target = &o
		}
	}
}

// fillStages finds engines for stages with too few replicas, the least covered stage first.
func (p *planBuilder) fillStages() {
	skipped := map[engine.RangeKey]bool{}
	for {
		all := p.managedStages()
		need := leastCovered(all, skipped)
		if need == nil {
			return
		}
		c := CauseReplicas
		if len(need.holders) == 0 {
			c = CauseUncovered
		}
		e := p.chooseEngine(all, need)
		if e == nil {
			p.plan.Blocked = append(p.plan.Blocked, Blocked{Target: need.target(), Cause: CauseNoEngine})
		}
		if e == nil || !p.advance(e, need.target(), c) || e.Target == nil {
			skipped[need.key()] = true
		}
	}
}

func (s *stage) key() engine.RangeKey {
	return engine.RangeKey{Model: s.model.Name, From: s.from, To: s.to}
}

// leastCovered returns the stage with the smallest share of its replicas.
func leastCovered(all []stage, skipped map[engine.RangeKey]bool) *stage {
	var out *stage
	for i := range all {
		s := &all[i]
		if len(s.holders) >= s.model.Replicas || skipped[s.key()] {
			continue
		}
		if out == nil || len(s.holders)*out.model.Replicas < len(out.holders)*s.model.Replicas {
			out = s
		}
	}
	return out
}

// chooseEngine returns an idle engine, else a removable one of the stage with the most
// engines, or nil. The other stage must have at least two engines more than need.
// Engines that already drain and then those with fewer streams are preferred.
func (p *planBuilder) chooseEngine(all []stage, need *stage) *Engine {
	size := need.to - need.from
	available := func(e *Engine) bool { return e.Target == nil && !e.DrainMarked && !p.busy[e.ID] && e.fits(size) }
	var best *Engine
	for _, e := range p.engines {
		if available(e) && p.idle(e) && (best == nil || preferred(e, best)) {
			best = e
		}
	}
	if best != nil {
		return best
	}
	covered := len(need.holders) + 1 // moving an engine must not only move the shortage to another stage
	for i := range all {
		if len(all[i].holders) <= covered {
			continue
		}
		var candidate *Engine
		for _, e := range all[i].holders {
			if available(e) && p.removable(e) && (candidate == nil || preferred(e, candidate)) {
				candidate = e
			}
		}
		if candidate != nil {
			best, covered = candidate, len(all[i].holders)
		}
	}
	return best
}

// preferred reports whether a is to be chosen before b.
func preferred(a, b *Engine) bool {
	if a.Draining != b.Draining {
		return a.Draining
	}
	return a.Running < b.Running
}

// upgradeEngines loads the version and adapters of the catalogue on outdated engines, one
// after another, while other engines cover their layers.
func (p *planBuilder) upgradeEngines() {
	outdated := []*Engine{}
	for _, e := range p.engines {
		if m := p.models[e.Held.Model]; p.isManaged(e.Held.Model) && e.Target == nil && !e.DrainMarked && !p.busy[e.ID] &&
			e.Held.From < e.Held.To && e.Held.To <= m.Layers && !m.matches(e.Held) {
			outdated = append(outdated, e)
		}
	}
	slices.SortStableFunc(outdated, func(a, b *Engine) int {
		switch {
		case preferred(a, b):
			return -1
		case preferred(b, a):
			return 1
		}
		return 0
	})
	for _, e := range outdated {
		if !p.mayChange(e) {
			continue
		}
		m := p.models[e.Held.Model]
		target := (&stage{model: m, from: e.Held.From, to: e.Held.To}).target()
		if !p.removable(e) {
			p.plan.Blocked = append(p.plan.Blocked, Blocked{Backend: e.ID, Target: target, Cause: CauseLastEngine})
			continue
		}
		p.advance(e, target, CauseVersion)
	}
}
