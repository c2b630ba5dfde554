package partitioner

import (
	"slices"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

const (
	// highUtilisation is the utilisation of the layer with the least capacity above
	// which engines load layers to raise that capacity; requests that find no memory are
	// refused.
	highUtilisation = 0.8
	// targetUtilisation is the utilisation that a plan aims at.
	targetUtilisation = 0.65
	// lowCapacityShare is the lowest capacity of a layer, as a share of the group's total
	// capacity, below which engines load layers. sufficientCapacityShare is the share
	// that is enough.
	lowCapacityShare        = 0.55
	sufficientCapacityShare = 0.7
	// minCapacityGain is the factor by which the lowest capacity of a layer must grow
	// for layers to be loaded; dropping layers costs nothing.
	minCapacityGain = 1.1
	// migrationCapacityShare is the share of the group's total capacity for which an
	// engine keeps memory while it holds both old and new layers.
	migrationCapacityShare = 0.35
	// minScarcityGain is the share of the scarcity by which a move must lower it, and
	// minGainPerLoadedLayer the additional share for each layer that it loads.
	minScarcityGain       = 0.01
	minGainPerLoadedLayer = 0.005
)

// rebalance evens out the capacity for requests after a repair, which leaves the
// neighbours of a lost engine with little capacity.
//
// It improves the ranges by a local search with moves of one layer and returns the
// orders that are possible now: an engine loads layers first, and another one drops
// them once they are held elsewhere. Later calls continue toward the same goal,
// because a plan made halfway may lead to other ranges.
//
// Load pattern: requests cross all stages of a copy, so the layer with the least
// capacity limits the copy, and the neighbours of a lost engine alone seldom have the
// memory for its layers. Loading takes memory and time from running requests, so
// layers are loaded only where the requests in flight fill an engine.
func (g *group) rebalance() []Target {
	if g.totalCapacity() <= 0 {
		return nil
	}
	b := newRebalancer(g)
	if !b.resumeGoal(g.goal) {
		b.improveRanges()
	}
	g.goal = b.remainingGoal()
	return b.targets()
}

// improveRanges searches for better ranges. It drops layers first, and loads layers
// only where the capacity is low and grows enough.
func (b *rebalancer) improveRanges() {
	g := b.group
	b.improve(b.dropMoves, 0)
	lowest, needed := b.minCapacity(), g.peakRequests()
	if lowest >= lowCapacityShare*g.totalCapacity() || lowest >= needed/highUtilisation {
		return
	}
	improved := b.clone()
	improved.improve(improved.moves, min(needed/targetUtilisation, sufficientCapacityShare*g.totalCapacity()))
	if improved.minCapacity() >= minCapacityGain*lowest {
		*b = *improved
	}
}

// peakRequests returns the number of requests at the layer with the most requests.
func (g *group) peakRequests() float64 {
	n := make([]float64, g.model.Layers)
	for _, e := range g.engines {
		for at := e.Layers.From; at < min(e.Layers.To, g.model.Layers); at++ {
			n[at] += float64(e.Requests)
		}
	}
	return slices.Max(n)
}

// resumeGoal adopts the ranges of an earlier goal and reports whether it did. The
// goal must name all engines and not be reached yet.
func (b *rebalancer) resumeGoal(goal Goal) bool {
	ranges := make([]backend.Layers, 0, len(b.ranges))
	reached := true
	for _, e := range b.group.engines {
		i := slices.IndexFunc(goal, func(t Target) bool { return t.Engine == e.ID })
		if i < 0 {
			return false
		}
		ranges = append(ranges, goal[i].Layers)
		reached = reached && goal[i].Layers == e.Layers
	}
	if reached {
		return false
	}
	b.ranges = ranges
	return true
}

// remainingGoal returns the candidate ranges of all engines, or nil if the engines
// already hold them.
func (b *rebalancer) remainingGoal() Goal {
	var out Goal
	done := true
	for i, e := range b.group.engines {
		out = append(out, Target{Engine: e.ID, Layers: b.ranges[i]})
		done = done && b.ranges[i] == e.Layers
	}
	if done {
		return nil
	}
	return out
}

// totalCapacity returns the number of requests of usual size that the memory of the
// group holds beside its copies of the model.
func (g *group) totalCapacity() float64 {
	return freeRequests(g.model, g.engines, g.copyCount())
}

// rangeCapacity returns the number of requests of usual size that an engine has
// memory for beside a range.
func (g *group) rangeCapacity(e *Engine, l backend.Layers) float64 {
	n := float64(l.Len())
	if n <= 0 {
		return 0
	}
	free := (float64(e.Card.Memory) - n*float64(g.model.LayerMemory)) * bytesPerMegabyte
	return max(0, free) / max(1, n*g.model.TokenBytes/float64(g.model.Layers)*float64(g.model.TypicalRequest.Tokens()))
}

// addCapacity adds the capacity of an engine with a range to that of the layers, or
// subtracts it if sign is -1. Requests that begin at the engine also need a slot.
func (g *group) addCapacity(capacity []float64, e *Engine, l backend.Layers, sign float64) {
	n := g.rangeCapacity(e, l)
	for at := l.From; at < min(l.To, g.model.Layers); at++ {
		if at == 0 && g.model.Slots > 0 {
			capacity[at] += sign * min(n, float64(g.model.Slots))
			continue
		}
		capacity[at] += sign * n
	}
}

// rebalancer holds candidate ranges, which may differ from what the engines hold.
type rebalancer struct {
	group *group
	// ranges holds a range for each engine of the group.
	ranges []backend.Layers
	// capacity holds, for each layer, the requests that its engines have memory for.
	capacity []float64
}

func newRebalancer(g *group) *rebalancer {
	b := &rebalancer{group: g, ranges: make([]backend.Layers, len(g.engines)), capacity: make([]float64, g.model.Layers)}
	for i, e := range g.engines {
		b.ranges[i] = e.Layers
		b.addRange(b.capacity, i, e.Layers, 1)
	}
	return b
}

func (b *rebalancer) clone() *rebalancer {
	return &rebalancer{group: b.group, ranges: slices.Clone(b.ranges), capacity: slices.Clone(b.capacity)}
}

// addRange adds the capacity of engine i with a range, as addCapacity does.
func (b *rebalancer) addRange(capacity []float64, i int, l backend.Layers, sign float64) {
	b.group.addCapacity(capacity, &b.group.engines[i], l, sign)
}

// addMove applies a move to the capacity of the layers.
func (b *rebalancer) addMove(capacity []float64, m move) {
	for _, c := range m {
		b.addRange(capacity, c.engine, b.ranges[c.engine], -1)
		b.addRange(capacity, c.engine, c.layers, 1)
	}
}

// scarcity returns the sum of 1/capacity² over all layers, so that layers with the
// least capacity count most.
func scarcity(capacity []float64) float64 {
	sum := 0.0
	for _, n := range capacity {
		n = max(1, n)
		sum += 1 / (n * n)
	}
	return sum
}

func (b *rebalancer) minCapacity() float64 { return slices.Min(b.capacity) }

// improve is a hill climbing search: it applies the best move as long as one lowers
// the scarcity enough and some layer has less than the target capacity. A target of 0
// stands for as much as possible.
func (b *rebalancer) improve(moves func() []move, target float64) {
	scratch := make([]float64, len(b.capacity))
	for range 4 * len(b.capacity) {
		if target > 0 && b.minCapacity() >= target {
			return
		}
		current := scarcity(b.capacity)
		lowest, best := current*(1-minScarcityGain), -1
		list := moves()
		for i, m := range list {
			copy(scratch, b.capacity)
			b.addMove(scratch, m)
			if s := scarcity(scratch) + minGainPerLoadedLayer*current*float64(b.loadedLayers(m)); s < lowest {
				lowest, best = s, i
			}
		}
		if best < 0 {
			return
		}
		b.apply(list[best])
	}
}

func (b *rebalancer) apply(m move) {
	b.addMove(b.capacity, m)
	for _, c := range m {
		b.ranges[c.engine] = c.layers
	}
}

// targets returns the orders toward the candidate ranges that are possible now.
func (b *rebalancer) targets() []Target {
	var out []Target
	for i := range b.group.engines {
		e := &b.group.engines[i]
		if e.Busy || e.Layers == b.ranges[i] {
			continue
		}
		if l := b.withAdded(i, b.withoutReleased(i)); l != e.Layers {
			out = append(out, Target{Engine: e.ID, Layers: l})
		}
	}
	return out
}

// withoutReleased returns the range of an engine without the layers that it should
// drop and that another engine keeps.
func (b *rebalancer) withoutReleased(i int) backend.Layers {
	l, want := b.group.engines[i].Layers, b.ranges[i]
	for l.From < want.From && l.Len() > 1 && b.heldElsewhere(i, l.From) {
		l.From++
	}
	for l.To > want.To && l.Len() > 1 && b.heldElsewhere(i, l.To-1) {
		l.To--
	}
	return l
}

// withAdded returns a range with the layers that the engine should load, as far as
// its requests keep memory while it still holds layers that it will drop.
func (b *rebalancer) withAdded(i int, l backend.Layers) backend.Layers {
	want := b.ranges[i]
	for {
		next := l
		if next.From > want.From {
			next.From--
		}
		if next.To < want.To {
			next.To++
		}
		if next == l || !b.fits(i, next) {
			return l
		}
		if next.Len() > want.Len() && b.group.rangeCapacity(&b.group.engines[i], next) < migrationCapacityShare*b.group.totalCapacity() {
			return l
		}
		l = next
	}
}

// heldElsewhere reports whether another engine holds a layer and will keep it.
func (b *rebalancer) heldElsewhere(i int, at unit.Layer) bool {
	for j := range b.group.engines {
		e := &b.group.engines[j]
		if j != i && !e.Busy && e.Layers.Covers(at) && b.ranges[j].Covers(at) {
			return true
		}
	}
	return false
}
