package gateway

import (
	"math/rand/v2"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/oleandercove/edge/pathfinder"
	"oleandercove.example/oleandercove/edge/rationer"
	"oleandercove.example/oleandercove/edge/surveyor"
)

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// choosePath finds a chain with free capacity; first is set if the chain must begin
// with this engine.
func (s *stream) choosePath(first unit.BackendID) (pathfinder.Path, *verdict.Error) {
	r := s.pathRequest()
	r.FirstEngine = first
	r.SameDataCentre = !s.Rationer.Allows(s.service.Name, s.service.Engine.CentreLink, s.purpose())
	p, ok := s.findPath(r)
	if !ok && r.SameDataCentre {
		s.Meter.count("link_used_up_total")
		s.obstacle = obstacleLink
		return p, s.noChainError("no chain of engines within a data centre has room for %d tokens, and the link between data centres is used up", r)
	}
	if !ok {
		s.obstacle = obstacleCapacity
		return p, s.noChainError("no chain of engines has room for %d tokens", r)
	}
	return p, nil
}

// pathRequest returns the size of the request, for which the chain needs memory.
func (s *stream) pathRequest() pathfinder.Request {
	s.claim = s.Prioritizer.Claim(s.demand(), s.chance, s.Timer.Now())
	return pathfinder.Request{
		PromptTokens: s.call.PromptTokens,
		OutputTokens: s.expectedOutput(),
		HeldBack:     s.claim.HeldBack,
		TimeWeight:   s.claim.TimeWeight,
		DataCentre:   s.DataCentre,
		Random:       rand.Float64,
	}
}

// expectedOutput returns the length of the output, in tokens, for which engines need memory.
func (s *stream) expectedOutput() int {
	return pathfinder.ExpectedOutput(s.service.Engine.TypicalRequest, s.call.MaxOutputTokens, s.call.OutputEstimate)
}

// demand returns the request as the demand for its service counts it.
func (s *stream) demand() surveyor.Request {
	return surveyor.Request{
		Service: s.service.Name, Urgency: s.rank.Urgency, Account: s.account, Tokens: s.call.PromptTokens + s.expectedOutput(),
	}
}

// noChainError returns the refusal of a request for which there is no chain.
func (s *stream) noChainError(format string, r pathfinder.Request) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.Overloaded, format, r.PromptTokens+r.OutputTokens).WithRetryAfter(s.capacityRetryAfter())
	return s.excluded.explain(err, s.Timer.Now())
}

// capacityRetryAfter returns when the caller should retry after a refusal for lack of
// capacity.
func (s *stream) capacityRetryAfter() time.Duration {
	return s.Deferrer.RetryAfter(s.service.Name, s.route.Objective)
}

// purpose returns what the request needs the link between data centres for.
func (s *stream) purpose() rationer.Purpose {
	if s.started {
		return rationer.ResumedRequest
	}
	return rationer.NewRequest
}

// usePath makes a path the current one, and counts its load and the data that it sends
// between data centres.
func (s *stream) usePath(p pathfinder.Path) {
	s.setChain(p)
	s.obstacle = ""
	s.crashRecorded = nil
	s.ticket = s.Ledger.Begin(p.Items)
	if p.Crossings > 0 {
		tokens := float64(p.Crossings * (s.call.PromptTokens + s.call.MaxOutputTokens))
		size := tokens * s.service.Engine.ActivationBytes
		s.Crossings.Add(measurer.Activations, int(size))
		s.Rationer.Spend(rationer.Megabits(size * bitsPerByte / bitsPerMegabit))
	}
}

// findPath finds a chain, or a single engine if engines hold the whole model. A stream that waits
// relies on the failed searches of others, unless it excludes engines of its own.
func (s *stream) findPath(r pathfinder.Request) (pathfinder.Path, bool) {
	if !s.started || r.FirstEngine != "" || len(s.rejectedAt) > 0 {
		return s.searchPath(r)
	}
	now := s.Timer.Now()
	if s.shortages.covers(s.service.Name, r, now) {
		return pathfinder.Path{}, false
	}
	p, ok := s.searchPath(r)
	if !ok {
		s.shortages.add(s.service.Name, r, now)
	}
	return p, ok
}

// searchPath does the same without the failed searches of others.
func (s *stream) searchPath(r pathfinder.Request) (pathfinder.Path, bool) {
	model := s.service.Engine
	engines := s.usableEngines(model.Chained())
	if model.Chained() {
		return pathfinder.Find(model, engines, r)
	}
	return pathfinder.FindSingle(model, engines, r)
}

// usableEngines returns the engines of the service that accept new work. Engines that
// the judge excludes are recorded in excluded.
func (s *stream) usableEngines(chained bool) []pathfinder.Engine {
	now := s.Timer.Now()
	s.excluded = exclusions{}
	servers := s.Directory.Servers().ByService(s.service.Name)
	out := make([]pathfinder.Engine, 0, len(servers))
	for _, x := range servers {
		x.Layers = s.Judge.UsableLayers(x.ID, x.Layers, now)
		if now.Sub(s.rejectedAt[x.ID]) < rejectionTime || (chained && x.Layers.Len() == 0) {
			continue
		}
		if reason, until := s.Judge.ExclusionReason(x, s.Ledger.OwnRunning(x.ID), now); reason != judge.Eligible {
			s.excluded.add(x, reason, s.Judge.BackoffSince(x.ID), until)
			continue
		}
		mayStart, until := s.Throttler.Allows(x)
		if !mayStart && x.Layers.From == 0 {
			s.excluded.addLimited(x, until)
		}
		limit, limited := s.Judge.LoadLimit(x.ID, now)
		out = append(out, pathfinder.Engine{
			ID: x.ID, Address: x.Address, DataCentre: x.DataCentre, Layers: x.Layers, NotFirst: !mayStart, Card: s.service.Engine.Card(x.Card),
			Load: s.Ledger.Load(x.ID), Limited: limited, LoadLimit: limit, EstimatedLoad: s.Ledger.EstimateUnreported(x.ID), Slowdown: s.Judge.Rate(x.ID, now).Factor,
		})
	}
	return out
}
