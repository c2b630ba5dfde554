package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"oleandercove.example/core/backend"
	"oleandercove.example/oleandercove/edge/sequencer"
)

// Parts of the responses of a scripted engine.
const (
	signed    = "X-Oleandercove-Response-Stamp: s\r\n"
	eventType = "Content-Type: text/event-stream\r\n"
	okHead    = "HTTP/1.1 200 OK\r\n" + signed + eventType
	failHead  = "HTTP/1.1 500 Internal Server Error\r\n"
	errorText = "internal error\n\n"
	// headText is the head of a response as text in a body.
	headText = failHead + "Content-Length: 0\r\n\r\n"
)

// numbered returns the events with the given numbers.
func numbered(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// withLength returns a response whose body has a length.
func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// chunked returns a response with one chunk for each part of its body.
func chunked(head string, parts ...string) string {
	return cutChunked(head, parts...) + "0\r\n\r\n"
}

// cutChunked returns a chunked response without its end.
func cutChunked(head string, parts ...string) string {
	out := head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, p := range parts {
		out += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
	}
	return out
}

// scriptedEngine starts an engine that sends the bytes of one response for each connection
// and closes it. The bytes after a "|" follow a moment later.
func scriptedEngine(t *testing.T, responses ...string) backend.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, response := range responses {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			for part := range strings.SplitSeq(response, "|") {
				_, _ = io.WriteString(c, part)
				time.Sleep(5 * time.Millisecond)
			}
			_ = c.Close()
		}
	}()
	return backend.Address(l.Addr().String())
}

// newCallerStream returns a stream that may run twice, and the response of its caller, who
// has received lastEvent.
func newCallerStream(t *testing.T, lastEvent eventID) (*stream, *httptest.ResponseRecorder) {
	s, _ := newTestStream(t, 0)
	w := httptest.NewRecorder()
	s.w, s.r = w, httptest.NewRequest(http.MethodPost, "/a", nil)
	s.Meter, s.Exchanger = NewMeter(tally.NoopScope), newTestExchanger()
	s.started, s.runs, s.sends = false, 0, 0
	s.call.LastEvent = string(lastEvent)
	s.lastEvent, s.sequence = lastEvent, sequencer.After(lastEvent)
	return s, w
}

// runAttempt sends the request to an engine and relays its response.
func (s *stream) runAttempt(a backend.Address) step {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.attempt = attempt{path: s.path}
	s.sends++
	s.runs++
	s.messages = s.sendAsync(ctx, a, backend.RequestMetadata{LastEvent: string(s.lastEvent)})
	return s.relay()
}

// Guards against bytes that reach a caller in the middle of its stream, and against a short
// stream that looks complete, which happen when the server that resumes a stream answers with
// an error or with other events.
func TestResumedAttempt(t *testing.T) {
	had := numbered(1, 2, 3)
	tests := []struct {
		name     string
		response string
		events   string // what the caller gets of it
		want     step
	}{
		{"an error with a length", withLength(failHead, errorText), "", stepRetry},
		{"a signed error in chunks", chunked(failHead+signed, errorText), "", stepRetry},
		{"an error without a length", failHead + "\r\n" + errorText, "", stepRetry},
		{"a signed client error", withLength("HTTP/1.1 404 Not Found\r\n"+signed, errorText), "", stepRetry},
		{"a rejection", withLength("HTTP/1.1 503 Service Unavailable\r\nX-Oleandercove-Not-Executed: 1\r\n", ""), "", stepRetry},
		{"a rejection without proof", withLength("HTTP/1.1 503 Service Unavailable\r\n", "busy"), "", stepRetry},
		{"a signed response without content", "HTTP/1.1 204 No Content\r\n" + signed + "\r\n", "", stepRetry},
		{"a signed part of a body", withLength("HTTP/1.1 206 Partial Content\r\n"+signed+eventType, numbered(4)), "", stepRetry},
		{"a redirection", withLength("HTTP/1.1 307 Temporary Redirect\r\nLocation: /b\r\n"+signed, ""), "", stepRetry},
		{"events without a signature", chunked("HTTP/1.1 200 OK\r\n"+eventType, numbered(4)), "", stepRetry},
		{"events with an encoding", chunked(okHead+"Content-Encoding: gzip\r\n", numbered(4)), "", stepRetry},
		{"a body that is declared as JSON", withLength("HTTP/1.1 200 OK\r\n"+signed+"Content-Type: application/json\r\n", "{}\n\n"), "", stepRetry},
		{"events that are declared as text", withLength("HTTP/1.1 200 OK\r\n"+signed+"Content-Type: text/plain\r\n", numbered(4)), "", stepRetry},
		{"an error text as body", withLength(okHead, errorText), "", stepRetry},
		{"an error text without a type", withLength("HTTP/1.1 200 OK\r\n"+signed, errorText), "", stepRetry},
		{"an error text without a blank line", chunked(okHead, "internal error"), "", stepRetry},
		{"a head as body", chunked(okHead, headText), "", stepRetry},
		{"a head in two chunks as body", chunked(okHead, headText[:30], headText[30:]), "", stepRetry},
		{"text before the first event", chunked(okHead, errorText+numbered(4)), "", stepRetry},
		{"text on the lines before the first event", chunked(okHead, "internal error\n"+numbered(4)), "", stepRetry},
		{"text between events", chunked(okHead, numbered(4)+errorText+numbered(5)), numbered(4), stepRetry},
		{"text after the last event", chunked(okHead, numbered(4, 5), errorText), numbered(4, 5), stepRetry},
		{"an error event", chunked(okHead, "event: error\ndata: internal error\n\n"), "", stepRetry},
		{"an error event after an event", chunked(okHead, numbered(4)+"data: internal error\n\n"), numbered(4), stepRetry},
		{"the event that the caller has", chunked(okHead, numbered(3, 4)), "", stepRetry},
		{"the whole stream again", chunked(okHead, numbered(1, 2, 3, 4)), "", stepRetry},
		{"a gap at the start", chunked(okHead, numbered(5, 6)), "", stepRetry},
		{"a gap within a chunk", chunked(okHead, numbered(4, 6)), numbered(4), stepRetry},
		{"an event twice within a chunk", chunked(okHead, numbered(4, 4, 5)), numbered(4), stepRetry},
		{"an incomplete event", chunked(okHead, numbered(4), "id: 5\ndata: pie"), numbered(4), stepRetry},
		{"an incomplete event that ends with a line", withLength(okHead, numbered(4)+"id: 5\ndata: piece 5\n"), numbered(4), stepRetry},
		{"a broken end", cutChunked(okHead, numbered(4, 5)), numbered(4, 5), stepRetry},
		{"a broken end of an empty body", cutChunked(okHead), "", stepRetry},
		{"no event and no length", okHead + "\r\n", "", stepRetry},
		{"blank lines and no length", okHead + "\r\n\n\n\n\n", "", stepRetry},
		{"an empty body without a type", withLength("HTTP/1.1 200 OK\r\n"+signed, ""), "", stepRetry},
		{"a second response in a body without a length", okHead + "\r\n" + numbered(4, 5) + withLength(okHead, numbered(6)), numbered(4, 5), stepRetry},
		{"a second response after a complete one reaches the caller", withLength(okHead, numbered(4, 5)) + withLength(okHead, numbered(6)), numbered(4, 5), stepDone},
		{"a resumed stream is cut", chunked(okHead, numbered(4), numbered(5)), numbered(4, 5), stepDone},
		{"a resumed stream in pieces is cut", strings.Join(strings.SplitAfter(withLength(okHead, numbered(4, 5)), "\n"), "|"), numbered(4, 5), stepDone},
		{"a resumed stream without a length is cut", okHead + "\r\n" + numbered(4, 5), numbered(4, 5), stepDone},
		{"a stream that only lacks its end is cut", chunked(okHead), "", stepDone},
		{"an event with a version is cut", chunked(okHead, "x-oleandercove-weight-versions: 7\n"+numbered(4)), "x-oleandercove-weight-versions: 7\n" + numbered(4), stepDone},
		{"events with CRLF are cut", chunked(okHead, "id: 4\r\ndata: a\r\n\r\n"), "id: 4\r\ndata: a\r\n\r\n", stepDone},
		{"events with CR are cut", chunked(okHead, "id: 4\rdata: a\r\r"), "id: 4\rdata: a\r\r", stepDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := scriptedEngine(t, cutChunked(okHead, had, "id: 4\nda"), tt.response)
			s, w := newCallerStream(t, "")
			is.Equal(s.runAttempt(a), stepRetry)
			is.Equal(w.Body.String(), had)
			got := s.runAttempt(a)
			is.Equal(strings.TrimPrefix(w.Body.String(), had), tt.events)
			if tt.want == stepRetry {
				is.True(got == stepRetry || got == stepFail) // not complete
				return
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against an error text that a caller gets as the continuation of its stream, and
// against events that it already has, which happen when the caller resumes a stream and the
// server does not.
func TestCallerResumes(t *testing.T) {
	tests := []struct {
		name     string
		response string
		events   string
		want     step
	}{
		{"an error text as body", withLength(okHead, errorText), "", stepRetry},
		{"a head as body", chunked(okHead, headText), "", stepRetry},
		{"an error event", chunked(okHead, "event: error\ndata: internal error\n\n"), "", stepRetry},
		{"the whole stream again", chunked(okHead, numbered(1, 2, 3, 4)), "", stepRetry},
		{"text after an event", chunked(okHead, numbered(4), errorText), numbered(4), stepRetry},
		{"events that are declared as text", withLength("HTTP/1.1 200 OK\r\n"+signed+"Content-Type: text/plain\r\n", numbered(4)), "", stepRetry},
		{"no event and no length", okHead + "\r\n", "", stepRetry},
		{"an empty body without a type", withLength("HTTP/1.1 200 OK\r\n"+signed, ""), "", stepRetry},
		{"the rest of a stream is cut", chunked(okHead, numbered(4, 5)), numbered(4, 5), stepDone},
		{"a rest without a length is cut", okHead + "\r\n" + numbered(4, 5), numbered(4, 5), stepDone},
		{"a stream that only lacks its end is cut", chunked(okHead), "", stepDone},
		{"the server's own error is hidden", withLength(failHead+signed, errorText), errorText, stepDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, w := newCallerStream(t, "3")
			is.Equal(s.runAttempt(scriptedEngine(t, tt.response)), tt.want)
			is.Equal(w.Body.String(), tt.events)
		})
	}
}

// Guards against a response that is changed or lost although it is the whole response of its
// server, which happens when it is taken for a stream that broke off.
func TestWholeResponse(t *testing.T) {
	const object = `{"a":1}`
	tests := []struct {
		name     string
		response string
		status   int
		body     string
	}{
		{"a response that is no stream", withLength("HTTP/1.1 200 OK\r\n"+signed+"Content-Type: application/json\r\n", object), http.StatusOK, object},
		{"an error of the server in pieces", failHead + signed + "Content-Length: 14\r\n\r\n|internal| error", http.StatusInternalServerError, "internal error"},
		{"an error of the server", withLength(failHead+signed, errorText), http.StatusInternalServerError, errorText},
		{"a stream without a type", chunked("HTTP/1.1 200 OK\r\n"+signed, numbered(1, 2)), http.StatusOK, numbered(1, 2)},
		{"a stream without events", chunked(okHead), http.StatusOK, ""},
		{"a stream whose type has a parameter", chunked("HTTP/1.1 200 OK\r\n"+signed+"Content-Type: text/event-stream; charset=utf-8\r\n", numbered(1)), http.StatusOK, numbered(1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, w := newCallerStream(t, "")
			is.Equal(s.runAttempt(scriptedEngine(t, tt.response)), stepDone)
			is.Equal(w.Code, tt.status)
			is.Equal(w.Body.String(), tt.body)
			is.Equal(w.Header().Get("X-Oleandercove-Response-Stamp"), "s")
		})
	}
}

// Guards against the events of two runs in one stream, which happens when a stream breaks off
// whose events have no numbers: no server can know where to continue.
func TestUnnumberedStream(t *testing.T) {
	is := is.New(t)
	a := scriptedEngine(t, cutChunked(okHead, "data: a\n\n"), chunked(okHead, "data: a\n\ndata: b\n\n"))
	s, w := newCallerStream(t, "")
	is.Equal(s.runAttempt(a), stepFail)
	is.Equal(w.Body.String(), "data: a\n\n")
}
