package gateway

import (
	"errors"
	"fmt"
	"mime"
	"net/http"

	"oleandercove.example/core/backend"
	"oleandercove.example/oleandercove/edge/sequencer"
)

// errNotStream is the failure of an attempt with a response that can't continue the events
// which the caller has.
var errNotStream = errors.New("response does not continue the stream")

const mediaTypeEvents = "text/event-stream"

// attemptSequence returns the position after which the events of a new attempt must come.
func (s *stream) attemptSequence() sequencer.Sequence {
	if s.sends > 1 {
		return s.sequence.Resumed()
	}
	return s.sequence
}

// isStream reports whether the body of a response is a stream of events. One without a type
// counts, because a route for streams has no other responses.
func isStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && (r.Header.Get("Content-Type") == "" || hasEventType(r))
}

// hasEventType reports whether a response declares its body as a stream of events.
func hasEventType(r *http.Response) bool {
	t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && t == mediaTypeEvents
}

// headError returns why nothing of a response may be forwarded, or nil. A caller that has a
// part of the stream gets only the rest of it; one that resumes it itself may also get the
// failure of a server.
func (s *stream) headError(r *http.Response, m backend.ResponseMetadata) error {
	switch {
	case r.StatusCode == http.StatusOK && !m.Signed:
		return errUnsigned
	case isStream(r) && r.Header.Get("Content-Encoding") != "":
		return errEncoded
	case isStream(r):
		return nil
	case s.started, s.lastEvent != "" && r.StatusCode < http.StatusMultipleChoices:
		return fmt.Errorf("%w: %s, %q", errNotStream, r.Status, r.Header.Get("Content-Type"))
	default:
		return nil
	}
}

// declaresEnd reports whether the end of a stream without events is certain: the server
// declares it as a stream, and its end does not depend on that of the connection, which also
// closes if the server crashes.
func declaresEnd(r *http.Response) bool {
	return hasEventType(r) && (r.ContentLength >= 0 || len(r.TransferEncoding) > 0)
}

// errNoEvents is the failure of an attempt that should continue a stream and sent no event.
var errNoEvents = errors.New("response without events")

// endBody handles the end of a body. A server that resumes a stream behind its last event
// has no event left, so that an empty body can be its end.
func (s *stream) endBody() step {
	if s.lastEvent != "" && !s.progressed && !s.declaresEnd {
		return s.handleFailure(errNoEvents)
	}
	s.finish()
	return stepDone
}

// idempotent reports whether the stream may be sent again. Only a stream whose events have
// numbers can be continued by another server.
func (s *stream) idempotent() bool { return s.job.idempotent() && s.sequence.Resumable() }
