// Package planner computes chains of engines that cover all layers of a model.
//
// A plan is a pure function of a snapshot of the engines and a policy. The
// chain with the least cost wins; stages to keep cost nothing, so that a
// running stream moves only where it must.
//
// Usage:
//
//	p := planner.NewPolicy(planner.LeastDelay)
//	c, ok := planner.Plan(planner.Snapshot{Layers: 24, Engines: engines}, p)
package planner

import (
	"math"
	"sort"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// Engine is a candidate for a stage.
type Engine struct {
	Stage engine.Stage
	// Iteration is the time of one batch iteration.
	Iteration time.Duration
	MaxBatch  int
	// InFlight counts the streams that hold memory on the engine.
	InFlight   int
	MaxStreams int
	// Link is the time to hand one activation on to the next stage.
	Link time.Duration
	// Keep marks a stage that holds the stream's KV state.
	Keep bool
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Layers  unit.Layer
	Engines []Engine
}

// LinkTime returns the time of the slowest link to a next stage.
func LinkTime(links []engine.Link) time.Duration {
	var longest time.Duration
	for _, l := range links {
		longest = max(longest, time.Duration(l.LatencyMicros)*time.Microsecond)
	}
	return longest
}

func (e *Engine) usable() bool {
	return e.Keep || e.MaxStreams == 0 || e.InFlight < e.MaxStreams
}

// Plan returns the cheapest chain, or false if no chain covers all layers.
func Plan(s Snapshot, p Policy) ([]engine.Stage, bool) {
	engines := append([]Engine{}, s.Engines...)
	sort.SliceStable(engines, func(i, j int) bool { return engines[i].Stage.From < engines[j].Stage.From })
	best := make([]reach, s.Layers+1)
	for i := range best {
		best[i] = reach{cost: math.MaxInt64, via: -1}
	}
	best[0].cost = 0
	for i := range engines {
		best = extend(best, engines, i, s.Layers, p)
	}
	chain, ok := walk(best, engines, s.Layers)
	if ok {
		p.Chosen(chain)
	}
	return chain, ok
}

// reach is the cheapest way to cover the layers before a boundary.
type reach struct {
	cost time.Duration
	via  int
}

func extend(best []reach, engines []Engine, i int, layers unit.Layer, p Policy) []reach {
	e := &engines[i]
	from, to := e.Stage.From, e.Stage.To
	if from < 0 || to > layers || from >= to || best[from].cost == math.MaxInt64 || !e.usable() {
		return best
	}
	cost := best[from].cost
	if !e.Keep {
		cost += p.Cost(e)
	}
	if cost < best[to].cost {
		best[to] = reach{cost: cost, via: i}
	}
	return best
}

func walk(best []reach, engines []Engine, layers unit.Layer) ([]engine.Stage, bool) {
	if layers <= 0 || best[layers].via < 0 {
		return nil, false
	}
	var chain []engine.Stage
	for at := layers; at > 0; {
		e := engines[best[at].via]
		chain = append([]engine.Stage{e.Stage}, chain...)
		at = e.Stage.From
	}
	return chain, true
}
