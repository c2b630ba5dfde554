package receiver

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// repeater repeats a text endlessly and counts the bytes that were read.
type repeater struct {
	text string
	read int
}

func (r *repeater) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.read%len(r.text):])
	r.read += n
	return n, nil
}

// Guards against an endless head or endless interim responses that are kept in memory.
func TestBounds(t *testing.T) {
	const buffer = 4 << 10
	tests := []struct {
		name     string
		prefix   string
		repeated string
		err      error
	}{
		{"a header line without end", "HTTP/1.1 200 OK\r\nX: ", "x", ErrHeadTooLarge},
		{"a continued header line without end", "HTTP/1.1 200 OK\r\nX: 1\r\n", " x\r\n", ErrHeadTooLarge},
		{"header fields without end", "HTTP/1.1 200 OK\r\n", "X: 1\r\n", ErrHeadTooLarge},
		{"interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n", ErrTooManyInterim},
		{"large interim responses", "", "HTTP/1.1 100 Continue\r\nX: " + strings.Repeat("x", MaxHeadBytes/2) + "\r\n\r\n", ErrTooManyInterim},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rest := &repeater{text: tt.repeated}
			_, err := New(io.MultiReader(strings.NewReader(tt.prefix), rest), buffer).Next(http.MethodGet)
			is.True(errors.Is(err, tt.err))
			is.True(rest.read <= maxInterimResponses*MaxHeadBytes+buffer) // bytes read
		})
	}
}

// Guards against a limit on heads that cuts bodies or the heads of later responses, and
// against an endless body that Discard reads without a bound.
func TestBodies(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", 4*MaxHeadBytes)
	one := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + body + "\r\n0\r\n\r\n"
	r := New(strings.NewReader(one+one+one), 4<<10)
	for range 3 {
		resp, err := r.Next(http.MethodGet)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(data), body)
	}
	is.True(!r.Pending())
	resp, err := New(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"), &repeater{text: "x"}), 4<<10).Next(http.MethodGet)
	is.NoErr(err)
	is.Equal(Discard(resp), ErrBodyTooLarge)
}

// Guards against a request that counts as not run although the server runs it, which happens
// when a faulty server breaks off in the head of an earlier refusal and sends the response:
// together they are a refusal with the id of the request.
func TestJoinedHeads(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"
	tests := []struct{ name, text string }{
		{"broken off in the status line", "HTTP/1.1 421 Misdir" + whole},
		{"broken off in a header", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1" + whole},
		{"broken off between headers", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + whole},
		{"an interim response is broken off", "HTTP/1.1 103 Early" + whole + whole},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := New(strings.NewReader(tt.text), 4<<10).Next(http.MethodGet)
			is.New(t).True(err != nil)
		})
	}
	is := is.New(t)
	resp, err := New(strings.NewReader("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n"), 4<<10).Next(http.MethodGet)
	is.NoErr(err) // a usual header with the name of the protocol
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against input that crashes the process or exceeds the bounds.
func FuzzNext(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: 1\r\n\r\n")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 204 No\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := New(strings.NewReader(text), 64)
		for range 4 {
			resp, err := r.Next(http.MethodGet)
			if err != nil {
				return
			}
			if Discard(resp) != nil {
				return
			}
		}
	})
}
