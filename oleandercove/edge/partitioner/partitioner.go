// Package partitioner decides which engine holds which layers of a model.
//
// Plan is a pure function of the engines, the layers that they hold and the goal
// of the previous call:
//
//   - Engines of one data centre hold complete copies of the model among
//     themselves, because the link between data centres carries less than the
//     prompts of all requests.
//   - A data centre whose cards can't hold a copy shares one with others.
//   - A gap is filled by empty engines and by its neighbours in the copy. Where these lack
//     the memory, another engine of the copy migrates to it.
//   - Without gaps or empty engines, layers migrate to even out the capacity for
//     requests.
//
// Load pattern: the loss of an engine makes its copy unusable until its layers are
// loaded elsewhere. All loads share the weight store, so the time is proportional to the
// number of all layers that are loaded. The neighbours in the copy therefore each take
// over a part of the gap, and other layers migrate only where that is not enough.
//
// A stream is late if an engine of its copy is lost before its end, so copies have few engines
// of about equal speed. But fewer copies leave more memory for requests, and memory runs out
// before compute. A group therefore holds about one copy for each ChainLength engines, as long as
// each copy keeps memory for copyRequests requests.
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
	"slices"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

const (
	// ChainLength is the number of engines that hold a copy, where their memory is large
	// enough. It stays far below the maximum length of a chain, so that more engines can fill
	// a gap.
	ChainLength = 6
	// copyRequests is the number of requests of usual size for which each copy of a group with
	// several must have memory: a burst of requests, and those of a copy that is lost.
	copyRequests = 96
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
	tokens := requests * float64(m.TypicalRequest.Tokens())
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
