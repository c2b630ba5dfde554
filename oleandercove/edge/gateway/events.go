package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"oleandercove.example/core/backend"
	"oleandercove.example/oleandercove/edge/exchanger"
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
// last an error, which is io.EOF at the end of a complete stream.
type message struct {
	exchange *exchanger.Exchange
	events   events
	err      error
}

// failed reports whether the message says that the attempt has no more events.
func (m message) failed() bool {
	if m.exchange != nil {
		return m.exchange.Response.StatusCode != http.StatusOK
	}
	return m.err != nil && !errors.Is(m.err, io.EOF)
}

// events is a sequence of complete events.
type events struct {
	data []byte
	// first and last are the ids of the first and last event; empty if the events have
	// none.
	first, last eventID
}

// eventID is the id of an event as the backend server wrote it.
type eventID string

// follows reports whether an id comes after another one. Ids that are not numbers have
// no order and always follow.
func (e eventID) follows(o eventID) bool {
	a, errA := strconv.ParseInt(string(e), 10, 64)
	b, errB := strconv.ParseInt(string(o), 10, 64)
	return errA != nil || errB != nil || a > b
}

// errEventSize is the failure of an attempt that sent an event larger than maxEvent.
var errEventSize = errors.New("event is too large")

// sendAsync sends the request and reads its response in the background. The channel is
// closed after the last message; cancelling ctx ends the attempt. The receiver of the
// exchange closes it, unless its status is 200.
func (j *job) sendAsync(ctx context.Context, a backend.Address, m backend.RequestMetadata) <-chan message {
	out := make(chan message, messageBacklog)
	go func() {
		defer close(out)
		e, err := j.send(ctx, a, m)
		if err != nil {
			sendMessage(ctx, out, message{err: err})
			return
		}
		sent := sendMessage(ctx, out, message{exchange: e})
		if sent && e.Response.StatusCode != http.StatusOK {
			return
		}
		defer e.Close()
		if sent {
			readEvents(ctx, e.Response.Body, out)
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

// readEvents splits a body into complete events. An incomplete event before an error is
// dropped, so that a resumed stream continues after the last complete event.
func readEvents(ctx context.Context, body io.Reader, out chan<- message) {
	buf := make([]byte, 0, streamBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := lastEventEnd(buf); end > 0 {
			data := bytes.Clone(buf[:end])
			buf = append(buf[:0], buf[end:]...)
			if !sendMessage(ctx, out, message{events: events{data: data, first: firstID(data), last: lastID(data)}}) {
				return
			}
		}
		if len(buf) > maxEvent {
			err = errEventSize
		}
		if err == io.EOF && len(bytes.TrimSpace(buf)) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			sendMessage(ctx, out, message{err: err})
			return
		}
	}
}

// lastEventEnd returns the length of the complete events in a buffer.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

var idField = []byte("id:")

// parseID returns the event id on a line, and whether the line is an id field.
func parseID(line []byte) (eventID, bool) {
	v, ok := bytes.CutPrefix(line, idField)
	return eventID(bytes.TrimSpace(v)), ok
}

// firstID returns the first event id in data, or an empty one.
func firstID(data []byte) eventID {
	for line := range bytes.Lines(data) {
		if id, ok := parseID(line); ok {
			return id
		}
	}
	return ""
}

// lastID returns the last event id in data, or an empty one.
func lastID(data []byte) eventID {
	i := bytes.LastIndex(data, []byte("\nid:"))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(data, idField):
		i = 0
	default:
		return ""
	}
	line, _, _ := bytes.Cut(data[i:], []byte("\n"))
	id, _ := parseID(line)
	return id
}
