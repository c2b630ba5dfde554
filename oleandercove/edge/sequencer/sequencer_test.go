package sequencer

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against text that callers find in the middle of a stream, and against events that are
// cut although the format allows them.
func TestSplit(t *testing.T) {
	const one, two = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	tests := []struct {
		name string
		body string
		ids  []EventID
		size int
		err  error
	}{
		{"an event is lost", one + two, []EventID{"1", "2"}, len(one + two), nil},
		{"an incomplete event is accepted", one + "id: 2\ndata: b\n", []EventID{"1"}, len(one), nil},
		{"an event with CRLF is lost", "id: 1\r\ndata: a\r\n\r\n", []EventID{"1"}, 18, nil},
		{"an event with CR is lost", "id: 1\rdata: a\r\r", []EventID{"1"}, 15, nil},
		{"an event with mixed line ends is lost", "id: 1\r\ndata: a\n\r\n" + two, []EventID{"1", "2"}, 32, nil},
		{"an event whose first line is a version is cut", "x-oleandercove-weight-versions: 7\n" + one, []EventID{"1"}, 34 + len(one), nil},
		{"a comment cuts the stream", ": beat\n\n\n" + one, []EventID{"1"}, 9 + len(one), nil},
		{"a retry time cuts the stream", "retry: 100\n\n" + one, []EventID{"1"}, 12 + len(one), nil},
		{"an event without data is lost", "id: 1\n\n", []EventID{"1"}, 7, nil},
		{"an event without an id takes the one of the next event", "event: error\ndata: x\n\n" + two, []EventID{"", "2"}, 22 + len(two), nil},
		{"text before an event", "internal error\n\n" + one, nil, 0, ErrNotEvent},
		{"text without a blank line before an event", one + "internal error\n" + two, []EventID{"1"}, len(one), ErrNotEvent},
		{"text with a colon after an event", one + "internal error: no memory\n\n", []EventID{"1"}, len(one), ErrNotEvent},
		{"JSON after an event", one + `{"error":"x"}` + "\n", []EventID{"1"}, len(one), ErrNotEvent},
		{"a head after an event", one + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", []EventID{"1"}, len(one), ErrNotEvent},
		{"the headers of a head", "Content-Length: 0\r\n\r\n", nil, 0, ErrNotEvent},
		{"two events without a blank line between them", "id: 1\ndata: a\nid: 2\ndata: b\n\n", nil, 0, ErrNotEvent},
		{"an extension without a value", "x-error\n\n", nil, 0, ErrNotEvent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			events, err := Split([]byte(tt.body))
			var ids []EventID
			size := 0
			for _, e := range events {
				ids = append(ids, e.ID)
				size += e.Size
			}
			is.Equal(ids, tt.ids)
			is.Equal(size, tt.size)
			is.Equal(err, tt.err)
		})
	}
}

// Guards against a short stream that looks complete, and against a complete one that is cut,
// which depend on the bytes after the last event.
func TestIsIncomplete(t *testing.T) {
	tests := []struct {
		name string
		rest string
		want bool
	}{
		{"a complete stream is cut", "", false},
		{"a blank line cuts the stream", "\n", false},
		{"a comment cuts the stream", ": beat\n\n", false},
		{"an event without a blank line", "id: 2\ndata: b\n", true},
		{"a part of a line", "id", true},
		{"a version without its event", "x-oleandercove-weight-versions: 7\n", true},
		{"text without a line end", "internal error", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(IsIncomplete([]byte(tt.rest)), tt.want) })
	}
}

// Guards against an event with CRLF that is cut in two, which happens when a read ends within
// the end of a line.
func TestSplitWithinLineEnd(t *testing.T) {
	is := is.New(t)
	const body = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
	for cut := range len(body) {
		first, err := Split([]byte(body[:cut]))
		is.NoErr(err)
		consumed := 0
		for _, e := range first {
			consumed += e.Size
		}
		second, err := Split([]byte(body[consumed:]))
		is.NoErr(err)
		events := append(first, second...)
		is.Equal(len(events), 2)
		is.Equal(events[0].ID, EventID("1"))
		is.Equal(events[1].ID, EventID("2"))
	}
}

// Guards against events that a caller gets twice, out of order or without the ones before
// them, and against streams that are cut although their ids increase.
func TestAccept(t *testing.T) {
	tests := []struct {
		name   string
		after  EventID
		before []EventID // events of the attempts before
		resume bool
		events []EventID
		want   int
		err    error
	}{
		{"a stream is cut at its start", "", nil, false, []EventID{"1", "2", "3"}, 3, nil},
		{"ids that increase unevenly are cut", "", nil, false, []EventID{"1", "2", "3", "7", "9"}, 5, nil},
		{"an event comes twice", "", nil, false, []EventID{"1", "2", "2"}, 2, ErrOrder},
		{"an event comes late", "", nil, false, []EventID{"1", "10", "9"}, 2, ErrOrder},
		{"an event without an id", "", nil, false, []EventID{"1", "", "2"}, 1, ErrOrder},
		{"an event with an id that is no number", "", nil, false, []EventID{"1", "end"}, 1, ErrOrder},
		{"a stream without ids is cut", "", nil, false, []EventID{"", "", "1"}, 3, nil},
		{"a stream without ids is joined with another run", "", []EventID{""}, true, []EventID{"1"}, 0, ErrOrder},
		{"the caller's last event comes again", "12", nil, false, []EventID{"12"}, 0, ErrOrder},
		{"a stream starts again for a caller that resumes", "12", nil, false, []EventID{"1", "2"}, 0, ErrOrder},
		{"an error event for a caller that resumes", "12", nil, false, []EventID{""}, 0, ErrOrder},
		{"a caller's last event that is no number", "x", nil, false, []EventID{"1", "2"}, 2, nil},
		{"the last event comes again in a resumed attempt", "", []EventID{"1", "2", "3"}, true, []EventID{"3"}, 0, ErrOrder},
		{"a resumed attempt is cut", "", []EventID{"1", "2", "3"}, true, []EventID{"4", "5"}, 2, nil},
		{"a resumed attempt starts after a gap", "", []EventID{"1", "2", "3"}, true, []EventID{"5"}, 0, ErrGap},
		{"a resumed attempt has a gap", "", []EventID{"1", "2", "3"}, true, []EventID{"4", "6"}, 1, ErrGap},
		{"a resumed attempt with steps of three is cut", "", []EventID{"3", "6", "9"}, true, []EventID{"12", "13"}, 2, nil},
		{"a gap is assumed where steps differ", "", []EventID{"1", "2", "4"}, true, []EventID{"9"}, 1, nil},
		{"a gap is assumed after one step", "", []EventID{"1", "2"}, true, []EventID{"5"}, 1, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := After(tt.after)
			_, err := q.Accept(withIDs(tt.before))
			is.NoErr(err)
			if tt.resume {
				q = q.Resumed()
			}
			n, err := q.Accept(withIDs(tt.events))
			is.Equal(n, tt.want)
			is.True(errors.Is(err, tt.err))
		})
	}
}

func withIDs(ids []EventID) []Event {
	events := make([]Event, len(ids))
	for i, id := range ids {
		events[i] = Event{ID: id}
	}
	return events
}
