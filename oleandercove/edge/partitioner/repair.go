package partitioner

import (
	"cmp"
	"slices"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

// repair returns the orders for the ranges that the engines hold now:
//
//   - Empty engines fill gaps first, then the neighbours of the gap.
//   - If they lack the memory for that, engines whose own layers can be taken over migrate to
//     the gap.
//   - If that is not enough either, the whole group is placed from scratch.
//   - Remaining empty engines add capacity where it is scarcest.
//   - Without a gap and without empty engines, the capacity is rebalanced.
func (g *group) repair() []Target {
	before := slices.Clone(g.engines)
	g.fillGaps(g.gaps())
	if len(g.gaps()) > 0 && !g.fillByMigration(before) {
		g.engines, g.goal = before, nil
		return g.layout()
	}
	for i := range g.engines {
		if g.engines[i].Layers.Len() == 0 {
			g.placeEmptyEngine(&g.engines[i])
		}
	}
	if slices.Equal(before, g.engines) {
		return g.rebalance()
	}
	g.goal = nil
	targets := make([]Target, 0, len(g.engines))
	for _, e := range g.engines {
		targets = append(targets, Target{Engine: e.ID, Layers: e.Layers})
	}
	return changedTargets(before, targets)
}

// coverage returns the number of engines that hold each layer.
func (g *group) coverage() []int {
	n := make([]int, g.model.Layers)
	for _, e := range g.engines {
		for l := e.Layers.From; l < min(e.Layers.To, g.model.Layers); l++ {
			n[l]++
		}
	}
	return n
}

// gaps returns the ranges that no engine holds.
func (g *group) gaps() []backend.Layers {
	var out []backend.Layers
	for l, n := range g.coverage() {
		at := unit.Layer(l)
		switch {
		case n > 0:
		case len(out) > 0 && out[len(out)-1].To == at:
			out[len(out)-1].To++
		default:
			out = append(out, backend.Layers{From: at, To: at + 1})
		}
	}
	return out
}

// fillGaps fills the given gaps, and those that remain.
func (g *group) fillGaps(first []backend.Layers) {
	for _, gap := range first {
		g.fillGap(gap)
	}
	for _, gap := range g.gaps() {
		g.fillGap(gap)
	}
}

// fillGap assigns the layers of a gap as far as the memory of the engines goes. Each layer goes
// to the neighbour that keeps memory for more requests beside it.
//
// Load pattern: a fast card beside a slow one takes over a gap under load. By time alone it would
// take all layers, and the little memory that it keeps would limit the whole copy.
func (g *group) fillGap(gap backend.Layers) {
	gap = g.fillWithEmptyEngines(gap)
	for gap.Len() > 0 {
		left, right := g.largestEndingAt(gap.From), g.largestBeginningAt(gap.To)
		switch {
		case left == nil && right == nil:
			return
		case right == nil || (left != nil && g.capacityAfterGrowth(left) >= g.capacityAfterGrowth(right)):
			left.Layers.To++
			gap.From++
		default:
			right.Layers.From--
			gap.To--
		}
	}
}

// fillWithEmptyEngines assigns each empty engine its fair share of a gap and
// returns the rest of the gap.
func (g *group) fillWithEmptyEngines(gap backend.Layers) backend.Layers {
	for _, e := range g.emptyEngines() {
		n := min(gap.Len(), maxLayers(g.model, e.Card), max(1, g.fairShare(e)))
		if n <= 0 {
			break
		}
		e.Layers = backend.Layers{From: gap.From, To: gap.From + unit.Layer(n)}
		gap.From = e.Layers.To
	}
	return gap
}

func (g *group) emptyEngines() []*Engine {
	var out []*Engine
	for i := range g.engines {
		if g.engines[i].Layers.Len() == 0 {
			out = append(out, &g.engines[i])
		}
	}
	slices.SortStableFunc(out, func(a, b *Engine) int { return cmp.Compare(b.Card.Memory, a.Card.Memory) })
	return out
}

// capacityAfterGrowth returns the number of requests for which an engine keeps memory beside
// one more layer.
func (g *group) capacityAfterGrowth(e *Engine) float64 {
	return g.rangeCapacity(e, backend.Layers{To: unit.Layer(e.Layers.Len() + 1)})
}

// canGrow reports whether an engine holds layers and may hold one more.
func (g *group) canGrow(e *Engine) bool {
	return e.Layers.Len() > 0 && e.Layers.Len() < maxLayers(g.model, e.Card)
}

// largestEndingAt returns the engine with the largest capacity after growth whose range ends at
// a layer and can grow, or nil.
func (g *group) largestEndingAt(at unit.Layer) *Engine {
	return g.largest(func(e *Engine) bool { return e.Layers.To == at })
}

// largestBeginningAt returns the engine with the largest capacity after growth whose range
// begins at a layer and can grow, or nil.
func (g *group) largestBeginningAt(at unit.Layer) *Engine {
	return g.largest(func(e *Engine) bool { return e.Layers.From == at })
}

func (g *group) largest(match func(*Engine) bool) *Engine {
	var best *Engine
	for i := range g.engines {
		e := &g.engines[i]
		if g.canGrow(e) && match(e) && (best == nil || g.capacityAfterGrowth(e) > g.capacityAfterGrowth(best)) {
			best = e
		}
	}
	return best
}

// placeEmptyEngine assigns an empty engine the range that lowers the scarcity of
// capacity most.
func (g *group) placeEmptyEngine(e *Engine) {
	b := newRebalancer(g)
	lowest, best := scarcity(b.capacity), backend.Layers{}
	scratch := make([]float64, len(b.capacity))
	maxCount := min(maxLayers(g.model, e.Card), g.fairShare(e))
	for n := 1; n <= maxCount; n++ {
		for from := unit.Layer(0); from+unit.Layer(n) <= g.model.Layers; from++ {
			l := backend.Layers{From: from, To: from + unit.Layer(n)}
			copy(scratch, b.capacity)
			g.addCapacity(scratch, e, l, 1)
			if s := scarcity(scratch); s < lowest {
				lowest, best = s, l
			}
		}
	}
	e.Layers = best
}

// fairShare returns the number of layers that the engine would hold if the copies
// of the group were divided among all its engines.
func (g *group) fairShare(e *Engine) int {
	sizes := divideLayers(g.model, g.engines, g.copyCount()*int(g.model.Layers), func(_ int, e Engine) int { return maxLayers(g.model, e.Card) })
	if sizes == nil {
		return maxLayers(g.model, e.Card)
	}
	for i := range g.engines {
		if g.engines[i].ID == e.ID {
			return max(1, sizes[i])
		}
	}
	return 1
}
