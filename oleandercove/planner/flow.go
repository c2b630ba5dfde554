package planner

import (
	"oleandercove.example/core/unit"
)

// minResidual is the smallest residual capacity in tokens/s that a path may use;
// less is rounding error.
const minResidual = 1e-6

// Capacity returns the tokens/s that the engine can generate, or 0 if its
// iteration time is unknown.
func (e *Engine) Capacity() float64 {
	if e.Iteration <= 0 {
		return 0
	}
	return float64(max(1, e.MaxBatch)) / e.Iteration.Seconds()
}

// Flow is a maximum flow of tokens through the layer boundaries.
type Flow struct {
	// Bound is the highest rate at which the engines can generate tokens.
	Bound unit.TokensPerSecond
	// Engines holds the part of the bound that runs on each engine, in the order
	// of the snapshot.
	Engines []unit.TokensPerSecond
}

// MaxFlow computes the maximum throughput of a snapshot by augmenting shortest
// paths (Edmonds-Karp). Layer boundaries are the nodes. Each engine is an edge
// from its first layer to the layer after its last, so a path from 0 to the
// number of layers is a chain.
func MaxFlow(s Snapshot) Flow {
	g := newGraph(s)
	f := Flow{}
	for {
		path := g.augmentingPath()
		if path == nil {
			break
		}
		f.Bound += unit.TokensPerSecond(g.augment(path))
	}
	for i := range s.Engines {
		f.Engines = append(f.Engines, unit.TokensPerSecond(g.edges[2*i+1].residual))
	}
	return f
}

// edge is an engine with its residual capacity in tokens/s, or the reverse edge
// that undoes a part of its flow. The reverse edge follows its engine in the
// list.
type edge struct {
	from, to unit.Layer
	residual float64
}

// graph holds the edges and, for each boundary, the indices of its outgoing
// edges.
type graph struct {
	layers   unit.Layer
	edges    []edge
	outgoing [][]int
}

// newGraph returns the graph of a snapshot. Engines with an invalid layer range
// get empty edges, so that indices match the snapshot.
func newGraph(s Snapshot) *graph {
	g := &graph{layers: max(0, s.Layers), outgoing: make([][]int, max(0, s.Layers)+1)}
	for i := range s.Engines {
		e := &s.Engines[i]
		from, to := e.Stage.From, e.Stage.To
		if from < 0 || to > g.layers || from >= to {
			g.edges = append(g.edges, edge{}, edge{})
			continue
		}
		g.edges = append(g.edges, edge{from: from, to: to, residual: e.Capacity()}, edge{from: to, to: from})
		g.outgoing[from] = append(g.outgoing[from], 2*i)
		g.outgoing[to] = append(g.outgoing[to], 2*i+1)
	}
	return g
}

// augmentingPath returns the edges of a shortest path with residual capacity,
// last edge first, or nil if none is left.
func (g *graph) augmentingPath() []int {
	via := make([]int, g.layers+1)
	for i := range via {
		via[i] = -1
	}
	queue := []unit.Layer{0}
	for len(queue) > 0 && via[g.layers] < 0 {
		at := queue[0]
		queue = queue[1:]
		for _, i := range g.outgoing[at] {
			e := g.edges[i]
			if e.residual > minResidual && e.to != 0 && via[e.to] < 0 {
				via[e.to] = i
				queue = append(queue, e.to)
			}
		}
	}
	if via[g.layers] < 0 {
		return nil
	}
	var out []int
	for at := g.layers; at != 0; at = g.edges[via[at]].from {
		out = append(out, via[at])
	}
	return out
}

// augment adds as much flow as the path has capacity for and returns it.
func (g *graph) augment(path []int) float64 {
	bottleneck := g.edges[path[0]].residual
	for _, i := range path {
		bottleneck = min(bottleneck, g.edges[i].residual)
	}
	for _, i := range path {
		g.edges[i].residual -= bottleneck
		g.edges[i^1].residual += bottleneck
	}
	return bottleneck
}
