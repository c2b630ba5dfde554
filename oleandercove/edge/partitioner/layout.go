package partitioner

import (
	"cmp"
	"math"
	"slices"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

// layout assigns layers to all engines from scratch: about one copy for each
// chainLength engines, as far as the memory goes, with about equal memory and engines of about
// equal speed.
func (g *group) layout() []Target {
	var out []Target
	for _, c := range splitIntoCopies(g.engines, g.copyCount()) {
		out = append(out, g.placeCopy(c)...)
	}
	return changedTargets(g.engines, out)
}

// copyCount returns the number of copies that the group should hold.
//
// Load pattern: several times more requests arrive than usual while engines are lost. Copies with
// memory for few requests refuse most of them, although they are fast.
func (g *group) copyCount() int {
	most := min((len(g.engines)+g.chainLength/2)/g.chainLength, int(copyCapacity(g.model, g.engines)/copyMemoryFactor))
	for most > 1 && freeRequests(g.model, g.engines, most) < copyRequests*float64(most) {
		most--
	}
	return max(1, most)
}

// splitIntoCopies assigns engines to n copies of about equal memory, so that engines of about
// equal speed hold a copy together.
//
// Load pattern: engines are lost while streams run. A stream crosses all engines of its copy, each
// token waits for all of them, and it is late if one of them is lost before its end. Copies of
// fast engines have few engines and short streams; one slow engine among them would make all their
// streams last longer.
func splitIntoCopies(engines []Engine, n int) [][]Engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Card.StepFactor, b.Card.StepFactor), cmp.Compare(b.Card.Memory, a.Card.Memory))
	})
	total := routing.Megabytes(0)
	for _, e := range sorted {
		total += e.Card.Memory
	}
	out := make([][]Engine, n)
	sum, k := routing.Megabytes(0), 0
	for _, e := range sorted {
		// An engine belongs to the copy in whose part of the memory its middle lies.
		for k < n-1 && sum+e.Card.Memory/2 > total*routing.Megabytes(k+1)/routing.Megabytes(n) {
			k++
		}
		out[k] = append(out[k], e)
		sum += e.Card.Memory
	}
	return out
}

// placeCopy assigns the layers of one copy: some small engines each hold the first
// stage, the others hold one stage each.
func (g *group) placeCopy(engines []Engine) []Target {
	firstStage, rest := g.splitFirstStage(engines)
	if out := g.placeStages(firstStage, rest); out != nil {
		return out
	}
	return g.placeStages(nil, engines)
}

// splitFirstStage splits off the engines with the smallest cards to share the first
// stage. The slots of an engine limit the requests that begin there to fewer than the
// copy has memory for.
func (g *group) splitFirstStage(engines []Engine) (firstStage, rest []Engine) {
	if g.model.Slots == 0 {
		return nil, engines
	}
	requests := freeRequests(g.model, engines, 1)
	n := min(int(math.Ceil(requests/float64(g.model.Slots))), maxFirstStage, len(engines)/minEnginesPerFirstStage)
	if n < 2 {
		return nil, engines
	}
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b Engine) int { return cmp.Compare(a.Card.Memory, b.Card.Memory) })
	return sorted[:n], sorted[n:]
}

const (
	// maxFirstStage is the largest number of engines that share the first stage.
	maxFirstStage = 3
	// minEnginesPerFirstStage is the smallest number of engines in a copy for each
	// engine of its first stage.
	minEnginesPerFirstStage = 4
)

// placeStages assigns the same first layers to each engine of the first stage and one
// range after the other to the rest. It returns nil if the cards can't hold all
// layers.
func (g *group) placeStages(firstStage, rest []Engine) []Target {
	engines, firstEnd := slices.Clone(rest), unit.Layer(0)
	if len(firstStage) > 0 {
		// These engines share the requests, so each one spends only a part of the time.
		card := firstStage[0].Card
		card.StepFactor /= float64(len(firstStage))
		engines = append([]Engine{{Card: card}}, rest...)
	}
	sizes := divideWithMemory(g.model, engines, max(1, len(firstStage)))
	if sizes == nil {
		return nil
	}
	var out []Target
	if len(firstStage) > 0 {
		firstEnd = unit.Layer(sizes[0])
		sizes, engines = sizes[1:], engines[1:]
	}
	for _, h := range firstStage {
		out = append(out, Target{Engine: h.ID, Layers: backend.Layers{To: firstEnd}})
	}
	at := firstEnd
	orderForTakeover(g.model, engines, sizes)
	for i, e := range engines {
		to := at + unit.Layer(sizes[i])
		out = append(out, Target{Engine: e.ID, Layers: backend.Layers{From: at, To: to}})
		at = to
	}
	return out
}

// divideWithMemory divides the layers of a copy among engines, the first of which stands
// for firstShared engines that share the requests. Each engine keeps memory for
// sufficientCapacityShare of the requests for which the copy has memory, or for the
// largest share with which the cards can hold all layers. It returns nil if they can't.
//
// Load pattern: at the highest load all engines of a copy hold the same requests, and
// the one with memory for the fewest limits the copy. By time alone, a fast card would
// be filled with layers.
func divideWithMemory(m *routing.Engine, engines []Engine, firstShared int) []int {
	requests := freeRequests(m, engines, 1)
	for share := sufficientCapacityShare; share > 0; share -= capacityShareStep {
		sizes := divideLayers(m, engines, int(m.Layers), func(i int, e Engine) int {
			needed := share * requests
			if i == 0 {
				needed /= float64(firstShared)
			}
			return layersWithRequests(m, e.Card, max(minRequests, needed))
		})
		if sizes != nil {
			return sizes
		}
	}
	return divideLayers(m, engines, int(m.Layers), func(_ int, e Engine) int { return maxLayers(m, e.Card) })
}

// freeRequests returns the number of requests of usual size for which the engines have
// memory beside some copies of the model; it is negative if they can't hold the copies.
func freeRequests(m *routing.Engine, engines []Engine, copies int) float64 {
	free := (copyCapacity(m, engines) - float64(copies)) * float64(m.LayerMemory) * float64(m.Layers)
	return free * bytesPerMegabyte / max(1, m.TokenBytes*float64(m.TypicalRequest.Tokens()))
}

// divideLayers divides a number of layers among engines. Each layer is assigned to the
// engine with the lowest utilisation after it, up to the limit of the engine. It returns
// nil if the limits don't allow all layers.
func divideLayers(m *routing.Engine, engines []Engine, layers int, limit func(i int, e Engine) int) []int {
	sizes := make([]int, len(engines))
	for range layers {
		best, cost := -1, math.Inf(1)
		for i, e := range engines {
			if sizes[i] >= limit(i, e) {
				continue
			}
			if c := utilisation(m, e.Card, sizes[i]+1); c < cost {
				best, cost = i, c
			}
		}
		if best < 0 {
			return nil
		}
		sizes[best]++
	}
	return sizes
}

// utilisation returns the larger of the share of a card's memory and of its time
// that a number of layers takes. The time is relative to timeScale.
func utilisation(m *routing.Engine, c routing.Card, layers int) float64 {
	memory := float64(layers) * float64(m.LayerMemory) / float64(c.Memory)
	time := float64(layers) * c.StepFactor / timeScale(m)
	return max(memory, time)
}

// timeScale returns the time that counts as full utilisation: the mean over all
// cards of the step factor times the layers that fill the memory of the card.
func timeScale(m *routing.Engine) float64 {
	sum := 0.0
	for _, c := range m.Cards {
		sum += c.StepFactor * float64(c.Memory) / float64(m.LayerMemory)
	}
	return max(1, sum/float64(max(1, len(m.Cards))))
}

// changedTargets returns the targets that differ from what the engines hold.
func changedTargets(engines []Engine, targets []Target) []Target {
	held := make(map[unit.BackendID]backend.Layers, len(engines))
	for _, e := range engines {
		held[e.ID] = e.Layers
	}
	return slices.DeleteFunc(targets, func(t Target) bool { return held[t.Engine] == t.Layers })
}
