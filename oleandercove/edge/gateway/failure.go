package gateway

import (
	"fmt"
	"net/http"
	"time"

	"oleandercove.example/core/verdict"
)

// fail ends the request without a complete response. Once the caller has a part of the
// response, or has disconnected, the connection is aborted.
func (s *stream) fail(err *verdict.Error) {
	callerLeft := s.r.Context().Err() != nil
	switch {
	case callerLeft:
		s.Log.Info("caller disconnected", "id", s.call.Request, "last", s.lastEvent, "obstacle", s.obstacle, "runs", s.runs, "sends", s.sends,
			"after", time.Since(s.arrivedAt), "silent", time.Since(s.lastProgressAt))
	case s.started:
		s.logEarlyEnd(err)
	}
	if callerLeft || s.started {
		s.stopAttempts()
		panic(http.ErrAbortHandler)
	}
	s.refuse(s.refusal(err))
}

// logEarlyEnd logs and counts a stream that ends before its last event.
func (s *stream) logEarlyEnd(err *verdict.Error) {
	now := s.Timer.Now()
	first := s.chain[0].ID
	s.Meter.countEarlyEnd(s.obstacle)
	s.Log.Warn("stream ended early", "id", s.call.Request, "last", s.lastEvent, "obstacle", s.obstacle, "runs", s.runs, "sends", s.sends,
		"after", time.Since(s.arrivedAt), "left", s.timeLeft(), "silent", time.Since(s.lastProgressAt),
		"engine", first, "down", s.Judge.IsDown(first, now), "exited", s.Judge.HasExited(first, now), "err", s.cause(err))
}

// cause returns why the last attempt failed and why there is no other one, on one line.
func (s *stream) cause(err *verdict.Error) string {
	switch {
	case err == nil:
		return fmt.Sprint(s.failure)
	case s.failure == nil:
		return err.Detail
	default:
		return fmt.Sprintf("%v; %s", s.failure, err.Detail)
	}
}

// refusal returns the verdict on a request without an answer: whether it may have run,
// and why it failed.
func (s *stream) refusal(err *verdict.Error) *verdict.Error {
	switch {
	case s.runs > 0 && s.ctx.Err() != nil:
		return verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "no answer in time")
	case s.runs > 0:
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "no usable answer: %v", s.cause(err))
	case err != nil:
		return err
	default:
		return verdict.New(verdict.NotRun, verdict.NoBackend, "no engine took the request: %v", s.failure).WithRetryAfter(s.capacityRetryAfter())
	}
}
