package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/platform"
)

const (
	// minStall is the least silence of a stream that is looked into; passes of
	// loaded engines take up to a fifth of a second, and the look is cheap.
	minStall = 250 * time.Millisecond
	// stallFactor is how many usual gaps of a stream count as a stall.
	stallFactor = 4
	// firstFactor is how many times the expected time to the first event counts
	// as a stall.
	firstFactor = 3
	// writeTimeout ends a caller that reads nothing.
	writeTimeout = 10 * time.Second
)

// stallTime is the silence after which the stream is looked into.
func (s *stream) stallTime() time.Duration {
	if s.gap > 0 {
		return max(minStall, stallFactor*s.gap)
	}
	return max(minStall, firstFactor*s.path.Read.Duration())
}

// relay passes events on until the attempt ends.
func (s *stream) relay() step {
	timer := time.NewTimer(s.stallTime())
	defer timer.Stop()
	for {
		var next step
		select {
		case m, ok := <-s.messages:
			if !ok {
				// The end of a whole stream is a message of its own.
				return stepFail
			}
			next = s.receive(m)
			timer.Reset(s.stallTime())
		case <-timer.C:
			next = s.lookInto()
			timer.Reset(s.stallTime())
		case <-s.lost:
			next = s.replaceSoon()
		case <-s.replaceAt:
			next = s.replace()
		case <-s.ctx.Done():
			return stepFail
		}
		if next != stepWait {
			return next
		}
	}
}

// receive handles one message of the attempt.
func (s *stream) receive(m message) step {
	switch {
	case m.exchange != nil:
		return s.head(m.exchange)
	case m.err == nil:
		return s.pass(m.events)
	case errors.Is(m.err, io.EOF):
		s.ended()
		return stepDone
	default:
		return s.broken(m.err)
	}
}

// head handles the head of a response.
func (s *stream) head(e *exchanger.Exchange) step {
	resp := e.Response
	a := platform.DecodeAnswer(resp.StatusCode, resp.Header)
	if a.NotRun {
		return s.rejected(resp.StatusCode, a)
	}
	if resp.StatusCode == http.StatusOK && !a.Signed {
		return s.broken(errUnsigned)
	}
	if resp.StatusCode != http.StatusOK {
		return s.final(e)
	}
	s.endFallback()
	if s.started {
		return stepWait
	}
	s.copyHeader(resp)
	s.started = true
	s.w.WriteHeader(resp.StatusCode)
	return stepWait
}

// final passes on a whole response that is not a stream.
func (s *stream) final(e *exchanger.Exchange) step {
	o := s.readResponse(e)
	if s.started || !o.usable() {
		return s.broken(errBroken)
	}
	s.deliver(o)
	return stepDone
}

// rejected handles an engine that did not take its part of the chain.
func (s *stream) rejected(status int, a backend.Answer) step {
	s.runs--
	id, ok := s.Directory.Servers().At(a.Fault)
	if !ok {
		id = s.chain[0].ID
	}
	s.refused(id)
	if status == http.StatusMisdirectedRequest {
		s.Judge.Absent(id, s.Timer.Now())
	}
	s.Log.Info("engine rejected its part", "id", s.call.Request, "engine", id, "status", status, "sends", s.sends)
	s.failure = errRejected
	if s.useFallback() {
		return stepWait
	}
	return s.again()
}

// refused leaves an engine out for this request. Others may still use it: it may
// have room for them, and it may be the only one with its layers.
func (s *stream) refused(id unit.BackendID) {
	s.refusedBy[id] = true
	s.Judge.Failed(id, s.Timer.Now())
}

var errRejected = errors.New("engine rejected its part of the chain")

// again tells whether the request may be sent along another chain.
func (s *stream) again() step {
	// An engine that ended does not count as one that ran the request.
	limit := s.route.Attempts + s.endedRuns
	if s.sends >= maxSends || s.runs >= limit || s.left() < minAttempt {
		return stepFail
	}
	if s.runs > 0 && !s.idempotent() {
		return stepFail
	}
	return stepAgain
}

// pass writes events to the caller.
func (s *stream) pass(ev events) step {
	now := time.Now()
	if !ev.first.after(s.last) {
		return s.broken(errOrder)
	}
	if s.ticket != nil {
		s.ticket.Started()
	}
	rc := http.NewResponseController(s.w)
	// A connection without deadlines is still bounded by the deadline of the caller.
	_ = rc.SetWriteDeadline(now.Add(writeTimeout))
	if _, err := s.w.Write(ev.data); err != nil {
		return stepFail
	}
	if err := rc.Flush(); err != nil {
		return stepFail
	}
	s.observeGap(now, ev.first)
	if ev.last != "" {
		s.last = ev.last
	}
	s.passed()
	return stepWait
}

var errOrder = errors.New("events out of order")

// observeGap notes the time since the event before.
func (s *stream) observeGap(now time.Time, id eventID) {
	took := now.Sub(s.lastAt)
	s.lastAt = now
	s.timing.event(now.Sub(s.began), id)
	if s.gap == 0 {
		s.Meter.firstEvent.RecordDuration(now.Sub(s.began))
		s.gap = max(time.Millisecond, s.path.Pass.Duration())
		return
	}
	s.Meter.eventGap.RecordDuration(took)
	s.gap += (took - s.gap) / 4
}

// broken handles an attempt that ended early.
func (s *stream) broken(err error) step {
	s.failure = err
	if s.ctx.Err() != nil {
		return stepFail
	}
	first, now := s.chain[0].ID, s.Timer.Now()
	var x *exchanger.Error
	if errors.As(err, &x) && x.Refused {
		s.runs--
		s.Prober.Down(first, err.Error())
	} else {
		s.Judge.Failed(first, now)
		s.waitFor(s.checkCrash(first, !s.progressed && brokeOff(err)), confirmTime)
		s.countEnded(now)
	}
	s.Log.Info("stream broke off", "id", s.call.Request, "content", s.content, "engine", first, "last", s.last, "runs", s.runs, "err", err)
	if s.useFallback() {
		return stepWait
	}
	next := s.again()
	if next == stepAgain {
		s.awaitTurn()
	}
	return next
}

// ended notes a whole stream.
func (s *stream) ended() {
	now := time.Now()
	for _, h := range s.chain {
		s.Judge.Succeeded(h.ID, now.Sub(s.lastAt))
	}
	s.Screener.Passed(s.content, screener.Whole)
	s.Meter.count("streams_whole_total")
	if t := s.timing; t.late(s.route) {
		s.Meter.count("streams_late_total")
		s.Log.Info("stream was late", "id", s.call.Request, "engine", s.chain[0].ID, "first", t.first, "pause", t.pause,
			"before", t.before, "reroutes", t.reroutes, "runs", s.runs, "sends", s.sends, "resumed", s.call.LastEvent)
	}
}
