package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/pathfinder"
)

// attempt is one run of a stream along a chain.
type attempt struct {
	path pathfinder.Path
	// replaceTimer fires when the engines that are down are next taken out of the chain;
	// it is nil while no replacement is scheduled.
	replaceTimer <-chan time.Time
	ticket       *ledger.Ticket
	// remote is set if the first engine is in another data centre than this daemon.
	remote   bool
	cancel   context.CancelFunc
	messages <-chan message
	// release is what Screener.Enter returned; it allows other copies of the request to
	// run.
	release func()
	// born is the start of the first engine when the request was sent; 0 if not known.
	born backend.Incarnation
	// answering is set once the first engine has begun to answer.
	answering bool
	// progressed is set once the attempt has sent an event, the first one at progressedAt.
	progressed   bool
	progressedAt time.Time
	// passed is set once the engines have kept running for long enough after that, see
	// screener.PassTime.
	passed bool
	// declaresEnd is set if the response is complete even if it has no event.
	declaresEnd bool
	// crashRecorded is set once a crash record has been made for the chain.
	crashRecorded *atomic.Bool
	// firstEngineCrashed is set once the first engine is known to have crashed.
	firstEngineCrashed bool
}

// stop ends the attempt if it runs.
func (a *attempt) stop() {
	if a.cancel != nil {
		a.cancel()
		a.cancel = nil
	}
	if a.ticket != nil {
		a.ticket.End()
		a.ticket = nil
	}
	a.releaseScreener()
}

// releaseScreener allows other copies of the request to run.
func (a *attempt) releaseScreener() {
	if a.release != nil {
		a.release()
		a.release = nil
	}
}

// keepFallback keeps the running attempt while the request is sent along another chain:
// the engines there may reject it, and the first engine of the running chain still
// holds it.
func (s *stream) keepFallback() {
	if s.fallback != nil {
		return
	}
	s.releaseScreener()
	a := s.attempt
	s.fallback, s.attempt = &a, attempt{}
}

// useFallback ends the running attempt and continues the fallback. It reports whether
// there was one that may continue. The next search for another chain follows after
// resumeInterval.
func (s *stream) useFallback() bool {
	if s.fallback == nil || s.Screener.QuarantineRefusal(s.identity) != nil {
		return false
	}
	s.resumeFallback()
	s.replaceTimer = time.After(resumeInterval(time.Since(s.lastProgressAt)))
	return true
}

// resumeFallback ends the running attempt and makes the fallback the running one.
func (s *stream) resumeFallback() {
	s.attempt.stop()
	s.attempt, s.fallback = *s.fallback, nil
	s.setChain(s.path)
}

// fallbackMessages returns the messages of the fallback, or nil if there is none.
func (s *stream) fallbackMessages() <-chan message {
	if s.fallback == nil {
		return nil
	}
	return s.fallback.messages
}

// handleFallbackMessage handles a message of the fallback, which comes before the running
// attempt has begun to answer: the engines of the fallback have recovered, or it has ended. The
// channel is closed if ok is false.
func (s *stream) handleFallbackMessage(m message, ok bool) step {
	if !ok || m.failed() {
		if m.notRun() {
			s.runs--
		}
		if m.exchange != nil {
			m.exchange.Close()
		}
		s.stopFallback()
		return stepWait
	}
	s.resumeFallback()
	s.Log.Info("earlier attempt continues", "id", s.call.Request, "engine", s.chain[0].ID, "last", s.lastEvent, "silent", time.Since(s.lastProgressAt))
	return s.handleMessage(m)
}

// stopFallback ends the fallback, if there is one.
func (s *stream) stopFallback() {
	if s.fallback != nil {
		s.fallback.stop()
		s.fallback = nil
	}
}
