package gateway

import (
	"sync"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/pathfinder"
)

// shortages holds the last failed searches for a chain, so that streams that wait don't repeat
// them. It is safe for concurrent use.
//
// Load pattern: engines of a large fleet fall silent, and dozens of streams of a host with a
// fifth of a processor look for another chain several times a second. One search takes up to 2 ms.
type shortages struct {
	mu  sync.Mutex
	all map[shortageKey]shortage
}

// shortageKey is what a search depends on besides the size of the request.
type shortageKey struct {
	service        routing.ServiceName
	sameDataCentre bool
}

// shortage is a failed search for a number of tokens.
type shortage struct {
	tokens   int
	heldBack float64
	at       time.Time
}

// covers reports whether a search would fail like one that failed within minResumeInterval: it
// needs at least as many tokens, and leaves as much to others.
func (s *shortages) covers(n routing.ServiceName, r pathfinder.Request, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.all[shortageKey{n, r.SameDataCentre}]
	return ok && now.Sub(x.at) < minResumeInterval && r.PromptTokens+r.OutputTokens >= x.tokens && r.HeldBack >= x.heldBack
}

// add records a failed search, in place of an earlier one.
func (s *shortages) add(n routing.ServiceName, r pathfinder.Request, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[shortageKey]shortage{}
	}
	s.all[shortageKey{n, r.SameDataCentre}] = shortage{tokens: r.PromptTokens + r.OutputTokens, heldBack: r.HeldBack, at: now}
}
