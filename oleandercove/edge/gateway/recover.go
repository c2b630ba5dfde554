package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/pacer"
	"oleandercove.example/oleandercove/edge/pathfinder"
)

// slowFactor is how many times slower than usual an engine must run for a silent
// stream to leave it; the new engine reads all tokens so far again.
const slowFactor = 2.5

// confirmTime is how long after the end of a connection it is known whether the
// engine itself has ended: a host in the region answers within some milliseconds.
const confirmTime = 10 * time.Millisecond

var errEngineDown = errors.New("engine of the chain does not answer")

// lookInto finds out why a stream is silent: an engine of its chain that does
// not answer is named by the first engine, which may itself not answer.
func (s *stream) lookInto() step {
	if s.replaceAt != nil {
		return stepWait
	}
	first := s.chain[0]
	now := s.Timer.Now()
	report, err := s.Prober.Report(s.ctx, first.ID, first.Address)
	if err != nil {
		return s.replaceSoon()
	}
	for _, x := range report.Stalled {
		// The engine of the chain may have started anew at its address.
		if id, ok := s.hopAt(x.Engine); ok && x.Request == s.call.Request {
			s.Prober.Down(id, "named by the first engine of a chain")
		}
	}
	s.Prober.Stalled(report.Stalled)
	if s.anyDown(s.Timer.Now()) {
		return s.replaceSoon()
	}
	if s.slowHop(now) && s.reroute(across) {
		return stepWait
	}
	s.Log.Info("stream is silent", "id", s.call.Request, "engine", first.ID, "for", time.Since(s.lastAt),
		"running", report.Running, "queued", report.Queued)
	return stepWait
}

// slowHop tells whether an engine of the chain runs much slower than usual.
func (s *stream) slowHop(now time.Time) bool {
	for _, h := range s.chain {
		if s.Judge.Slowdown(h.ID, now) >= slowFactor {
			return true
		}
	}
	return false
}

// hopAt returns the engine of the chain at an address.
func (s *stream) hopAt(a backend.Address) (unit.BackendID, bool) {
	for _, h := range s.chain {
		if h.Address == a {
			return h.ID, true
		}
	}
	return "", false
}

// replaceSoon plans when the engines that are down are taken out of the chain.
// The streams of one engine don't all start at once.
func (s *stream) replaceSoon() step {
	if s.replaceAt != nil {
		return stepWait
	}
	wait := s.recoveryPause()
	if wait <= 0 {
		return s.replace()
	}
	s.replaceAt = time.After(wait)
	return stepWait
}

// awaitTurn lets the streams that break off with their first engine start again
// one after the other. A stream that broke off alone goes on at once.
func (s *stream) awaitTurn() {
	if s.anyDown(s.Timer.Now()) {
		s.waitFor(nil, s.recoveryPause())
	}
}

// waitFor waits until the channel is closed, for no longer than a time.
func (s *stream) waitFor(done <-chan struct{}, d time.Duration) {
	select {
	case <-done:
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// recoveryPause is a random part of the time over which the streams of the
// engines that are down are sent along other chains.
func (s *stream) recoveryPause() time.Duration {
	now, m := s.Timer.Now(), s.service.Engine
	servers := s.Directory.Servers()
	var spread time.Duration
	for _, h := range s.chain {
		if x, ok := servers.Get(h.ID); ok && s.Judge.IsDown(h.ID, now) {
			spread = max(spread, pacer.Spread(m, m.Card(x.Card), s.Ledger.Load(h.ID), time.Since(s.lastAt)))
		}
	}
	return time.Duration(rand.Float64() * float64(spread))
}

// replace takes the engines that are down out of the chain. The first engine of
// the chain goes on along another one, if it lives and the new engines are in the
// data centres of the chain. Otherwise the stream is resumed along a chain of
// another data centre: the tokens so far don't cross the link between data
// centres then, which carries one transfer after another. That link is the last
// resort.
//
// Load pattern: the only copy of a data centre loses an engine, and all streams
// there look for another chain at the same moment.
func (s *stream) replace() step {
	s.replaceAt = nil
	select {
	case <-s.lost:
	default:
	}
	now := s.Timer.Now()
	if !s.anyDown(now) {
		return stepWait
	}
	s.failure = errEngineDown
	s.checkDown(now)
	s.countEnded(now)
	reroutable := !s.Judge.IsDown(s.chain[0].ID, now) && s.service.Engine.Chained() && s.Screener.MayMove(s.content)
	if reroutable && s.reroute(within) {
		return stepWait
	}
	mayGoOn := s.mayGoOn(now)
	if s.again() == stepAgain && s.reserve() {
		return s.leaveChain(mayGoOn)
	}
	if reroutable && s.reroute(across) {
		return stepWait
	}
	next := s.again()
	if !mayGoOn || s.Screener.Convicted(s.content) != nil {
		return next
	}
	if next == stepAgain {
		if s.reserveAnywhere() {
			return s.leaveChain(true)
		}
		// The running attempt is not given up before there is another chain.
		s.replaceAt = time.After(resumePause)
	}
	return stepWait
}

// leaveChain sends the request along another chain. An attempt that may go on is kept
// until the other one has begun to answer.
func (s *stream) leaveChain(mayGoOn bool) step {
	if mayGoOn {
		s.keepFallback()
	}
	return stepAgain
}

// mayGoOn tells whether a stream for which there is no other chain now can still be
// answered by its running attempt: later engines may be replaced in a moment, and
// silence alone does not show that the first one has ended. A request that has no
// event yet fails at once instead, because its caller can ask again.
func (s *stream) mayGoOn(now time.Time) bool {
	return s.started && s.left() >= minAttempt && !s.Judge.HasEnded(s.chain[0].ID, now) &&
		(!s.Judge.IsDown(s.chain[0].ID, now) || time.Since(s.lastAt) < resumePatience)
}

// reserve finds a chain within a data centre on which the stream can be resumed
// at once, and takes a retry from the budget for it.
func (s *stream) reserve() bool {
	p, ok := s.findPath(pathfinder.Request{
		Prompt: s.call.PromptTokens, Output: s.call.OutputTokens, Stay: true, Hurry: true, Random: rand.Float64,
	})
	if !ok || !s.Budgeter.Again(s.service.Name) {
		return false
	}
	s.reserved = &p
	return true
}

// reserveAnywhere does the same with a chain that may cross data centres.
func (s *stream) reserveAnywhere() bool {
	p, err := s.choose("")
	if err != nil || !s.Budgeter.Again(s.service.Name) {
		return false
	}
	s.reserved = &p
	return true
}

func (s *stream) anyDown(now time.Time) bool {
	for _, h := range s.chain {
		if s.Judge.IsDown(h.ID, now) {
			return true
		}
	}
	return false
}

// reach says where the engines of another chain may be.
type reach int

const (
	// within keeps the number of crossings between data centres.
	within reach = iota
	// across allows more of them.
	across
)

// reroute orders the first engine to go on along another chain.
func (s *stream) reroute(r reach) bool {
	p, err := s.choose(s.chain[0].ID)
	if err != nil || p.Chain[0].Layers != s.chain[0].Layers || (r == within && p.Crossings > s.path.Crossings) {
		return false
	}
	result, fault, callErr := s.Engines.Reroute(s.ctx, s.call.Request, p.Chain)
	s.Log.Info("stream rerouted", "id", s.call.Request, "last", s.last, "result", result, "fault", fault, "err", callErr)
	if result != backend.OrderBegun && result != backend.OrderDone {
		if id, ok := s.Directory.Servers().At(fault); ok {
			s.refused(id)
			// The engine may have no room, or it may be gone.
			s.Prober.Suspect(id)
		}
		return false
	}
	s.ticket.End()
	s.takePath(p)
	s.timing.reroutes++
	s.lastAt = time.Now()
	return true
}
