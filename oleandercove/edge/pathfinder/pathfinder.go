// Package pathfinder chooses the chain of engines for a request.
//
// Find is a pure function of a snapshot. It looks for the chain with the lowest
// cost over all points at which a chain may change from one engine to the next.
// Engines may hold overlapping ranges, and a chain may use a part of a range.
//
// Load pattern: many daemons choose at once on reports that are a quarter of a
// second old, engines differ by a factor of seven in speed, and the link between
// data centres carries less than the prompts of all requests. The cost of an
// engine therefore grows with its load, a chain leaves a data centre only where
// the rest of the model is elsewhere or much less loaded, and a little noise
// keeps daemons from choosing the same engine together.
//
// Usage:
//
//	p, ok := pathfinder.Find(model, engines, pathfinder.Request{Prompt: 800, Output: 200})
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
	// passWeight is how many passes count as much as reading the prompt once.
	passWeight = 10
	// crossingWeight is how often the time to move a prompt between data centres
	// counts, because the link is shared by all requests.
	crossingWeight = 20
	// slotShare is the part of an engine's slots that is planned for the requests
	// that begin there.
	slotShare = 0.95
	// memoryShare is the part of an engine's memory for requests that is planned.
	memoryShare = 0.92
	// noise is the random part of an engine's cost.
	noise = 0.1
	// hopCost is the cost of one more engine, in milliseconds.
	hopCost = 3
	// MaxHops is the largest number of engines in a chain.
	MaxHops = 32
	// bytesPerMegabyte converts the memory of cards.
	bytesPerMegabyte = 1e6
	bitsPerByte      = 8
)

// Engine is an engine with its load.
type Engine struct {
	ID         unit.BackendID
	Address    backend.Address
	DataCentre unit.DataCentre
	Layers     backend.Layers
	Card       routing.Card
	Load       ledger.Load
	// Guess is load that is not known but likely. It raises the cost of the engine and
	// takes no room, because a request must not be refused for a guess.
	Guess ledger.Load
	// Slowdown is how many times slower than usual the engine runs, at least 1.
	Slowdown float64
}

// Request is what the choice depends on.
type Request struct {
	Prompt int
	Output int
	// First is set if the chain must begin with this engine.
	First unit.BackendID
	// Stay forbids chains that cross between data centres.
	Stay bool
	// Hurry counts the prompts that engines still have to read, for a request
	// whose caller already waits.
	Hurry bool
	// Random returns a number in [0, 1).
	Random func() float64
}

func (r Request) tokens() float64 { return float64(r.Prompt + r.Output) }

// Path is a chain with what it is expected to take.
type Path struct {
	Chain backend.Chain
	// Read is the expected time to the first event.
	Read routing.Milliseconds
	// Pass is the expected time between two events.
	Pass routing.Milliseconds
	// Items is the load that the request puts on the engines.
	Items []ledger.Item
	// Crossings is how often the chain crosses between data centres.
	Crossings int
}

// Capacity returns the tokens times layers that an engine can hold beside its
// layers.
func Capacity(m *routing.Engine, e Engine) ledger.TokenLayers {
	free := float64(e.Card.Memory) - float64(m.LayerMemory)*float64(e.Layers.Len())
	perToken := m.TokenBytes / float64(m.Layers)
	if free <= 0 || perToken <= 0 {
		return 0
	}
	return ledger.TokenLayers(free * bytesPerMegabyte / perToken)
}

// candidate is an engine with its costs for one layer, in milliseconds.
type candidate struct {
	Engine
	read, wait, pass float64
	// cost is for one layer; room is the number of layers that fit.
	cost float64
	room int
}

func newCandidate(m *routing.Engine, e Engine, r Request) candidate {
	layers := float64(m.Layers)
	c := candidate{Engine: e}
	share := float64(e.Layers.Len()) / layers
	perToken := e.Card.ReadFactor * e.Slowdown / (m.ReadRate * layers)
	c.read = float64(r.Prompt) * perToken
	c.wait = float64(e.Load.Reading) * perToken / 2
	batch := 1 + float64(e.Load.Running+e.Guess.Running)*share
	context := r.tokens() / 1000
	step := float64(m.StepTime) + batch*(float64(m.RequestTime)+context*float64(m.ContextTime))
	c.pass = float64(m.StepsPerPass) * e.Card.StepFactor * e.Slowdown * step / layers
	free := memoryShare*float64(Capacity(m, e)) - float64(e.Load.Tokens)
	c.room = int(free / max(1, r.tokens()))
	fill := 1 - (free-float64(e.Guess.Tokens))/max(1, memoryShare*float64(Capacity(m, e)))
	c.cost = (c.read + passWeight*c.pass) * (1 + 4*math.Pow(max(0, fill), 4))
	if r.Random != nil {
		c.cost *= 1 + noise*r.Random()
	}
	return c
}

// step is the best way to a cut with a last engine.
type step struct {
	cost float64
	// engine is the index of the last engine, from the cut where it begins.
	engine, from int
	// previous is the data centre of the engine before.
	previous unit.DataCentre
}

// search holds the state of one Find.
type search struct {
	model      *routing.Engine
	candidates []candidate
	cuts       []unit.Layer
	// best holds, for each cut, the best step for each last data centre.
	best     []map[unit.DataCentre]step
	crossing float64
	first    unit.BackendID
	stay     bool
	hurry    bool
}

// Find returns the chain with the lowest cost, or false if no engines with room
// cover all layers.
func Find(m *routing.Engine, engines []Engine, r Request) (Path, bool) {
	excluded := map[unit.BackendID]bool{}
	for range len(engines) {
		s := newSearch(m, engines, r, excluded)
		p, repeated, ok := s.run(r)
		if !ok {
			return Path{}, false
		}
		if repeated == "" {
			return p, len(p.Chain) <= MaxHops
		}
		// An engine may serve only one part of a chain; the engine between the two
		// parts is left out.
		excluded[repeated] = true
	}
	return Path{}, false
}

func newSearch(m *routing.Engine, engines []Engine, r Request, excluded map[unit.BackendID]bool) *search {
	s := &search{model: m, first: r.First, stay: r.Stay, hurry: r.Hurry}
	s.cuts = append(s.cuts, 0, m.Layers)
	for _, e := range engines {
		if excluded[e.ID] || e.Layers.Len() <= 0 || !e.Layers.Within(m.Layers) {
			continue
		}
		c := newCandidate(m, e, r)
		if c.room <= 0 {
			continue
		}
		s.candidates = append(s.candidates, c)
		s.cuts = append(s.cuts, e.Layers.From, e.Layers.To)
	}
	slices.Sort(s.cuts)
	s.cuts = slices.Compact(s.cuts)
	if m.CentreLink > 0 {
		bits := float64(r.Prompt) * m.ActivationBytes * bitsPerByte
		s.crossing = crossingWeight * bits / (float64(m.CentreLink) * 1000)
	}
	return s
}

func (s *search) run(r Request) (Path, unit.BackendID, bool) {
	s.best = make([]map[unit.DataCentre]step, len(s.cuts))
	for i := range s.best {
		s.best[i] = map[unit.DataCentre]step{}
	}
	for i := range s.cuts {
		if i == 0 {
			s.extend(i, "", step{engine: -1})
			continue
		}
		for dc, st := range s.best[i] {
			s.extend(i, dc, st)
		}
	}
	return s.trace(r)
}

// extend adds each engine that holds the layer at a cut.
func (s *search) extend(i int, dc unit.DataCentre, st step) {
	at := s.cuts[i]
	for n := range s.candidates {
		c := &s.candidates[n]
		if !c.Layers.Covers(at) || n == st.engine || (i == 0 && !s.mayBegin(c)) {
			continue
		}
		cost := st.cost + hopCost
		if s.hurry {
			cost += c.wait
		}
		if i > 0 && dc != c.DataCentre {
			if s.stay {
				continue
			}
			cost += s.crossing
		}
		for j := i + 1; j < len(s.cuts) && s.cuts[j] <= c.Layers.To; j++ {
			length := int(s.cuts[j] - at)
			if length > c.room {
				break
			}
			total := cost + float64(length)*c.cost
			if old, ok := s.best[j][c.DataCentre]; !ok || total < old.cost {
				s.best[j][c.DataCentre] = step{cost: total, engine: n, from: i, previous: dc}
			}
		}
	}
}

// mayBegin tells whether a chain may begin at an engine. A running request keeps
// its first engine and its slot there.
func (s *search) mayBegin(c *candidate) bool {
	if s.first != "" {
		return c.ID == s.first
	}
	return s.model.Slots == 0 || float64(c.Load.Heads) < slotShare*float64(s.model.Slots)
}

// trace follows the best steps back from the last layer. It returns an engine
// to leave out if another one appears twice.
func (s *search) trace(r Request) (Path, unit.BackendID, bool) {
	end := len(s.cuts) - 1
	best, dc, ok := step{cost: math.Inf(1)}, unit.DataCentre(""), false
	for d, st := range s.best[end] {
		if st.cost < best.cost || (st.cost == best.cost && d < dc) {
			best, dc, ok = st, d, true
		}
	}
	if !ok {
		return Path{}, "", false
	}
	var parts []part
	for at := end; at > 0; {
		st := s.best[at][dc]
		c := &s.candidates[st.engine]
		parts = append(parts, part{candidate: c, layers: backend.Layers{From: s.cuts[st.from], To: s.cuts[at]}})
		at, dc = st.from, st.previous
	}
	slices.Reverse(parts)
	return newPath(parts, r), repeated(parts), true
}

// part is one engine of a chain.
type part struct {
	*candidate
	layers backend.Layers
}

// repeated returns the engine after the first part of an engine that appears
// twice, or nothing.
func repeated(parts []part) unit.BackendID {
	for i := range parts {
		for j := i + 1; j < len(parts); j++ {
			if parts[i].ID == parts[j].ID {
				return parts[min(i+1, j)].ID
			}
		}
	}
	return ""
}

func newPath(parts []part, r Request) Path {
	var p Path
	wait := 0.0
	for i, x := range parts {
		if i > 0 && parts[i-1].DataCentre != x.DataCentre {
			p.Crossings++
		}
		n := float64(x.layers.Len())
		p.Chain = append(p.Chain, backend.Hop{ID: x.ID, Address: x.Address, Layers: x.layers})
		p.Read += routing.Milliseconds(n * x.read)
		p.Pass += routing.Milliseconds(n * x.pass)
		wait = max(wait, x.wait)
		p.Items = append(p.Items, ledger.Item{
			Server: x.ID, Head: i == 0, Tokens: ledger.TokenLayers(n * r.tokens()), Reading: ledger.TokenLayers(n * float64(r.Prompt)),
		})
	}
	p.Read += routing.Milliseconds(wait) + p.Pass
	return p
}

// FindOne returns the engine with the lowest cost for a model that every engine
// holds whole, or false if none has room.
func FindOne(m *routing.Engine, engines []Engine, r Request) (Path, bool) {
	best, cost := -1, math.Inf(1)
	for i, e := range engines {
		used := float64(e.Load.Tokens)
		if e.Load.Running >= m.Slots || used+r.tokens() > memoryShare*float64(m.TokenCapacity) {
			continue
		}
		c := e.Slowdown * (1 + float64(e.Load.Running) + used/float64(max(1, m.TokenCapacity)))
		if r.Random != nil {
			c *= 1 + noise*r.Random()
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
		Chain: backend.Chain{{ID: e.ID, Address: e.Address}},
		Read:  routing.Milliseconds(float64(r.Prompt) / max(1, m.ReadRate)),
		Pass:  m.StepTime * routing.Milliseconds(m.StepsPerPass),
		Items: []ledger.Item{{Server: e.ID, Head: true, Tokens: ledger.TokenLayers(r.tokens()), Reading: ledger.TokenLayers(r.Prompt)}},
	}, true
}
