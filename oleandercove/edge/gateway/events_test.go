package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleandercove/edge/sequencer"
)

// Guards against events that are split, lost or forwarded in part, which happen when a
// read ends within an event or the body breaks off.
func TestReadEvents(t *testing.T) {
	errReset := errors.New("reset")
	tests := []struct {
		name string
		body io.Reader
		want string
		last eventID
		err  error
	}{
		{"complete events in small pieces", iotest.OneByteReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", io.EOF},
		{"an event that breaks off", io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(errReset)), "id: 1\ndata: a\n\n", "1", errReset},
		{"a last event that is incomplete", strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"), "id: 1\ndata: a\n\n", "1", io.ErrUnexpectedEOF},
		{"lines that end with CRLF", strings.NewReader("id: 7\r\ndata: a\r\n\r\n"), "id: 7\r\ndata: a\r\n\r\n", "7", io.EOF},
		{"an event that never ends", &endlessReader{}, "", "", errEventSize},
		{"an event larger than the buffer", strings.NewReader("id: 1\ndata: " + strings.Repeat("x", 3*streamBuffer) + "\n\n"), "id: 1\ndata: " + strings.Repeat("x", 3*streamBuffer) + "\n\n", "1", io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			out := make(chan message, 100)
			go func() {
				defer close(out)
				readEvents(context.Background(), tt.body, sequencer.Sequence{}, out)
			}()
			var got string
			var last eventID
			var err error
			for m := range out {
				got += string(m.events.data)
				if m.events.last != "" {
					last = m.events.last
				}
				err = m.err
			}
			is.Equal(got, tt.want)
			is.Equal(last, tt.last)
			is.Equal(err, tt.err)
		})
	}
}

// Guards against a Retry-After beyond the deadline of the caller, and against one that
// is the same for all callers.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(retryAfter(time.Second, 20*time.Second, 0), "1.00")
	is.Equal(retryAfter(time.Second, 20*time.Second, 0.5), "1.50")
	is.Equal(retryAfter(time.Second, 600*time.Millisecond, 0), "0.20")
	is.Equal(retryAfter(time.Second, -time.Second, 0), "0.00")
}

// endlessReader is a body whose first event has no end. It fails the read after eight
// times the bound of an event, so that a missing bound shows.
type endlessReader struct{ read int }

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.read > 8*(64<<10) {
		return 0, errors.New("event was read without a bound")
	}
	r.read += len(p)
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

// Guards against a negative time of centuries in the log of a request that is refused
// before its route is known.
func TestTimeLeftWithoutDeadline(t *testing.T) {
	is := is.New(t)
	is.Equal((&job{}).timeLeft(), time.Duration(0))
}
