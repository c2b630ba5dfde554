package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

// server starts a server that answers each request, on any connection, with the next of
// the answers. It closes the connection for an empty or missing answer. The counter
// counts the requests.
func server(t *testing.T, answers ...string) (backend.Address, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var next, got atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					got.Add(1)
					n := next.Add(1) - 1
					if int(n) >= len(answers) || answers[n] == "" {
						return
					}
					_, _ = io.WriteString(c, answers[n])
				}
			}()
		}
	}()
	return backend.Address(l.Addr().String()), &got
}

func newExchanger() *Exchanger {
	return New(Options{MaxIdle: 2, Identify: func(_ int, h http.Header) unit.RequestID { return unit.RequestID(h.Get("Id")) }})
}

func get(id string) *Request {
	return &Request{ID: unit.RequestID(id), Method: "GET", Target: "/a//b?%2e", Host: "h", Header: http.Header{"X": {"1"}}}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against dialling for each request, and against the reuse of a connection that
// is not clean.
func TestReuse(t *testing.T) {
	tests := []struct {
		name  string
		first string
		dials int64
	}{
		{"a clean connection is not reused", response("1", "ok"), 1},
		{"a connection that the server closes is reused", strings.Replace(response("1", "ok"), "Id:", "Connection: close\r\nId:", 1), 2},
		{"a second response is returned for the next request", response("1", "ok") + response("1", "ok"), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, _ := server(t, tt.first, response("2", "yes"))
			x := newExchanger()
			for _, id := range []string{"1", "2"} {
				e, err := x.Send(t.Context(), a, get(id))
				is.NoErr(err)
				body, err := io.ReadAll(e.Response.Body)
				is.NoErr(err)
				e.Close()
				is.Equal(string(body), map[string]string{"1": "ok", "2": "yes"}[id])
			}
			is.Equal(x.Dials(), tt.dials)
		})
	}
}

// Guards against a new connection for each refusal of a stream, whose body nobody reads.
func TestReuseWithoutBody(t *testing.T) {
	is := is.New(t)
	const empty = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	a, _ := server(t, empty, strings.Replace(empty, "Id: 1", "Id: 2", 1))
	x := newExchanger()
	for _, id := range []string{"1", "2"} {
		e, err := x.Send(t.Context(), a, get(id))
		is.NoErr(err)
		e.Close()
	}
	is.Equal(x.Dials(), int64(1))
}

// Guards against a late response to another request that is returned for this one.
func TestStray(t *testing.T) {
	is := is.New(t)
	a, _ := server(t, response("other", "bad")+response("2", "yes"))
	e, err := newExchanger().Send(t.Context(), a, get("2"))
	is.NoErr(err)
	body, err := io.ReadAll(e.Response.Body)
	is.NoErr(err)
	e.Close()
	is.Equal(string(body), "yes")
}

// Guards against a request that is sent twice, and against an Error that is wrong about
// whether the request may have reached the server.
func TestFailures(t *testing.T) {
	t.Run("a request is sent again after its connection closed", func(t *testing.T) {
		is := is.New(t)
		a, got := server(t, "")
		_, err := newExchanger().Send(t.Context(), a, get("1"))
		var x *Error
		is.True(errors.As(err, &x))
		is.True(x.Sent && !x.Unreachable)
		is.Equal(got.Load(), int64(1))
	})
	t.Run("a closed port counts as sent", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		a := backend.Address(l.Addr().String())
		is.NoErr(l.Close())
		_, err = newExchanger().Send(t.Context(), a, get("1"))
		var x *Error
		is.True(errors.As(err, &x))
		is.True(!x.Sent && x.Unreachable)
	})
	t.Run("an invalid response is returned", func(t *testing.T) {
		a, _ := server(t, "garbage\r\n\r\n")
		_, err := newExchanger().Send(t.Context(), a, get("1"))
		is.New(t).True(err != nil)
	})
	t.Run("the connection of a cancelled request is kept", func(t *testing.T) {
		is := is.New(t)
		a, _ := server(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
		ctx, cancel := context.WithCancel(t.Context())
		x := newExchanger()
		e, err := x.Send(ctx, a, get("1"))
		is.NoErr(err)
		cancel()
		_, err = io.ReadAll(e.Response.Body)
		is.True(err != nil)
		e.Close()
		is.True(x.pool.pop(a, "2") == nil)
	})
}

// Guards against a server that counts as exited because one of its connections broke,
// and against a check that wastes a connection.
func TestRefusesConnections(t *testing.T) {
	is := is.New(t)
	x := newExchanger()
	a, _ := server(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	is.True(!x.RefusesConnections(t.Context(), a))
	e, err := x.Send(t.Context(), a, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	is.NoErr(err)
	e.Close()
	is.Equal(x.Dials(), int64(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := backend.Address(l.Addr().String())
	is.NoErr(l.Close())
	is.True(x.RefusesConnections(t.Context(), closed))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!x.RefusesConnections(ended, closed)) // a cancelled check shows nothing
}
