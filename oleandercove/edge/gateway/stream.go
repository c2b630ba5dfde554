package gateway

import (
	"context"
	"sync"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/pathfinder"
	"oleandercove.example/oleandercove/edge/sequencer"
)

// maxSends bounds how often a request that has not begun is sent, including sends that
// engines reject.
const maxSends = 4

// stream is the state of one model request.
type stream struct {
	*job
	ctx context.Context
	// engineDown wakes the stream when an engine of its chain is down.
	engineDown chan struct{}
	// poisonFound wakes the stream when parts of prompts have been quarantined.
	poisonFound chan struct{}

	mu    sync.Mutex
	chain backend.Chain

	// attempt is the running attempt. fallback is an earlier one that is kept until the
	// running one has begun to answer, or nil.
	attempt
	fallback *attempt
	// reservedPath is the path of the next attempt, for which a retry has been taken
	// from the budget.
	reservedPath *pathfinder.Path

	// excluded records why engines were left out of the last choice.
	excluded exclusions
	// rejectedAt holds when engines rejected their stage of this request.
	rejectedAt map[unit.BackendID]time.Time

	// sends counts the sends, runs those after which the request may have run.
	sends, runs int
	// crashChecked holds the engines that were checked for a crash under the request.
	crashChecked map[unit.BackendID]bool
	// crashedRuns counts the attempts whose first engine crashed.
	crashedRuns int
	// started is set once the headers have been sent to the caller.
	started   bool
	lastEvent eventID
	// sequence is the position after the last event that the caller has.
	sequence sequencer.Sequence
	// lastProgressAt is the time of the last event, or of a later reroute; the time of
	// the last send while there is no event.
	lastProgressAt time.Time
	// usualGap is the moving average of the time between events.
	usualGap time.Duration
	timing   timing
	failure  error
	// obstacle is what kept the stream from its last search for another chain.
	obstacle obstacle
}

// step is what a stream does next.
type step int

const (
	// stepWait continues with the running attempt.
	stepWait step = iota
	// stepRetry sends the request along another chain.
	stepRetry
	// stepDone ends a stream that is complete, or whose response was delivered whole.
	stepDone
	// stepFail ends the stream with a failure.
	stepFail
)

// runModel answers a request for a model. It relays one attempt after the other until
// the stream is complete or fails.
func (j *job) runModel(ctx context.Context) {
	s := &stream{
		job: j, ctx: ctx, rejectedAt: map[unit.BackendID]time.Time{}, engineDown: make(chan struct{}, 1), poisonFound: make(chan struct{}, 1),
		lastEvent: eventID(j.call.LastEvent),
	}
	s.sequence = sequencer.After(s.lastEvent)
	j.servedModel.Store(true)
	j.streams.add(s)
	defer j.streams.remove(s)
	defer s.stopAttempts()
	for {
		if err := s.beginAttemptWithWait(); err != nil && !s.useFallback() {
			s.fail(err)
			return
		}
		switch s.relay() {
		case stepRetry:
			s.attempt.stop()
		case stepDone:
			return
		default:
			s.fail(nil)
			return
		}
	}
}

// beginAttemptWithWait sends the request along a chain. A request that has not begun is
// refused at once if there is none. A stream that has begun waits for one until its time is
// up or its caller disconnects, because the caller already has a part of the response.
func (s *stream) beginAttemptWithWait() *verdict.Error {
	for {
		err := s.beginAttempt()
		if err == nil || !s.started || s.fallback != nil || !s.mayBeginLater(err) || s.ctx.Err() != nil {
			return err
		}
		s.waitFor(nil, resumeInterval(time.Since(s.lastProgressAt)))
	}
}

// beginAttempt chooses a chain and sends the request along it.
func (s *stream) beginAttempt() *verdict.Error {
	if s.ctx.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "no time left for an attempt")
	}
	if err := s.checkViews(); err != nil {
		return err
	}
	release, err := s.Screener.Enter(s.ctx, s.identity)
	if err != nil {
		return err
	}
	p, err := s.nextPath()
	if err != nil {
		release()
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.attempt = attempt{release: release, cancel: cancel}
	s.usePath(p)
	if x, ok := s.Directory.Servers().Get(p.Chain[0].ID); ok {
		s.born, s.remote = x.Born, x.DataCentre != s.DataCentre
	}
	s.sends++
	s.runs++
	send := backend.RequestMetadata{Server: p.Chain[0].ID, Chain: p.Chain}
	if s.started {
		send.LastEvent = string(s.lastEvent)
	}
	if !s.service.Engine.Chained() {
		send.Chain = nil
	}
	if !s.started {
		s.lastProgressAt = time.Now()
	}
	s.messages = s.sendAsync(ctx, p.Chain[0].Address, send)
	return nil
}

// nextPath returns the path of the next attempt, and counts the request or takes a
// retry from the budget.
func (s *stream) nextPath() (pathfinder.Path, *verdict.Error) {
	if p := s.reservedPath; p != nil {
		s.reservedPath = nil
		if s.takeStart(*p) {
			return *p, nil
		}
	}
	p, err := s.chooseStart()
	if s.sends == 0 {
		now := s.Timer.Now()
		s.Deferrer.Record(s.service.Name, err == nil, now)
		s.Surveyor.Record(s.demand(), err == nil, now)
		s.Meter.countClass(s.rank, err == nil)
	}
	if err != nil {
		return p, err
	}
	if s.sends == 0 {
		s.Budgeter.CountRequest(s.service.Name)
		return p, nil
	}
	if err := s.takeRetry(); err != nil {
		return p, verdict.New(verdict.NotRun, verdict.Overloaded, "%v", err).WithRetryAfter(faultRetryAfter)
	}
	return p, nil
}

// chooseStart finds a chain and takes the right to send a request to its first engine, if that
// names a limit.
func (s *stream) chooseStart() (pathfinder.Path, *verdict.Error) {
	for {
		p, err := s.choosePath("")
		// Another request may have taken the last one since the choice.
		if err != nil || s.takeStart(p) {
			return p, err
		}
	}
}

// takeStart takes the right to send a request to the first engine of a path.
func (s *stream) takeStart(p pathfinder.Path) bool {
	x, ok := s.Directory.Servers().Get(p.Chain[0].ID)
	return !ok || s.Throttler.Take(x)
}

// stopAttempts stops the running attempt and the fallback.
func (s *stream) stopAttempts() {
	s.attempt.stop()
	s.stopFallback()
}
