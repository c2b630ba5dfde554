package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/watcher"
)

type backends []watcher.Backend

func (b backends) Backends() []watcher.Backend { return b }
func (backends) Suspect(unit.BackendID)        {}

// newServer starts a backend server that serves calls with a handler and counts them. It
// returns the address.
func newServer(t *testing.T, ran *atomic.Int64, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		ran.Add(1)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

func newCaller(addresses ...string) *Caller {
	var b backends
	for i, a := range addresses {
		b = append(b, watcher.Backend{ID: unit.BackendID(rune('a' + i)), Role: platform.RoleService, Address: a, Serves: "logbook", Healthy: true})
	}
	return New(Options{Backends: b, Tracker: tracker.New(), Recorder: recorder.New(recorder.Options{Capacity: 10, Timer: timer.NewReal()})})
}

func newCall(method string, deadline time.Duration) *request.Request {
	return &request.Request{
		ID: "r", Name: "logbook", Deadline: time.Now().Add(deadline),
		Entry: &catalogue.Entry{Service: &catalogue.Service{IdempotentMethods: []string{http.MethodGet}}},
		Call:  &request.Call{Method: method, Path: "/trips", Header: http.Header{}, Body: []byte("net 4")},
	}
}

func ok(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusCreated) }

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// repeatID repeats the id of a request in its response, as servers do whose connections are
// kept.
func repeatID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
}

func status(code int, v verdict.Verdict) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Verdict", string(v))
		w.WriteHeader(code)
	}
}

// Guards against a booking that runs twice and an idempotent call that is lost, which
// happen when an attempt fails on one of two backend servers.
func TestServe(t *testing.T) {
	rows := []struct {
		name    string
		method  string
		first   http.HandlerFunc // nil: the first server refuses connections
		verdict verdict.Verdict  // empty: the call succeeds
		ran     int64
	}{
		{"a booking is lost to a closed server", http.MethodPost, nil, "", 1},
		{"a read is lost to a closed server", http.MethodGet, nil, "", 1},
		{"a booking runs twice after a broken connection", http.MethodPost, abortConnection, verdict.MayHaveRun, 1},
		{"a read is lost to a broken connection", http.MethodGet, abortConnection, "", 2},
		{"a booking runs twice after a silent connection", http.MethodPost, silent, verdict.MayHaveRun, 1},
		{"a read is lost to a silent connection", http.MethodGet, silent, "", 2},
		{"a booking without a claim is repeated after it was sent", http.MethodPost, status(503, verdict.NotRun), verdict.NotRun, 1},
		{"a 503 in the middle of a call is repeated", http.MethodPost, status(503, ""), "", 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			first := closedAddress(t)
			if row.first != nil {
				first = newServer(t, &ran, row.first)
			}
			c := newCaller(first, newServer(t, &ran, ok))
			// The entry's timeout ends a silent attempt long before the deadline, so that
			// the check below doesn't depend on the speed of the machine.
			r := newCall(row.method, 30*time.Second)
			r.Entry.Service.TimeoutMs = 500
			ctx, cancel := context.WithDeadline(t.Context(), r.Deadline)
			defer cancel()
			err := c.Serve(ctx, r)
			v, failed := verdict.FromError(err)
			is.Equal(failed, row.verdict != "")
			if failed {
				is.Equal(v.Verdict, row.verdict)
				is.True(v.RetryAfter > 0)
			}
			is.Equal(ran.Load(), row.ran)
			is.True(time.Now().Before(r.Deadline))
		})
	}
}

// Guards against a caller that is told that its call has not run although an earlier attempt
// may have run it, which happens when a later attempt is refused.
func TestVerdictOfAllAttempts(t *testing.T) {
	rows := []struct {
		name          string
		first, second http.HandlerFunc // nil: the server refuses connections
		verdict       verdict.Verdict
	}{
		{"a refusal hides a broken connection", abortConnection, status(503, verdict.NotRun), verdict.MayHaveRun},
		{"a closed server hides a broken connection", abortConnection, nil, verdict.MayHaveRun},
		{"two refusals count as a run", status(503, verdict.NotRun), status(503, verdict.NotRun), verdict.NotRun},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			second := closedAddress(t)
			if row.second != nil {
				second = newServer(t, &ran, row.second)
			}
			c := newCaller(newServer(t, &ran, row.first), second)
			v, ok := verdict.FromError(c.Serve(t.Context(), newCall(http.MethodGet, 30*time.Second)))
			is.True(ok)
			is.Equal(v.Verdict, row.verdict)
			is.Equal(v.Reason.Status() == http.StatusServiceUnavailable, row.verdict == verdict.NotRun)
		})
	}
}

// Guards against a caller that gets the response to another read, which happens when a faulty
// server writes an earlier response once more on a kept connection.
func TestStaleSuccess(t *testing.T) {
	rows := []struct {
		name    string
		repeats bool // the server repeats the ids of requests
		stale   string
	}{
		{"the earlier response has an id", true, "X-Request-Id: earlier\r\n"},
		{"the earlier response has no id", true, ""},
		{"the server repeats no ids", false, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			reads := sync.Map{} // by connection
			c := newCaller(newServer(t, &ran, func(w http.ResponseWriter, r *http.Request) {
				if row.repeats {
					repeatID(w, r)
				}
				if _, kept := reads.LoadOrStore(r.RemoteAddr, true); kept {
					conn, _, err := http.NewResponseController(w).Hijack()
					is.NoErr(err)
					defer conn.Close()
					_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+row.stale+"Content-Length: 7\r\n\r\nearlier")
					is.NoErr(err)
					return
				}
				_, err := io.WriteString(w, "answer")
				is.NoErr(err)
			}))
			for range 4 {
				r := newCall(http.MethodGet, 30*time.Second)
				is.NoErr(c.Serve(t.Context(), r))
				is.Equal(string(r.Call.Result.Body), "answer")
			}
			if row.repeats {
				is.True(ran.Load() > 4) // some read was sent on a kept connection and then again
			}
		})
	}
}

// Guards against a caller that is told that its read has not run, which happens when a faulty
// server writes an earlier refusal once more on a kept connection, and refuses the retry.
func TestStaleRefusal(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: r\r\nX-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n"
	c := newCaller(newServer(t, &ran, func(w http.ResponseWriter, r *http.Request) {
		repeatID(w, r)
		switch ran.Load() {
		case 3: // the read runs; an earlier refusal comes before its response
			conn, _, err := http.NewResponseController(w).Hijack()
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, refusal)
			is.NoErr(err)
		case 4:
			status(503, verdict.NotRun)(w, r)
		}
	}))
	for range 2 {
		is.NoErr(c.Serve(t.Context(), newCall(http.MethodGet, 30*time.Second)))
	}
	v, ok := verdict.FromError(c.Serve(t.Context(), newCall(http.MethodGet, 30*time.Second)))
	is.True(ok)
	is.Equal(ran.Load(), int64(4)) // the read is sent again on a new connection
	is.Equal(v.Verdict, verdict.MayHaveRun)
	is.Equal(v.Reason, verdict.BackendFailed)
}

// Guards against a read that fails, or is sent to another backend server, which happens
// when a reused connection is silent while new ones work.
func TestSilentReusedConnection(t *testing.T) {
	is := is.New(t)
	var ran, other atomic.Int64
	var seen sync.Map
	first := newServer(t, &ran, func(w http.ResponseWriter, r *http.Request) {
		repeatID(w, r)
		if _, again := seen.LoadOrStore(r.RemoteAddr, true); again {
			silent(w, r)
		}
	})
	c := newCaller(first, newServer(t, &other, ok))
	for range 3 {
		r := newCall(http.MethodGet, 2*time.Second)
		is.NoErr(c.Serve(t.Context(), r))
		is.Equal(r.Call.Result.Status, http.StatusOK)
	}
	is.Equal(ran.Load(), int64(4))
	is.Equal(other.Load(), int64(0))
}
