package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/pathfinder"
)

// attempt is one run of a stream along a chain.
type attempt struct {
	path pathfinder.Path
	// replaceAt is when the engines that are down are taken out of the chain; it is
	// nil while none is known to be.
	replaceAt <-chan time.Time
	ticket    *ledger.Ticket
	cancel    context.CancelFunc
	messages  <-chan message
	// leave ends what the screener holds for the attempt.
	leave func()
	// progressed is set once the attempt has sent an event.
	progressed bool
	// marked is set once the chain has given a mark.
	marked *atomic.Bool
	// firstEnded is set once the process of the first engine is known to have ended.
	firstEnded bool
}

// end stops the attempt, if it runs.
func (a *attempt) end() {
	if a.cancel != nil {
		a.cancel()
		a.cancel = nil
	}
	if a.ticket != nil {
		a.ticket.End()
		a.ticket = nil
	}
	a.endTrial()
}

// endTrial lets copies of the request run.
func (a *attempt) endTrial() {
	if a.leave != nil {
		a.leave()
		a.leave = nil
	}
}

// keepFallback keeps the running attempt while the request is sent along another chain: the
// engines there may reject it, and the first engine of this one still holds it.
func (s *stream) keepFallback() {
	if s.fallback != nil {
		return
	}
	s.endTrial()
	a := s.attempt
	s.fallback, s.attempt = &a, attempt{}
}

// useFallback ends the running attempt and goes on with the fallback, if there
// is one. Other chains are looked for again.
func (s *stream) useFallback() bool {
	if s.fallback == nil || s.Screener.Convicted(s.content) != nil {
		return false
	}
	s.attempt.end()
	s.attempt, s.fallback = *s.fallback, nil
	s.setChain(s.path)
	s.replaceAt = time.After(resumePause)
	return true
}

// endFallback ends the attempt that was kept as fallback.
func (s *stream) endFallback() {
	if s.fallback != nil {
		s.fallback.end()
		s.fallback = nil
	}
}
