package streamer

import (
	"context"
	"errors"
	"net/http"

	"oleandercove.example/core/engine"
	"oleandercove.example/oleandercove/dispatcher"
)

// causeOf classifies the error of a connection to the first stage. Status 503 means that
// the engine is leaving, 429 that it is full but reachable. An engine that responds with a
// status has not crashed, so that only a broken connection is CauseBroken, a possible crash;
// failed dials, silence and other statuses are CauseUnreachable.
func causeOf(err error) engine.FailureCause {
	var s *dispatcher.StatusError
	if !errors.As(err, &s) {
		if errors.Is(err, dispatcher.ErrSilent) || dispatcher.IsDialError(err) {
			return engine.CauseUnreachable
		}
		return engine.CauseBroken
	}
	switch s.Status {
	case http.StatusServiceUnavailable:
		return engine.CauseDraining
	case http.StatusTooManyRequests:
		return engine.CauseOverloaded
	default:
		return engine.CauseUnreachable
	}
}

// WaitForReleases blocks until all engines have been notified of the streams that ended,
// or until ctx is done. An engine that is not notified keeps the state of a stream until
// it expires.
func (s *Streamer) WaitForReleases(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
