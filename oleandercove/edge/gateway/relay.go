package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/platform"
)

const (
	// minStallTime is the shortest silence of a stream that is checked as a stall.
	// Passes of loaded engines take up to a fifth of a second, and the check is cheap.
	minStallTime = 250 * time.Millisecond
	// stallFactor is how many usual gaps of a stream count as a stall.
	stallFactor = 4
	// firstStallFactor is how many times the expected time to the first event counts as
	// a stall.
	firstStallFactor = 3
	// writeTimeout ends the response to a caller that reads nothing.
	writeTimeout = 10 * time.Second
)

// stallTime returns the silence after which the stream is checked for a stall.
func (s *stream) stallTime() time.Duration {
	if s.usualGap > 0 {
		return max(minStallTime, stallFactor*s.usualGap)
	}
	return max(minStallTime, firstStallFactor*s.path.TimeToFirstEvent.Duration())
}

// relay forwards events to the caller until the attempt ends or the context does. It
// returns what the stream does next.
func (s *stream) relay() step {
	timer := time.NewTimer(s.stallTime())
	defer timer.Stop()
	for {
		var next step
		select {
		case m, ok := <-s.messages:
			if !ok {
				// A complete stream ends with a message of its own.
				return stepFail
			}
			next = s.handleMessage(m)
			timer.Reset(s.stallTime())
		case m, ok := <-s.fallbackMessages():
			next = s.handleFallbackMessage(m, ok)
			timer.Reset(s.stallTime())
		case <-timer.C:
			next = s.checkStall()
			timer.Reset(s.stallTime())
		case <-s.engineDown:
			next = s.scheduleReplace()
		case <-s.poisonFound:
			next = s.leaveEngines()
		case <-s.replaceTimer:
			next = s.replaceDownEngines()
		case <-s.ctx.Done():
			return stepFail
		}
		if next != stepWait {
			return next
		}
	}
}

// handleMessage handles one message of the attempt.
func (s *stream) handleMessage(m message) step {
	switch {
	case m.exchange != nil:
		return s.handleHead(m.exchange)
	case m.err == nil:
		return s.forwardEvents(m.events)
	case errors.Is(m.err, io.EOF):
		return s.endBody()
	default:
		return s.handleFailure(m.err)
	}
}

// handleHead handles the status and headers of a response.
func (s *stream) handleHead(e *exchanger.Exchange) step {
	resp := e.Response
	if !isStream(resp) {
		defer e.Close()
	}
	a := platform.DecodeResponseMetadata(resp.StatusCode, resp.Header)
	if a.NotRun {
		return s.handleRejection(resp.StatusCode, a)
	}
	if err := s.headError(resp, a); err != nil {
		return s.handleFailure(err)
	}
	if !isStream(resp) {
		return s.deliverComplete(e)
	}
	s.declaresEnd, s.answering = declaresEnd(resp), true
	if s.started {
		return stepWait
	}
	s.copyHeader(resp)
	s.started = true
	s.w.WriteHeader(resp.StatusCode)
	return stepWait
}

// deliverComplete delivers a complete response that is not a stream.
func (s *stream) deliverComplete(e *exchanger.Exchange) step {
	o := s.readResponse(e)
	if !o.usable() {
		return s.handleFailure(errTruncated)
	}
	s.deliver(o)
	return stepDone
}

// handleRejection handles an engine that rejected its stage of the chain.
func (s *stream) handleRejection(status int, a backend.ResponseMetadata) step {
	s.runs--
	id, ok := s.Directory.Servers().IDByAddress(a.RefusedBy)
	if !ok {
		id = s.chain[0].ID
	}
	s.excludeEngine(id)
	if status == http.StatusMisdirectedRequest {
		s.Judge.SetAbsent(id, s.Timer.Now())
	} else {
		s.Judge.SetFull(id, s.Ledger.Load(id).Tokens-s.path.TokensOn(id), s.Timer.Now())
	}
	// The first engine has responded itself; one that it names may be down.
	if id != s.chain[0].ID {
		s.Prober.ProbeSuspect(id)
	}
	s.Log.Info("engine rejected its part", "id", s.call.Request, "engine", id, "status", status, "sends", s.sends)
	s.failure = errRejected
	if s.useFallback() {
		return stepWait
	}
	next := s.nextTry()
	if next == stepRetry && s.sends >= maxSends {
		s.waitFor(nil, resumeInterval(time.Since(s.lastProgressAt)))
	}
	return next
}

// excludeEngine excludes an engine for this request only, for rejectionTime. The engine may have capacity
// for other requests, and it may be the only one with its layers.
func (s *stream) excludeEngine(id unit.BackendID) {
	s.rejectedAt[id] = s.Timer.Now()
	s.Judge.RecordFailure(id, s.Timer.Now())
}

// errRejected is the failure of an attempt that an engine rejected before it ran.
var errRejected = errors.New("engine rejected its part of the chain")

// nextTry returns stepRetry if the request may be sent along another chain, otherwise
// stepFail.
func (s *stream) nextTry() step {
	// An engine that crashed does not count as one that ran the request.
	limit := s.route.Attempts + s.crashedRuns
	switch {
	case s.timeLeft() < minAttemptTime:
		s.obstacle = obstacleDeadline
	case !s.started && s.sends >= maxSends:
		s.obstacle = obstacleSends
	case s.runs >= limit:
		s.obstacle = obstacleAttempts
	case s.runs > 0 && !s.idempotent():
		s.obstacle = obstacleNotIdempotent
	default:
		return stepRetry
	}
	return stepFail
}

// forwardEvents writes events to the caller.
func (s *stream) forwardEvents(ev events) step {
	now := time.Now()
	s.stopFallback()
	if s.ticket != nil {
		s.ticket.PrefillDone()
	}
	rc := s.extendWriteDeadline(now)
	if _, err := s.w.Write(ev.data); err != nil {
		return s.endUnwritten(err)
	}
	if err := rc.Flush(); err != nil {
		return s.endUnwritten(err)
	}
	if s.remote {
		s.Crossings.Add(measurer.Responses, len(ev.data))
	}
	s.recordGap(now, ev.first)
	s.sequence = ev.sequence
	if ev.last != "" {
		s.lastEvent = ev.last
	}
	s.recordProgress()
	return stepWait
}

// extendWriteDeadline gives the caller writeTimeout from now to read what is written next. If
// the connection has no write deadlines, the deadline of the request still bounds the write.
func (s *stream) extendWriteDeadline(now time.Time) *http.ResponseController {
	rc := http.NewResponseController(s.w)
	_ = rc.SetWriteDeadline(now.Add(writeTimeout))
	return rc
}

// endUnwritten ends a stream whose events can't be written to the caller.
func (s *stream) endUnwritten(err error) step {
	s.failure = fmt.Errorf("forward events: %w", err)
	return stepFail
}

// recordGap records the time since the previous event. For the first event it records
// the time since the arrival of the request.
func (s *stream) recordGap(now time.Time, id eventID) {
	took := now.Sub(s.lastProgressAt)
	s.lastProgressAt = now
	s.timing.addEvent(now.Sub(s.arrivedAt), id)
	if s.usualGap == 0 {
		s.Meter.firstEvent.RecordDuration(now.Sub(s.arrivedAt))
		s.usualGap = max(time.Millisecond, s.path.EventInterval.Duration())
		return
	}
	s.Meter.eventGap.RecordDuration(took)
	s.usualGap += (took - s.usualGap) / 4
}

// handleFailure handles an attempt that ended early.
func (s *stream) handleFailure(err error) step {
	s.failure = err
	if s.ctx.Err() != nil {
		return stepFail
	}
	first, now := s.chain[0].ID, s.Timer.Now()
	var x *exchanger.Error
	if errors.As(err, &x) && x.Unreachable {
		s.runs--
		s.Prober.ReportDown(first, err.Error())
	} else {
		s.Judge.RecordFailure(first, now)
		s.waitFor(s.checkEngineCrash(first, !s.progressed && isConnectionLoss(err)), crashConfirmTime)
		s.countCrashedRun(now)
	}
	s.Log.Info("stream broke off", "id", s.call.Request, "content", s.identity.Content, "parts", s.loggedParts(), "engine", first,
		"last", s.lastEvent, "answering", s.answering, "progressed", s.progressed, "runs", s.runs, "err", err)
	if s.useFallback() {
		return stepWait
	}
	next := s.nextTry()
	if next == stepRetry {
		s.delayResume()
	}
	return next
}

// finish records a complete stream.
func (s *stream) finish() {
	now := time.Now()
	// The last event may be long ago.
	s.extendWriteDeadline(now)
	for _, h := range s.chain {
		s.Judge.RecordSuccess(h.ID, now.Sub(s.lastProgressAt))
	}
	s.Screener.ReachedPosition(s.identity.Content, screener.CompletePosition)
	if s.progressed {
		s.recordPass()
	}
	s.Meter.count("streams_whole_total")
	if t := s.timing; t.isLate(s.route) {
		s.Meter.count("streams_late_total")
		s.Log.Info("stream was late", "id", s.call.Request, "engine", s.chain[0].ID, "first", t.firstEvent, "pause", t.longestGap,
			"before", t.gapEnd, "reroutes", t.reroutes, "runs", s.runs, "sends", s.sends, "resumed", s.call.LastEvent)
	}
}
