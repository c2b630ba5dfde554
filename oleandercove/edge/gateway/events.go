package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"

	"oleandercove.example/core/backend"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/sequencer"
	"oleandercove.example/platform"
)

const (
	// streamBuffer is the initial size of the buffer for events, in bytes.
	streamBuffer = 4 << 10
	// maxEvent bounds one event, in bytes. An event holds a few tokens; some dozen
	// engines that send without end must not fill the memory of a small host.
	maxEvent = 64 << 10
	// messageBacklog is the number of messages of an attempt that wait for a slow
	// caller.
	messageBacklog = 4
)

// message is one part of the response of an attempt: first the exchange, then events,
// last an error, which is io.EOF at the end of a complete stream. If the response is no
// stream, the exchange is the only message, and its receiver closes it.
type message struct {
	exchange *exchanger.Exchange
	events   events
	err      error
}

// failed reports whether the message says that the attempt has no more events.
func (m message) failed() bool {
	if m.exchange != nil {
		return !isStream(m.exchange.Response)
	}
	return m.err != nil && !errors.Is(m.err, io.EOF)
}

// notRun reports whether the message shows that no engine ran the request.
func (m message) notRun() bool {
	if m.exchange != nil {
		r := m.exchange.Response
		return platform.DecodeResponseMetadata(r.StatusCode, r.Header).NotRun
	}
	var x *exchanger.Error
	return errors.As(m.err, &x) && x.Unreachable
}

// events is a sequence of complete events.
type events struct {
	data []byte
	// first and last are the ids of the first and last event; empty if the events have
	// none.
	first, last eventID
	// sequence is the position in the stream after the events.
	sequence sequencer.Sequence
}

// eventID is the id of an event as the backend server wrote it.
type eventID = sequencer.EventID

// errEventSize is the failure of an attempt that sent an event larger than maxEvent.
var errEventSize = errors.New("event is too large")

// sendAsync sends the request and reads its response in the background. The channel is
// closed after the last message; cancelling ctx ends the attempt. The receiver of the
// exchange closes it, unless it is a stream of events.
func (s *stream) sendAsync(ctx context.Context, a backend.Address, m backend.RequestMetadata) <-chan message {
	out := make(chan message, messageBacklog)
	q := s.attemptSequence()
	go func() {
		defer close(out)
		e, err := s.send(ctx, a, m)
		if err != nil {
			sendMessage(ctx, out, message{err: err})
			return
		}
		if !isStream(e.Response) {
			// The receiver reads the body and closes the exchange; otherwise the end of ctx
			// closes the connection.
			sendMessage(ctx, out, message{exchange: e})
			return
		}
		defer e.Close()
		if sendMessage(ctx, out, message{exchange: e}) {
			readEvents(ctx, e.Response.Body, q, out)
		}
	}()
	return out
}

// sendMessage blocks until the message is taken or ctx ends, and reports whether it was
// taken.
func sendMessage(ctx context.Context, out chan<- message, m message) bool {
	select {
	case out <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// readEvents splits a body into complete events that come next after q. An incomplete event
// before an error is dropped, so that a resumed stream continues after the last complete
// event. So is everything from the first bytes that are no event, or not the next one.
func readEvents(ctx context.Context, body io.Reader, q sequencer.Sequence, out chan<- message) {
	buf := make([]byte, 0, streamBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		ev, splitErr := nextEvents(buf, &q)
		if len(ev.data) > 0 {
			buf = append(buf[:0], buf[len(ev.data):]...)
			if !sendMessage(ctx, out, message{events: ev}) {
				return
			}
		}
		if err = endError(buf, err, splitErr); err != nil {
			sendMessage(ctx, out, message{err: err})
			return
		}
	}
}

// endError returns why an attempt ends, or nil if its body continues after rest.
func endError(rest []byte, readErr, splitErr error) error {
	switch {
	case splitErr != nil:
		return splitErr
	case len(rest) > maxEvent:
		return errEventSize
	case readErr == io.EOF && sequencer.IsIncomplete(rest):
		return io.ErrUnexpectedEOF
	default:
		return readErr
	}
}

// nextEvents returns a copy of the complete events at the start of b that come next after q,
// and moves q behind them. The error says why other bytes can't follow.
func nextEvents(b []byte, q *sequencer.Sequence) (events, error) {
	list, err := sequencer.Split(b)
	n, orderErr := q.Accept(list)
	if orderErr != nil {
		list, err = list[:n], orderErr
	}
	if len(list) == 0 {
		return events{}, err
	}
	size := 0
	for _, e := range list {
		size += e.Size
	}
	return events{data: bytes.Clone(b[:size]), first: list[0].ID, last: list[n-1].ID, sequence: *q}, err
}
