package gateway

import (
	"errors"
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
		s.Log.Info("caller disconnected", "id", s.call.Request, "last", s.lastEvent, "after", time.Since(s.arrivedAt))
	case s.started:
		s.Log.Warn("stream ended early", "id", s.call.Request, "last", s.lastEvent, "runs", s.runs, "after", time.Since(s.arrivedAt), "err", errors.Join(s.failure, asError(err)))
	}
	if callerLeft || s.started {
		s.stopAttempts()
		panic(http.ErrAbortHandler)
	}
	s.refuse(s.refusal(err))
}

// asError returns nil for a nil pointer, instead of an interface that holds one.
func asError(err *verdict.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// refusal returns the verdict on a request without an answer: whether it may have run,
// and why it failed.
func (s *stream) refusal(err *verdict.Error) *verdict.Error {
	switch {
	case s.runs > 0 && s.ctx.Err() != nil:
		return verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "no answer in time")
	case s.runs > 0:
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "no usable answer: %v", s.failure)
	case err != nil:
		return err
	default:
		return verdict.New(verdict.NotRun, verdict.NoBackend, "no engine took the request: %v", s.failure).WithRetryAfter(s.capacityRetryAfter())
	}
}
