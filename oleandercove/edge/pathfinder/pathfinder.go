// Package pathfinder chooses the chain of engines for a request.
//
// Find is a pure function of a snapshot of the engines and their load. It searches
// for the chain with the lowest cost by dynamic programming over the layers at which
// a range begins or ends. Ranges may overlap, and a chain may use a part of a range.
//
// Load pattern: many daemons choose at once on reports that are a quarter of a
// second old, engines differ by a factor of seven in speed, and the link between
// data centres carries less than the prompts of all requests. Therefore:
//
//   - The cost of an engine grows with its load.
//   - A chain leaves a data centre only where the rest of the model is elsewhere or
//     much less loaded.
//   - A little noise keeps daemons from choosing the same engine at the same time.
//
// Usage:
//
//	p, ok := pathfinder.Find(model, engines, pathfinder.Request{PromptTokens: 800, OutputTokens: 200})
package pathfinder

import (
	"math"
	"slices"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/ledger"
)

const (
	// passWeight is the weight of a decode pass relative to the prefill of the prompt.
	passWeight = 10
	// crossingWeight multiplies the time to send a prompt between data centres,
	// because all requests share the link.
	crossingWeight = 20
	// slotShare is the share of an engine's slots that chains which begin there may use.
	slotShare = 0.95
	// memoryShare is the share of an engine's request memory that chains may use.
	memoryShare = 1.0
	// costNoise is the largest random share that is added to an engine's cost.
	costNoise = 0.1
	// hopCostMillis is the cost of one more engine in a chain, in milliseconds.
	hopCostMillis = 3
	// MaxHops is the largest number of engines in a chain.
	MaxHops = 32
	// bytesPerMegabyte converts card memory to bytes.
	bytesPerMegabyte = 1e6
	bitsPerByte      = 8
)

// Engine is an engine with its layers and its load.
type Engine struct {
	ID         unit.BackendID
	Address    backend.Address
	DataCentre unit.DataCentre
	Layers     backend.Layers
	Card       routing.Card
	Load       ledger.Load
	// EstimatedLoad is load that no report confirms. It raises the cost of the engine
	// but takes no capacity, because a request must not be refused for an estimate.
	EstimatedLoad ledger.Load
	// Limited is set for an engine that rejected a request with the load LoadLimit lately;
	// it gets no more than that.
	Limited   bool
	LoadLimit unit.TokenLayers
	// Slowdown is the factor by which the engine runs slower than usual, at least 1.
	Slowdown float64
}

// Request holds the size of a request and the constraints on its chain.
type Request struct {
	// PromptTokens and OutputTokens are the lengths of the prompt and of the expected
	// output.
	PromptTokens int
	OutputTokens int
	// FirstEngine is the engine with which the chain must begin, or empty.
	FirstEngine unit.BackendID
	// SameDataCentre excludes chains that cross between data centres.
	SameDataCentre bool
	// CountQueues adds the time that engines need for queued prefills to the cost, for a
	// request whose caller already waits.
	CountQueues bool
	// Random returns a number in [0, 1) for the noise; nil means no noise.
	Random func() float64
}

// ExpectedOutput returns the length of the output, in tokens, for which engines need
// memory: the caller's estimate, or that of a typical request if it is 0, and at most
// the maximum that the caller allows.
//
// Load pattern: callers allow several times the output that most of them get. At the
// highest load, memory for the maximum would stay unused while callers are refused; the
// errors of the estimates even out over the requests of an engine.
func ExpectedOutput(typical routing.TypicalRequest, maximum, estimate int) int {
	if estimate == 0 {
		estimate = typical.OutputTokens
	}
	if estimate == 0 {
		return maximum
	}
	return min(maximum, estimate)
}

func (r Request) tokens() float64 { return float64(r.PromptTokens + r.OutputTokens) }

// Path is a chain with its expected times and its load.
type Path struct {
	Chain backend.Chain
	// TimeToFirstEvent is the expected time to the first event.
	TimeToFirstEvent routing.Milliseconds
	// EventInterval is the expected time between two events.
	EventInterval routing.Milliseconds
	// Items is the load that the request puts on the engines.
	Items []ledger.Item
	// Crossings is how often the chain crosses between data centres.
	Crossings int
}

// TokensOn returns the memory that the request takes on an engine of the path.
func (p Path) TokensOn(id unit.BackendID) unit.TokenLayers {
	for _, it := range p.Items {
		if it.Server == id {
			return it.Tokens
		}
	}
	return 0
}

// Capacity returns the memory of an engine beside its layers, in tokens times layers.
func Capacity(m *routing.Engine, e Engine) unit.TokenLayers {
	free := float64(e.Card.Memory) - float64(m.LayerMemory)*float64(e.Layers.Len())
	perToken := m.TokenBytes / float64(m.Layers)
	if free <= 0 || perToken <= 0 {
		return 0
	}
	return unit.TokenLayers(free * bytesPerMegabyte / perToken)
}

// candidate is an engine with its expected times, in milliseconds.
type candidate struct {
	Engine
	// prefill and decode are for one layer; queueDelay is half of the time for all
	// queued prefills of the engine.
	prefill, queueDelay, decode float64
	// cost is for one layer; layerCapacity is the number of layers for which the engine
	// has memory for the request.
	cost          float64
	layerCapacity int
}

func newCandidate(m *routing.Engine, e Engine, r Request) candidate {
	layers := float64(m.Layers)
	c := candidate{Engine: e}
	share := float64(e.Layers.Len()) / layers
	perToken := e.Card.PrefillFactor * e.Slowdown / (m.PrefillRate * layers)
	c.prefill = float64(r.PromptTokens) * perToken
	c.queueDelay = float64(e.Load.Prefill) * perToken / 2
	batch := 1 + float64(e.Load.Running+e.EstimatedLoad.Running)*share
	context := r.tokens() / 1000
	step := float64(m.StepTime) + batch*(float64(m.RequestTime)+context*float64(m.ContextTime))
	c.decode = float64(m.StepsPerPass) * e.Card.StepFactor * e.Slowdown * step / layers
	free := memoryShare*float64(Capacity(m, e)) - float64(e.Load.Tokens)
	if e.Limited {
		free = min(free, float64(e.LoadLimit-e.Load.Tokens))
	}
	c.layerCapacity = int(free / max(1, r.tokens()))
	utilisation := 1 - (free-float64(e.EstimatedLoad.Tokens))/max(1, memoryShare*float64(Capacity(m, e)))
	c.cost = (c.prefill + passWeight*c.decode) * (1 + 4*math.Pow(max(0, utilisation), 4))
	if r.Random != nil {
		c.cost *= 1 + costNoise*r.Random()
	}
	return c
}

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
}

// Find returns the chain with the lowest cost. It returns false if the engines with
// free capacity don't cover all layers, or if that chain is longer than MaxHops.
func Find(m *routing.Engine, engines []Engine, r Request) (Path, bool) {
	excluded := map[unit.BackendID]bool{}
	for range len(engines) {
		s := newSearch(m, engines, r, excluded)
		p, exclude, ok := s.run(r)
		if !ok {
			return Path{}, false
		}
		if exclude == "" {
			return p, len(p.Chain) <= MaxHops
		}
		// An engine may hold only one stage of a chain; the next search excludes the
		// engine after the first of its stages.
		excluded[exclude] = true
	}
	return Path{}, false
}

func newSearch(m *routing.Engine, engines []Engine, r Request, excluded map[unit.BackendID]bool) *search {
	s := &search{model: m, firstEngine: r.FirstEngine, sameCentre: r.SameDataCentre, countQueues: r.CountQueues}
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
	return s.model.Slots == 0 || float64(c.Load.ChainStarts) < slotShare*float64(s.model.Slots)
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

// FindSingle returns a path of one engine, the one with the lowest cost, for a model of
// which every engine holds all layers. It returns false if none has free capacity.
func FindSingle(m *routing.Engine, engines []Engine, r Request) (Path, bool) {
	best, cost := -1, math.Inf(1)
	for i, e := range engines {
		used := float64(e.Load.Tokens)
		if e.Load.Running >= m.Slots || used+r.tokens() > memoryShare*float64(m.TokenCapacity) {
			continue
		}
		c := e.Slowdown * (1 + float64(e.Load.Running) + used/float64(max(1, m.TokenCapacity)))
		if r.Random != nil {
			c *= 1 + costNoise*r.Random()
		}
		if c < cost {
			best, cost = i, c
		}
	}
	if best < 0 {
		return Path{}, false
	}
	e := engines[best]
	return Path{
		Chain:            backend.Chain{{ID: e.ID, Address: e.Address}},
		TimeToFirstEvent: routing.Milliseconds(float64(r.PromptTokens) / max(1, m.PrefillRate)),
		EventInterval:    m.StepTime * routing.Milliseconds(m.StepsPerPass),
		Items:            []ledger.Item{{Server: e.ID, StartsChain: true, Tokens: unit.TokenLayers(r.tokens()), Prefill: unit.TokenLayers(r.PromptTokens)}},
	}, true
}
