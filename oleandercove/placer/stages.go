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

// stages cuts a model where most of its engines cut it. Layers that nobody
// holds are cut by the memory of the engines that could take them.
func (p *planning) stages(m Model) []stage {
	byRange := map[[2]unit.Layer][]*Engine{}
	for _, e := range p.engines {
		h := e.placed()
		if h.Model == m.Name && !e.Marked && h.From < h.To && h.To <= m.Layers {
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
		out = append(out, stage{model: m, from: at, to: at + p.piece(next-at)})
	}
	return out
}

// piece returns the length of the first part of a gap, so that the gap needs
// the fewest idle engines; without enough of them, the fewest engines at all.
func (p *planning) piece(gap unit.Layer) unit.Layer {
	for _, idle := range []bool{true, false} {
		for n := unit.Layer(1); n <= gap; n++ {
			size, fit := (gap+n-1)/n, unit.Layer(0)
			for _, e := range p.engines {
				if (!idle || p.idle(e)) && e.Target == nil && !e.Marked && e.fits(size) {
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

// matches tells whether an engine's version and adapters are the wanted ones;
// an entry that states neither accepts any.
func (m *Model) matches(o engine.Order) bool {
	if m.Version == "" && len(m.Adapters) == 0 {
		return true
	}
	a, b := slices.Sorted(slices.Values(m.Adapters)), slices.Sorted(slices.Values(o.Adapters))
	return m.Version == o.Version && slices.Equal(a, b)
}

// allStages returns the stages of the managed models.
func (p *planning) allStages() []stage {
	var out []stage
	names := make([]Model, 0, len(p.models))
	for _, m := range p.models {
		if m.Replicas > 0 {
			names = append(names, m)
		}
	}
	slices.SortFunc(names, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range names {
		out = append(out, p.stages(m)...)
	}
	return out
}

// redirect replaces a running load whose version is not wanted any more. The
// engine serves nothing now, so this takes no layer away.
func (p *planning) redirect() {
	for _, e := range p.engines {
		if e.Target == nil || e.Marked || !p.managed(e.Target.Model) {
			continue
		}
		m := p.models[e.Target.Model]
		if !m.matches(*e.Target) && e.Target.To <= m.Layers {
			o := *e.Target
			o.Kind, o.Version, o.Adapters, o.Fence = engine.OrderLoad, m.Version, m.Adapters, 0
			p.order(e, o, CauseVersion)
			e.Target = &o
		}
	}
}

// fill finds engines for stages with too few of them, worst stage first.
func (p *planning) fill() {
	skipped := map[engine.RangeKey]bool{}
	for {
		all := p.allStages()
		need := worst(all, skipped)
		if need == nil {
			return
		}
		c := CauseReplicas
		if len(need.holders) == 0 {
			c = CauseUncovered
		}
		e := p.choose(all, need)
		if e == nil {
			p.plan.Blocked = append(p.plan.Blocked, Blocked{Target: need.target(), Cause: CauseNoEngine})
		}
		if e == nil || !p.change(e, need.target(), c) || e.Target == nil {
			skipped[need.key()] = true
		}
	}
}

func (s *stage) key() engine.RangeKey {
	return engine.RangeKey{Model: s.model.Name, From: s.from, To: s.to}
}

// worst returns the stage with the smallest share of its replicas.
func worst(all []stage, skipped map[engine.RangeKey]bool) *stage {
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

// choose returns an idle engine, or one of the best covered stage that others
// can spare; engines that already drain and those with few streams come first.
func (p *planning) choose(all []stage, need *stage) *Engine {
	size := need.to - need.from
	free := func(e *Engine) bool { return e.Target == nil && !e.Marked && !p.busy[e.ID] && e.fits(size) }
	var best *Engine
	for _, e := range p.engines {
		if free(e) && p.idle(e) && (best == nil || before(e, best)) {
			best = e
		}
	}
	if best != nil {
		return best
	}
	covered := len(need.holders) + 1 // a move must not swap the two stages
	for i := range all {
		if len(all[i].holders) <= covered {
			continue
		}
		var candidate *Engine
		for _, e := range all[i].holders {
			if free(e) && p.removable(e) && (candidate == nil || before(e, candidate)) {
				candidate = e
			}
		}
		if candidate != nil {
			best, covered = candidate, len(all[i].holders)
		}
	}
	return best
}

func before(a, b *Engine) bool {
	if a.Draining != b.Draining {
		return a.Draining
	}
	return a.Running < b.Running
}

// upgrade gives engines the wanted version and adapters, one after another,
// while others cover their layers.
func (p *planning) upgrade() {
	old := []*Engine{}
	for _, e := range p.engines {
		if m := p.models[e.Held.Model]; p.managed(e.Held.Model) && e.Target == nil && !e.Marked && !p.busy[e.ID] &&
			e.Held.From < e.Held.To && e.Held.To <= m.Layers && !m.matches(e.Held) {
			old = append(old, e)
		}
	}
	slices.SortStableFunc(old, func(a, b *Engine) int {
		switch {
		case before(a, b):
			return -1
		case before(b, a):
			return 1
		}
		return 0
	})
	for _, e := range old {
		if !p.allowed(e) {
			continue
		}
		m := p.models[e.Held.Model]
		target := (&stage{model: m, from: e.Held.From, to: e.Held.To}).target()
		if !p.removable(e) {
			p.plan.Blocked = append(p.plan.Blocked, Blocked{Backend: e.ID, Target: target, Cause: CauseLastEngine})
			continue
		}
		p.change(e, target, CauseVersion)
	}
}
