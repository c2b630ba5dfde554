package planner

import (
	"oleandercove.example/core/unit"
)

// minFlow ends the search for paths; smaller capacities are rounding errors.
const minFlow = 1e-6

// Capacity returns the tokens/s that the engine can run.
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
	// Engines holds the share of the bound that runs on each engine, in the
	// order of the snapshot.
	Engines []unit.TokensPerSecond
}

// MaxFlow computes the throughput bound of a snapshot. Layer boundaries are the
// nodes, and each engine is an edge from its first layer to the one after its
// last, so a path from 0 to the number of layers is a chain.
func MaxFlow(s Snapshot) Flow {
	g := newGraph(s)
	f := Flow{}
	for {
		path := g.path()
		if path == nil {
			break
		}
		f.Bound += unit.TokensPerSecond(g.push(path))
	}
	for i := range s.Engines {
		f.Engines = append(f.Engines, unit.TokensPerSecond(g.edges[2*i+1].room))
	}
	return f
}

// edge is an engine, or the way back that undoes a part of its flow; the two
// are neighbours in the list.
type edge struct {
	from, to unit.Layer
	room     float64
}

type graph struct {
	layers unit.Layer
	edges  []edge
	leave  [][]int
}

func newGraph(s Snapshot) *graph {
	g := &graph{layers: max(0, s.Layers), leave: make([][]int, max(0, s.Layers)+1)}
	for i := range s.Engines {
		e := &s.Engines[i]
		from, to := e.Stage.From, e.Stage.To
		if from < 0 || to > g.layers || from >= to {
			g.edges = append(g.edges, edge{}, edge{})
			continue
		}
		g.edges = append(g.edges, edge{from: from, to: to, room: e.Capacity()}, edge{from: to, to: from})
		g.leave[from] = append(g.leave[from], 2*i)
		g.leave[to] = append(g.leave[to], 2*i+1)
	}
	return g
}

// path returns the edges of a shortest path with room, or nil.
func (g *graph) path() []int {
	via := make([]int, g.layers+1)
	for i := range via {
		via[i] = -1
	}
	queue := []unit.Layer{0}
	for len(queue) > 0 && via[g.layers] < 0 {
		at := queue[0]
		queue = queue[1:]
		for _, i := range g.leave[at] {
			e := g.edges[i]
			if e.room > minFlow && e.to != 0 && via[e.to] < 0 {
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

// push sends as much flow as the path has room for.
func (g *graph) push(path []int) float64 {
	room := g.edges[path[0]].room
	for _, i := range path {
		room = min(room, g.edges[i].room)
	}
	for _, i := range path {
		g.edges[i].room -= room
		g.edges[i^1].room += room
	}
	return room
}
