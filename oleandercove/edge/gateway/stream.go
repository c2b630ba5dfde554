package gateway

import (
	"context"
	"sync"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/pathfinder"
)

// maxSends bounds how often a request is offered to engines that reject it.
const maxSends = 4

// stream is one model request on its way.
type stream struct {
	*job
	ctx context.Context
	// lost wakes the stream when an engine of its chain is down.
	lost chan struct{}

	mu    sync.Mutex
	chain backend.Chain

	// attempt is the running one. The one before is the fallback until a new one has begun
	// to answer.
	attempt
	fallback *attempt
	// reserved is the chain of the next attempt, paid for from the retry budget.
	reserved *pathfinder.Path

	// excluded says why engines were left out of the last choice.
	excluded exclusions
	// refusedBy holds the engines that rejected their part of this request.
	refusedBy map[unit.BackendID]bool

	// sends counts the offers, runs those that may have begun to run.
	sends, runs int
	// checked holds the engines that were looked into because they may have ended under
	// the request.
	checked map[unit.BackendID]bool
	// endedRuns counts the attempts whose first engine ended.
	endedRuns int
	// started is set once the head has gone to the caller.
	started bool
	last    eventID
	lastAt  time.Time
	gap     time.Duration
	timing  timing
	failure error
}

// step is what a stream does next.
type step int

const (
	stepWait step = iota
	// stepAgain sends the request along another chain.
	stepAgain
	// stepDone ends the stream, whole or delivered as it is.
	stepDone
	// stepFail ends the stream with a failure.
	stepFail
)

// runModel answers a request for a model.
func (j *job) runModel(ctx context.Context) {
	s := &stream{job: j, ctx: ctx, refusedBy: map[unit.BackendID]bool{}, lost: make(chan struct{}, 1), last: eventID(j.call.LastEvent)}
	j.served.Store(true)
	j.streams.add(s)
	defer j.streams.remove(s)
	defer s.endAttempt()
	for {
		if err := s.beginSoon(); err != nil && !s.useFallback() {
			s.fail(err)
			return
		}
		switch s.relay() {
		case stepAgain:
			s.attempt.end()
		case stepDone:
			return
		default:
			s.fail(nil)
			return
		}
	}
}

const (
	// resumePatience is how long after its last event a stream that has begun may
	// wait for room on another chain; callers leave some time later.
	resumePatience = 1400 * time.Millisecond
	// resumePause is the time between two looks for room.
	resumePause = 60 * time.Millisecond
)

// beginSoon sends the request along a chain. A request that has not begun is
// refused at once without one; a stream that broke off waits a little, because
// its caller holds a part of the response already.
func (s *stream) beginSoon() *verdict.Error {
	for {
		err := s.begin()
		if err == nil || !s.started || s.fallback != nil || err.Reason == verdict.Quarantined || time.Since(s.lastAt) > resumePatience {
			return err
		}
		select {
		case <-time.After(resumePause):
		case <-s.ctx.Done():
			return err
		}
	}
}

// begin chooses a chain and sends the request along it.
func (s *stream) begin() *verdict.Error {
	if err := s.checkKeys(); err != nil {
		return err
	}
	leave, err := s.Screener.Enter(s.ctx, s.content)
	if err != nil {
		return err
	}
	p, err := s.nextPath()
	if err != nil {
		leave()
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.attempt = attempt{leave: leave, cancel: cancel}
	s.takePath(p)
	s.sends++
	s.runs++
	send := backend.Send{Server: p.Chain[0].ID, Chain: p.Chain}
	if s.started {
		send.LastEvent = string(s.last)
	}
	if !s.service.Engine.Chained() {
		send.Chain = nil
	}
	if !s.started {
		s.lastAt = time.Now()
	}
	s.messages = s.startAttempt(ctx, p.Chain[0].Address, send)
	return nil
}

// nextPath returns the chain of the next attempt.
func (s *stream) nextPath() (pathfinder.Path, *verdict.Error) {
	if p := s.reserved; p != nil {
		s.reserved = nil
		return *p, nil
	}
	p, err := s.choose("")
	if err != nil {
		return p, err
	}
	if s.sends == 0 {
		s.Budgeter.First(s.service.Name)
	} else if !s.Budgeter.Again(s.service.Name) {
		return p, verdict.New(verdict.NotRun, verdict.Overloaded, "retry budget is used up").After(capacityPause)
	}
	return p, nil
}

// endAttempt ends the running attempt and the one before.
func (s *stream) endAttempt() {
	s.attempt.end()
	s.endFallback()
}
