// Package planner computes chains of engines that cover all layers of a model.
//
// A plan is a function of a snapshot of the engines and a policy. It returns the
// chain with the least cost. Stages that the stream keeps cost nothing, so a
// running stream changes engines only where it must.
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
	// Iteration is the time per batch iteration.
	Iteration time.Duration
	MaxBatch  int
	// InFlight counts the streams that hold memory on the engine.
	InFlight   int
	MaxStreams int
	// LinkTime is the time to transfer one activation to the next stage.
	LinkTime time.Duration
	// HoldsState is true for a stage that holds the stream's KV state.
	HoldsState bool
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Layers  unit.Layer
	Engines []Engine
}

// LinkTime returns the latency of the slowest link to a next stage, or 0 without
// links.
func LinkTime(links []engine.Link) time.Duration {
	var longest time.Duration
	for _, l := range links {
		longest = max(longest, time.Duration(l.LatencyMicros)*time.Microsecond)
	}
	return longest
}

// acceptsStream reports whether the engine holds the stream already or has
// capacity for one more.
func (e *Engine) acceptsStream() bool {
	return e.HoldsState || e.MaxStreams == 0 || e.InFlight < e.MaxStreams
}

// Plan returns the cheapest chain, or false if no chain covers all layers.
func Plan(s Snapshot, p Policy) ([]engine.Stage, bool) {
	engines := append([]Engine{}, s.Engines...)
	sort.SliceStable(engines, func(i, j int) bool { return engines[i].Stage.From < engines[j].Stage.From })
	best := make([]prefix, s.Layers+1)
	for i := range best {
		best[i] = prefix{cost: math.MaxInt64, last: -1}
	}
	best[0].cost = 0
	for i := range engines {
		best = relax(best, engines, i, s.Layers, p)
	}
	chain, ok := backtrack(best, engines, s.Layers)
	if ok {
		p.RecordChain(chain)
	}
	return chain, ok
}

// prefix is the cheapest partial chain that covers the layers before a boundary;
// last is the index of its last engine, or -1.
type prefix struct {
	cost time.Duration
	last int
}

// relax replaces the prefix at the last layer boundary of engine i if a chain
// through that engine is cheaper.
func relax(best []prefix, engines []Engine, i int, layers unit.Layer, p Policy) []prefix {
	e := &engines[i]
	from, to := e.Stage.From, e.Stage.To
	if from < 0 || to > layers || from >= to || best[from].cost == math.MaxInt64 || !e.acceptsStream() {
		return best
	}
	cost := best[from].cost
	if !e.HoldsState {
		cost += p.Cost(e)
	}
	if cost < best[to].cost {
		best[to] = prefix{cost: cost, last: i}
	}
	return best
}

// backtrack returns the stages of the cheapest chain from first to last, or false
// if none covers all layers.
func backtrack(best []prefix, engines []Engine, layers unit.Layer) ([]engine.Stage, bool) {
	if layers <= 0 || best[layers].last < 0 {
		return nil, false
	}
	var chain []engine.Stage
	for at := layers; at > 0; {
		e := engines[best[at].last]
		chain = append([]engine.Stage{e.Stage}, chain...)
		at = e.Stage.From
	}
	return chain, true
}
