package streamer

import (
	"context"
	"errors"
	"net/http"

	"oleandercove.example/core/engine"
	"oleandercove.example/oleandercove/dispatcher"
)

// causeOf classifies a failed connection to the first stage. Status 503 means
// that the engine leaves, 429 that it is full but reachable; an engine that
// answers has not crashed.
func causeOf(err error) engine.FailureCause {
	var s *dispatcher.StatusError
	if !errors.As(err, &s) {
		if errors.Is(err, dispatcher.ErrSilent) || dispatcher.NotConnected(err) {
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

// Wait returns when all engines were told which streams ended, or when ctx is
// done. Engines that are not told keep the memory of a stream until it expires.
func (s *Streamer) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.releases.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
