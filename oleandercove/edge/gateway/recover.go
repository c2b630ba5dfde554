package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/pacer"
)

// rerouteSlowdown is how many times slower than usual an engine must run for a silent
// stream to be rerouted away from it; the new engine has to prefill all tokens so far
// again.
const rerouteSlowdown = 2.5

// crashConfirmTime is how long a stream whose connection broke waits for the check
// whether its engine has crashed: a host in the region answers within some milliseconds.
const crashConfirmTime = 10 * time.Millisecond

// errEngineDown is the failure of an attempt whose chain has an engine that is down;
// the request has been sent.
var errEngineDown = errors.New("engine of the chain does not answer")

// checkStall finds out why a stream is silent. It polls the first engine, which reports
// the engines of its chains that do not answer, and may itself not answer.
func (s *stream) checkStall() step {
	if s.replaceTimer != nil {
		return stepWait
	}
	first := s.chain[0]
	now := s.Timer.Now()
	report, err := s.Prober.Report(s.ctx, first.ID, first.Address)
	if err != nil {
		return s.scheduleReplace()
	}
	if s.born > 0 && report.Born > s.born {
		return s.handleRestart()
	}
	for _, x := range report.Stalled {
		// The registry may already list a restarted engine at the address, so the id comes
		// from the chain.
		if id, ok := s.engineAt(x.Engine); ok && x.Request == s.call.Request {
			s.Prober.ReportDown(id, "reported as stalled by the first engine of a chain")
		}
	}
	s.Prober.ReportStalled(report.Stalled)
	if s.anyEngineDown(s.Timer.Now()) {
		return s.scheduleReplace()
	}
	if s.hasSlowEngine(now) && s.reroute(anyCrossings) {
		return stepWait
	}
	s.Log.Info("stream is silent", "id", s.call.Request, "engine", first.ID, "for", time.Since(s.lastProgressAt),
		"running", report.Running, "queued", report.Queued)
	return stepWait
}

// errEngineRestarted is the failure of an attempt whose first engine has started again since.
var errEngineRestarted = errors.New("first engine has restarted")

// handleRestart handles an attempt whose first engine has started again since it began. The
// engine knows nothing of the request, and its connection may stay open and silent.
func (s *stream) handleRestart() step {
	s.failure = errEngineRestarted
	if !s.firstEngineCrashed {
		s.firstEngineCrashed = true
		s.crashedRuns++
	}
	s.Log.Info("engine of a stream has restarted", "id", s.call.Request, "engine", s.chain[0].ID, "last", s.lastEvent, "silent", time.Since(s.lastProgressAt))
	if s.useFallback() {
		return stepWait
	}
	return s.nextTry()
}

// hasSlowEngine reports whether an engine of the chain runs much slower than usual.
func (s *stream) hasSlowEngine(now time.Time) bool {
	for _, h := range s.chain {
		if s.Judge.Slowdown(h.ID, now) >= rerouteSlowdown {
			return true
		}
	}
	return false
}

// engineAt returns the engine of the chain at an address.
func (s *stream) engineAt(a backend.Address) (unit.BackendID, bool) {
	for _, h := range s.chain {
		if h.Address == a {
			return h.ID, true
		}
	}
	return "", false
}

// scheduleReplace replaces the engines that are down after a random delay, so that the
// streams of one engine don't all resume at once.
func (s *stream) scheduleReplace() step {
	if s.replaceTimer != nil {
		return stepWait
	}
	wait := s.recoveryDelay()
	if wait <= 0 {
		return s.replaceDownEngines()
	}
	s.replaceTimer = time.After(wait)
	return stepWait
}

// delayResume blocks for a random delay if an engine of the chain is down, so that the
// streams that broke off together resume one after the other. A stream that broke off
// alone resumes at once.
func (s *stream) delayResume() {
	if s.anyEngineDown(s.Timer.Now()) {
		s.waitFor(nil, s.recoveryDelay())
	}
}

// waitFor blocks until done is closed, d has passed, or the context of the stream ends.
func (s *stream) waitFor(done <-chan struct{}, d time.Duration) {
	select {
	case <-done:
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// recoveryDelay returns how long the stream waits for its reroute; see pacer.Delay.
func (s *stream) recoveryDelay() time.Duration {
	now, m := s.Timer.Now(), s.service.Engine
	servers := s.Directory.Servers()
	place := s.claim.Place(rand.Float64())
	var longest time.Duration
	for _, h := range s.chain {
		x, ok := servers.Get(h.ID)
		if !ok || !s.Judge.IsDown(h.ID, now) {
			continue
		}
		longest = max(longest, pacer.Delay(pacer.Loss{
			Model: m, Card: m.Card(x.Card), Load: s.Ledger.Load(h.ID),
			Silent: time.Since(s.lastProgressAt), MaxGap: s.route.MaxEventGap, FirstEvent: s.path.TimeToFirstEvent.Duration(),
		}, place))
	}
	return longest
}

// replaceDownEngines takes the engines that are down out of the chain. It tries in this
// order:
//
//   - reroute the first engine, if it is up, without more crossings between data centres;
//   - resume the stream along a chain within any one data centre;
//   - reroute the first engine with more crossings;
//   - return what nextTry decides, unless the running attempt can continue and the
//     request is not quarantined;
//   - resume the stream along any chain, or keep the running attempt and try again later.
//
// Resuming in another data centre comes before rerouting with more crossings, because
// the tokens so far don't cross the link between data centres then. That link carries
// one transfer after another and is the last resort.
//
// Load pattern: the only copy of a data centre loses an engine, and all streams there
// look for another chain at the same moment.
func (s *stream) replaceDownEngines() step {
	s.replaceTimer = nil
	select {
	case <-s.engineDown:
	default:
	}
	now := s.Timer.Now()
	if !s.anyEngineDown(now) {
		return stepWait
	}
	s.failure = errEngineDown
	s.checkDownEngines(now)
	s.countCrashedRun(now)
	reroutable := !s.Judge.IsDown(s.chain[0].ID, now) && s.service.Engine.Chained() && s.Screener.MayReroute(s.identity)
	if reroutable && s.reroute(sameCrossings) {
		return stepWait
	}
	canContinue := s.canContinue(now)
	if s.nextTry() == stepRetry && s.reserveLocalPath() {
		return s.switchChain(canContinue)
	}
	if reroutable && s.reroute(anyCrossings) {
		return stepWait
	}
	next := s.nextTry()
	if !canContinue || s.Screener.QuarantineRefusal(s.identity) != nil {
		return next
	}
	if next == stepRetry {
		if s.reserveAnyPath() {
			return s.switchChain(true)
		}
		// The running attempt is kept until there is another chain.
		s.replaceTimer = time.After(resumeInterval(time.Since(s.lastProgressAt)))
	}
	return stepWait
}

// switchChain sends the request along another chain. An attempt that can continue is
// kept as fallback until the other chain has begun to answer.
func (s *stream) switchChain(canContinue bool) step {
	if canContinue {
		s.keepFallback()
	}
	return stepRetry
}

// canContinue reports whether the running attempt can still answer a stream for which
// there is no other chain now: later engines may be replaced in a moment, and silence
// alone does not show that the first one has crashed. A request that has no event yet
// fails at once instead, because its caller can retry.
func (s *stream) canContinue(now time.Time) bool {
	return s.started && s.timeLeft() >= minAttemptTime && !s.Judge.HasExited(s.chain[0].ID, now)
}

// reserveLocalPath finds a chain within a data centre on which the stream can be
// resumed at once, and takes a retry from the budget for it. It reports whether it got
// both.
func (s *stream) reserveLocalPath() bool {
	r := s.pathRequest()
	r.SameDataCentre, r.CountQueues = true, true
	p, ok := s.findPath(r)
	if !ok {
		s.obstacle = obstacleCapacity
		return false
	}
	if s.takeRetry() != nil {
		return false
	}
	s.reservedPath = &p
	return true
}

// reserveAnyPath does the same as reserveLocalPath with a chain that may cross data
// centres.
func (s *stream) reserveAnyPath() bool {
	p, err := s.choosePath("")
	if err != nil {
		return false
	}
	if s.takeRetry() != nil {
		return false
	}
	s.reservedPath = &p
	return true
}

// anyEngineDown reports whether an engine of the chain is down.
func (s *stream) anyEngineDown(now time.Time) bool {
	for _, h := range s.chain {
		if s.Judge.IsDown(h.ID, now) {
			return true
		}
	}
	return false
}

// crossingLimit bounds how often another chain crosses between data centres.
type crossingLimit int

const (
	// sameCrossings allows no more crossings than the current chain has.
	sameCrossings crossingLimit = iota
	// anyCrossings allows more of them.
	anyCrossings
)

// reroute orders the first engine to continue along another chain, and reports whether
// it does.
func (s *stream) reroute(limit crossingLimit) bool {
	p, err := s.choosePath(s.chain[0].ID)
	if err != nil || p.Chain[0].Layers != s.chain[0].Layers || (limit == sameCrossings && p.Crossings > s.path.Crossings) {
		return false
	}
	result, fault, callErr := s.Rerouter.Reroute(s.ctx, s.call.Request, p.Chain)
	s.Log.Info("stream rerouted", "id", s.call.Request, "last", s.lastEvent, "result", result, "fault", fault, "err", callErr)
	if result != backend.OrderBegun && result != backend.OrderDone {
		if id, ok := s.Directory.Servers().IDByAddress(fault); ok {
			s.excludeEngine(id)
			// The engine may lack free capacity, or it may be down.
			s.Prober.ProbeSuspect(id)
		}
		return false
	}
	s.ticket.End()
	s.usePath(p)
	s.timing.reroutes++
	s.lastProgressAt = time.Now()
	return true
}
