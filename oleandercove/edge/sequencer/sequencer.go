// Package sequencer splits the bodies of a stream's attempts into events and checks that the
// events are those that come next. It performs no I/O.
//
// A stream that breaks off is resumed by another server, whose response continues in the
// middle of what the caller has. An error text, the head of another response or an event that
// the caller already has must not get there. Split therefore accepts only whole events, and a
// Sequence accepts only events that come after the last one.
//
// The platform says that ids increase, not by how much. A gap is therefore an error only in an
// attempt that resumes a stream, and only if all events so far were the same distance apart.
//
// Usage:
//
//	q := sequencer.After(lastEventID).Resumed()
//	events, err := sequencer.Split(buf)
//	n, orderErr := q.Accept(events)
//	forward(events[:n])
package sequencer

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// EventID is the id of an event as the backend server wrote it; empty if there is none.
type EventID string

// Event is one complete event.
type Event struct {
	// Size is the number of bytes of the event, with the comments and blank lines before it
	// and the blank line that ends it.
	Size int
	ID   EventID
}

var (
	// ErrNotEvent is returned by Split for bytes that belong to no event.
	ErrNotEvent = errors.New("bytes are not an event")
	// ErrOrder is returned by Accept for an event that does not come after the last one.
	ErrOrder = errors.New("event is out of order")
	// ErrGap is returned by Accept if events before this one are missing.
	ErrGap = errors.New("events are missing")
)

// Split returns the complete events at the start of b. It returns ErrNotEvent with them if a
// line after them can't be part of an event. Bytes after them are otherwise an incomplete event.
func Split(b []byte) ([]Event, error) {
	var events []Event
	var e block
	for start, end := 0, 0; ; {
		line, size := cutLine(b[end:])
		if size == 0 {
			return events, nil
		}
		end += size
		if len(line) > 0 {
			if err := e.add(line); err != nil {
				return events, err
			}
			continue
		}
		if e.isEvent {
			events = append(events, Event{Size: end - start, ID: e.id})
			start, e = end, block{}
		}
	}
}

// IsIncomplete reports whether the bytes after the last event of a body are a part of an event
// or no event at all. Comments and blank lines are neither.
func IsIncomplete(rest []byte) bool {
	events, err := Split(append(bytes.Clone(rest), "\n\n"...))
	return len(events) > 0 || err != nil
}

// cutLine returns the first line of b without its end, and its size with it. The size is 0 if
// the line has no end yet. Lines end with CR, LF or both. If LF follows in a later read, it
// looks like a blank line before the next event, which is allowed.
func cutLine(b []byte) (line []byte, size int) {
	i := bytes.IndexAny(b, "\r\n")
	switch {
	case i < 0:
		return nil, 0
	case b[i] == '\r' && i+1 < len(b) && b[i+1] == '\n':
		return b[:i], i + 2
	default:
		return b[:i], i + 1
	}
}

// block is the state of the lines between two blank lines.
type block struct {
	// isEvent is set once there is a line that is neither a comment nor a retry time.
	isEvent bool
	hasID   bool
	id      EventID
}

// extensionPrefix begins the names of fields that the event stream format does not define.
const extensionPrefix = "x-"

// add adds a line that is not blank.
func (e *block) add(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "retry":
		return nil
	case "":
		return nil // a comment
	case "data", "event":
	case "id":
		if e.hasID {
			return ErrNotEvent
		}
		e.hasID, e.id = true, EventID(bytes.TrimSpace(value))
	default:
		if !hasColon || !strings.HasPrefix(string(name), extensionPrefix) {
			return ErrNotEvent
		}
	}
	e.isEvent = true
	return nil
}

// minSteps is the number of equal steps between ids after which a larger one is a gap.
const minSteps = 2

// Sequence is the position in a stream of events. The zero value is the start of a stream. It
// is a value: each attempt has a copy.
type Sequence struct {
	// last is the number of the last event, if numbered is set.
	last     int64
	numbered bool
	// unnumbered is set once an event without a number has been accepted at the start of the
	// stream. The order of such events can't be checked.
	unnumbered bool
	resumed    bool
	// step is the difference between two numbers that followed each other, steps how often
	// it was seen. varied is set once there was another difference.
	step   int64
	steps  int
	varied bool
}

// After returns the position after the event with an id; an empty id, and one that is not a
// number, stand for the start of a stream.
func After(id EventID) Sequence {
	n, err := strconv.ParseInt(string(id), 10, 64)
	return Sequence{last: n, numbered: err == nil}
}

// Resumed returns the same position for an attempt that resumes the stream there.
func (q Sequence) Resumed() Sequence {
	q.resumed = true
	return q
}

// Resumable reports whether another attempt can continue the stream: its events so far are
// numbered, or there are none.
func (q Sequence) Resumable() bool { return !q.unnumbered }

// Accept moves the position behind the events that are next, and returns how many they are. The
// error is ErrOrder or ErrGap if there are others.
func (q *Sequence) Accept(events []Event) (int, error) {
	for i, e := range events {
		if err := q.accept(e.ID); err != nil {
			return i, err
		}
	}
	return len(events), nil
}

func (q *Sequence) accept(id EventID) error {
	n, err := strconv.ParseInt(string(id), 10, 64)
	switch {
	case q.unnumbered && q.resumed:
		return ErrOrder
	case q.unnumbered:
		return nil
	case err != nil && q.numbered:
		return ErrOrder
	case err != nil:
		q.unnumbered = true
		return nil
	case !q.numbered:
		q.last, q.numbered = n, true
		return nil
	case n <= q.last:
		return ErrOrder
	}
	step := n - q.last
	if q.resumed && !q.varied && q.steps >= minSteps && step > q.step {
		return ErrGap
	}
	q.varied = q.varied || (q.steps > 0 && step != q.step)
	q.last, q.step = n, step
	q.steps++
	return nil
}
