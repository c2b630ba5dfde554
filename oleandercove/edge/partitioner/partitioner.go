// Package partitioner decides which engine holds which layers of a model.
//
// Plan is a pure function of the engines, the layers that they hold and the goal
// of the previous call:
//
//   - Engines of one data centre hold complete copies of the model among
//     themselves, because the link between data centres carries less than the
//     prompts of all requests.
//   - A data centre whose cards can't hold a copy shares one with others.
//   - A gap is filled by empty engines and by its neighbours in the copy.
//   - Without gaps or empty engines, layers migrate to even out the capacity for
//     requests.
//
// Load pattern: the loss of an engine makes its copy unusable until its layers
// are loaded elsewhere, and the load time is proportional to the number of layers.
// The neighbours in the copy therefore each take over a part of the gap, and no
// other layers migrate. Fewer copies leave more memory for requests, and memory
// runs out before compute. A group therefore holds about one copy for each
// ChainLength engines, even if more copies would fit.
//
// Usage:
//
//	targets, goal := partitioner.Plan(model, engines, partitioner.Options{Goal: goal})
//	for _, t := range targets {
//		order(t.Engine, t.Layers)
//	}
package partitioner

import (
	"cmp"
	"math"
	"slices"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

const (
	// ChainLength is the number of engines that hold a copy, where there are
	// enough. It stays far below the maximum length of a chain, so that more
	// engines can fill a gap.
	ChainLength = 13
	// copyMemoryFactor is the memory that a data centre needs to hold one copy with
	// capacity for requests, in sizes of the model.
	copyMemoryFactor = 1.15
	// minRequests is the number of requests of usual size that an engine must have
	// memory for beside its layers.
	minRequests = 4
	// capacityShareStep is the step by which a layout lowers the share of requests for
	// which each engine keeps memory.
	capacityShareStep = 0.05
	// bytesPerMegabyte converts card memory to bytes.
	bytesPerMegabyte = 1e6
)

// Engine is an engine with the layers that it holds or is loading.
type Engine struct {
	ID         unit.BackendID
	DataCentre unit.DataCentre
	Card       routing.Card
	Layers     backend.Layers
	// Busy is set while an order to the engine is outstanding.
	Busy bool
	// Requests is the load of the engine as an approximate number of requests of usual
	// size that run through all its layers.
	Requests int
}

// Target is the layer range that an engine should hold.
type Target struct {
	Engine unit.BackendID
	Layers backend.Layers
}

// Options configures a Plan.
type Options struct {
	// FromScratch assigns layers to all engines without regard to the layers that they
	// hold. It is meant for the time before the first request.
	FromScratch bool
	// ChainLength overrides the constant ChainLength unless it is zero.
	ChainLength int
	// Goal is the goal that the previous call of Plan returned.
	Goal Goal
}

// Goal is the final ranges of a rebalancing that takes several calls of Plan.
type Goal []Target

// group is a set of engines that hold complete copies among themselves.
type group struct {
	model       *routing.Engine
	chainLength int
	engines     []Engine
	goal        Goal
}

// Plan returns the ranges that engines should be ordered to hold now, and the
// goal to pass to the next call.
func Plan(m *routing.Engine, engines []Engine, o Options) ([]Target, Goal) {
	if !m.Chained() {
		return nil, nil
	}
	length := o.ChainLength
	if length == 0 {
		length = ChainLength
	}
	var out []Target
	var goal Goal
	for _, list := range groupEngines(m, engines) {
		g := &group{model: m, chainLength: length, engines: list, goal: o.Goal}
		if o.FromScratch || g.isEmpty() {
			out = append(out, g.layout()...)
			continue
		}
		out = append(out, g.repair()...)
		goal = append(goal, g.goal...)
	}
	return out, goal
}

// groupEngines groups the engines by data centre. Data centres that can't hold a
// copy form one group, together with the smallest of the others if their memory is
// still too small.
func groupEngines(m *routing.Engine, engines []Engine) [][]Engine {
	byCentre := map[unit.DataCentre][]Engine{}
	for _, e := range engines {
		// Ignores cards without memory for a layer, and registry entries with layers that
		// the model doesn't have.
		if maxLayers(m, e.Card) > 0 && e.Layers.Within(m.Layers) {
			byCentre[e.DataCentre] = append(byCentre[e.DataCentre], e)
		}
	}
	var separate [][]Engine
	var joined []Engine
	for _, dc := range sortedCentres(byCentre) {
		list := byCentre[dc]
		slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
		if copyCapacity(m, list) >= copyMemoryFactor {
			separate = append(separate, list)
		} else {
			joined = append(joined, list...)
		}
	}
	if len(joined) == 0 {
		return separate
	}
	slices.SortStableFunc(separate, func(a, b []Engine) int { return cmp.Compare(copyCapacity(m, a), copyCapacity(m, b)) })
	for len(separate) > 0 && copyCapacity(m, joined) < copyMemoryFactor {
		joined = append(joined, separate[0]...)
		separate = separate[1:]
	}
	return append(separate, joined)
}

func sortedCentres(m map[unit.DataCentre][]Engine) []unit.DataCentre {
	out := make([]unit.DataCentre, 0, len(m))
	for dc := range m {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out
}

// copyCapacity returns how many copies of the model fit into the memory of the
// engines.
func copyCapacity(m *routing.Engine, engines []Engine) float64 {
	sum := routing.Megabytes(0)
	for _, e := range engines {
		sum += e.Card.Memory
	}
	return float64(sum) / (float64(m.LayerMemory) * float64(m.Layers))
}

// maxLayers returns the largest number of layers that leaves a card memory for
// minRequests requests.
func maxLayers(m *routing.Engine, c routing.Card) int {
	return layersWithRequests(m, c, minRequests)
}

// layersWithRequests returns the largest number of layers that leaves a card memory for
// a number of requests of usual size.
func layersWithRequests(m *routing.Engine, c routing.Card, requests float64) int {
	tokens := requests * float64(m.TypicalRequest.PromptTokens+m.TypicalRequest.OutputTokens)
	perLayer := float64(m.LayerMemory) + tokens*m.TokenBytes/float64(m.Layers)/bytesPerMegabyte
	return min(int(float64(c.Memory)/perLayer), int(m.Layers))
}

func (g *group) isEmpty() bool {
	for _, e := range g.engines {
		if e.Layers.Len() > 0 {
			return false
		}
	}
	return true
}

// layout assigns layers to all engines from scratch: about one copy for each
// chainLength engines, as far as the memory goes, with about equal memory.
func (g *group) layout() []Target {
	var out []Target
	for _, c := range splitIntoCopies(g.engines, g.copyCount()) {
		out = append(out, g.placeCopy(c)...)
	}
	return changedTargets(g.engines, out)
}

// copyCount returns the number of copies that the group should hold.
func (g *group) copyCount() int {
	return max(1, min((len(g.engines)+g.chainLength/2)/g.chainLength, int(copyCapacity(g.model, g.engines)/copyMemoryFactor)))
}

// splitIntoCopies assigns engines to n copies of about equal memory.
func splitIntoCopies(engines []Engine, n int) [][]Engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b Engine) int { return cmp.Compare(b.Card.Memory, a.Card.Memory) })
	out := make([][]Engine, n)
	sum := make([]routing.Megabytes, n)
	for _, e := range sorted {
		k := 0
		for i := range sum {
			if sum[i] < sum[k] {
				k = i
			}
		}
		out[k] = append(out[k], e)
		sum[k] += e.Card.Memory
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
	typicalTokens := float64(max(1, g.model.TypicalRequest.PromptTokens+g.model.TypicalRequest.OutputTokens))
	free := (copyCapacity(g.model, engines) - 1) * float64(g.model.LayerMemory) * float64(g.model.Layers)
	requests := free * bytesPerMegabyte / max(1, g.model.TokenBytes*typicalTokens)
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
	requests := freeRequests(m, engines)
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
// memory beside one copy of the model.
func freeRequests(m *routing.Engine, engines []Engine) float64 {
	free := (copyCapacity(m, engines) - 1) * float64(m.LayerMemory) * float64(m.Layers) * bytesPerMegabyte
	return max(0, free) / max(1, m.TokenBytes*float64(m.TypicalRequest.PromptTokens+m.TypicalRequest.OutputTokens))
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
