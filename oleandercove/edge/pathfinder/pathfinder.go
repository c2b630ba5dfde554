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
	// remoteFactor multiplies the cost of engines in another data centre than the daemon, to
	// which the request and the response cross. Bytes between data centres are paid, so a chain
	// there must save more time than that.
	remoteFactor = 1.1
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
	// NotFirst is set for an engine at which no new chain may begin.
	NotFirst bool
}

// Request holds the size of a request and the constraints on its chain.
type Request struct {
	// PromptTokens and OutputTokens are the lengths of the prompt and of the expected
	// output.
	PromptTokens int
	OutputTokens int
	// FirstEngine is the engine with which the chain must begin, or empty.
	FirstEngine unit.BackendID
	// DataCentre is where the caller's daemon runs; engines elsewhere cost more. Empty means
	// that all cost the same.
	DataCentre unit.DataCentre
	// HeldBack is the share of an engine's memory and slots that the request leaves to others.
	HeldBack float64
	// TimeWeight is the weight of the request's time against the room that it takes on loaded
	// engines; 0 means 1.
	//
	// Load pattern: less urgent requests fill the fast engines, and urgent ones run on slow
	// engines, for several times as long, and are late when one of these is lost.
	TimeWeight float64
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

// costFactor returns the factor of an engine's time in its cost, given its utilisation. The first
// part counts the request's own time, the second one the room that it takes from others.
func (r Request) costFactor(utilisation float64) float64 {
	own := r.TimeWeight
	if own == 0 {
		own = 1
	}
	return own + 4*math.Pow(max(0, utilisation), 4)
}

// usableSlots returns the slots of an engine that the request may use, given their share for
// chains that begin there.
func (r Request) usableSlots(slots int, share float64) float64 {
	return (share - r.HeldBack) * float64(slots)
}

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

// FindSingle returns a path of one engine, the one with the lowest cost, for a model of
// which every engine holds all layers. It returns false if none has free capacity.
func FindSingle(m *routing.Engine, engines []Engine, r Request) (Path, bool) {
	best, cost := -1, math.Inf(1)
	for i, e := range engines {
		used := float64(e.Load.Tokens)
		if e.NotFirst || float64(e.Load.Running) >= r.usableSlots(m.Slots, 1) || r.tokens() > e.usableMemory(unit.TokenLayers(m.TokenCapacity), r) {
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
