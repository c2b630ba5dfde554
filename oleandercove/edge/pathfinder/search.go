package pathfinder

import (
	"math"
	"slices"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/ledger"
)

// partialPath is the cheapest chain up to a boundary that ends in one data centre.
type partialPath struct {
	cost float64
	// engine is the index of the last candidate, from the index of the boundary where
	// its stage begins.
	engine, from int
	// previous is the data centre of the engine before it.
	previous unit.DataCentre
}

// search holds the state of one search for a chain.
type search struct {
	model      *routing.Engine
	candidates []candidate
	boundaries []unit.Layer
	// best holds, for each boundary, the best partial path by last data centre.
	best []map[unit.DataCentre]partialPath
	// crossing is the cost of one crossing between data centres, in milliseconds.
	crossing    float64
	firstEngine unit.BackendID
	sameCentre  bool
	countQueues bool
	// usableSlots is the number of chains that may begin at one engine.
	usableSlots float64
}

func newSearch(m *routing.Engine, engines []Engine, r Request, excluded map[unit.BackendID]bool) *search {
	s := &search{model: m, firstEngine: r.FirstEngine, sameCentre: r.SameDataCentre, countQueues: r.CountQueues, usableSlots: r.usableSlots(m.Slots, slotShare)}
	s.boundaries = append(s.boundaries, 0, m.Layers)
	for _, e := range engines {
		if excluded[e.ID] || e.Layers.Len() <= 0 || !e.Layers.Within(m.Layers) {
			continue
		}
		c := newCandidate(m, e, r)
		if c.layerCapacity <= 0 {
			continue
		}
		s.candidates = append(s.candidates, c)
		s.boundaries = append(s.boundaries, e.Layers.From, e.Layers.To)
	}
	slices.Sort(s.boundaries)
	s.boundaries = slices.Compact(s.boundaries)
	if m.CentreLink > 0 {
		bits := float64(r.PromptTokens) * m.ActivationBytes * bitsPerByte
		s.crossing = crossingWeight * bits / (float64(m.CentreLink) * 1000)
	}
	return s
}

func (s *search) run(r Request) (Path, unit.BackendID, bool) {
	s.best = make([]map[unit.DataCentre]partialPath, len(s.boundaries))
	for i := range s.best {
		s.best[i] = map[unit.DataCentre]partialPath{}
	}
	for i := range s.boundaries {
		if i == 0 {
			s.extend(i, "", partialPath{engine: -1})
			continue
		}
		for dc, partial := range s.best[i] {
			s.extend(i, dc, partial)
		}
	}
	return s.trace(r)
}

// extend appends each engine that holds the layer at boundary i to a partial path.
func (s *search) extend(i int, dc unit.DataCentre, partial partialPath) {
	at := s.boundaries[i]
	for n := range s.candidates {
		c := &s.candidates[n]
		if !c.Layers.Covers(at) || n == partial.engine || (i == 0 && !s.mayBegin(c)) {
			continue
		}
		cost := partial.cost + hopCostMillis
		if s.countQueues {
			cost += c.queueDelay
		}
		if i > 0 && dc != c.DataCentre {
			if s.sameCentre {
				continue
			}
			cost += s.crossing
		}
		for j := i + 1; j < len(s.boundaries) && s.boundaries[j] <= c.Layers.To; j++ {
			length := int(s.boundaries[j] - at)
			if length > c.layerCapacity {
				break
			}
			total := cost + float64(length)*c.cost
			if old, ok := s.best[j][c.DataCentre]; !ok || total < old.cost {
				s.best[j][c.DataCentre] = partialPath{cost: total, engine: n, from: i, previous: dc}
			}
		}
	}
}

// mayBegin reports whether a chain may begin at an engine. A running request keeps
// its first engine and its slot there.
func (s *search) mayBegin(c *candidate) bool {
	if s.firstEngine != "" {
		return c.ID == s.firstEngine
	}
	if c.NotFirst {
		return false
	}
	return s.model.Slots == 0 || float64(c.Load.ChainStarts) < s.usableSlots
}

// trace follows the best partial paths back from the last layer. It returns the
// engine to exclude if another one appears twice.
func (s *search) trace(r Request) (Path, unit.BackendID, bool) {
	end := len(s.boundaries) - 1
	best, dc, ok := partialPath{cost: math.Inf(1)}, unit.DataCentre(""), false
	for d, st := range s.best[end] {
		if st.cost < best.cost || (st.cost == best.cost && d < dc) {
			best, dc, ok = st, d, true
		}
	}
	if !ok {
		return Path{}, "", false
	}
	var stages []stage
	for at := end; at > 0; {
		st := s.best[at][dc]
		c := &s.candidates[st.engine]
		stages = append(stages, stage{candidate: c, layers: backend.Layers{From: s.boundaries[st.from], To: s.boundaries[at]}})
		at, dc = st.from, st.previous
	}
	slices.Reverse(stages)
	return newPath(stages, r), engineBetween(stages), true
}

// stage is an engine of a chain with its layers.
type stage struct {
	*candidate
	layers backend.Layers
}

// engineBetween returns the engine after the first stage of an engine that appears
// twice, or an empty id.
func engineBetween(stages []stage) unit.BackendID {
	for i := range stages {
		for j := i + 1; j < len(stages); j++ {
			if stages[i].ID == stages[j].ID {
				return stages[min(i+1, j)].ID
			}
		}
	}
	return ""
}

func newPath(stages []stage, r Request) Path {
	var p Path
	wait := 0.0
	for i, st := range stages {
		if i > 0 && stages[i-1].DataCentre != st.DataCentre {
			p.Crossings++
		}
		n := float64(st.layers.Len())
		p.Chain = append(p.Chain, backend.Hop{ID: st.ID, Address: st.Address, Layers: st.layers})
		p.TimeToFirstEvent += routing.Milliseconds(n * st.prefill)
		p.EventInterval += routing.Milliseconds(n * st.decode)
		wait = max(wait, st.queueDelay)
		p.Items = append(p.Items, ledger.Item{
			Server: st.ID, StartsChain: i == 0, Tokens: unit.TokenLayers(n * r.tokens()), Prefill: unit.TokenLayers(n * float64(r.PromptTokens)),
		})
	}
	p.TimeToFirstEvent += routing.Milliseconds(wait) + p.EventInterval
	return p
}
