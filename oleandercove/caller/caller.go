// Package caller sends calls to plain services.
//
// A call that may not be repeated goes out on a fresh connection: the HTTP
// transport repeats a request by itself when a reused connection breaks and
// the request carries an Idempotency-Key header.
//
// Usage:
//
//	c := caller.New(caller.Options{Backends: w, Tracker: t})
//	err := c.Serve(ctx, r)
package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// dialTimeout bounds the connection set-up to a worker.
	dialTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds the answer of a service.
	maxAnswerBytes = 8 << 20
	// comeBack is when a caller should try again after a refusal.
	comeBack = time.Second
)

// Options configures a Caller.
type Options struct {
	Backends watcher.Backends
	Tracker  *tracker.Tracker
	Recorder recorder.Recorder
	Log      *log.Logger
}

// Caller serves service calls.
type Caller struct {
	options Options
	// reuse keeps connections open; fresh makes one for each call.
	reuse, fresh *http.Client
}

// New returns a Caller.
func New(o Options) *Caller {
	d := net.Dialer{Timeout: dialTimeout}
	return &Caller{
		options: o,
		reuse:   &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 64}, CheckRedirect: noRedirect},
		fresh:   &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true}, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Idempotent tells whether the entry allows the call to be repeated.
func Idempotent(s *catalogue.Service, method, path string) bool {
	if slices.Contains(s.IdempotentMethods, method) {
		return true
	}
	return slices.ContainsFunc(s.IdempotentPaths, func(p string) bool { return strings.HasPrefix(path, p) })
}

// Serve sends the call to the worker with the least work in flight. A failed
// call is repeated on another worker only if it did not run or may be
// repeated.
func (c *Caller) Serve(ctx context.Context, r *request.Request) error {
	idempotent := Idempotent(r.Entry.Service, r.Call.Method, r.Call.Path)
	tried := map[string]bool{}
	var last error
	for {
		b, ok := c.pick(r, tried)
		if !ok {
			break
		}
		tried[string(b.ID)] = true
		last = c.send(ctx, r, b, idempotent)
		v, failed := verdict.Of(last)
		if !failed {
			return last
		}
		c.options.Recorder.Record(recorder.Event{Request: r.ID, Part: "caller", Decision: string(v.Verdict), Cause: string(b.ID) + ": " + v.Detail})
		if ctx.Err() != nil || (v.Verdict != verdict.NotRun && !idempotent) {
			return last
		}
	}
	if last != nil {
		return last
	}
	return verdict.New(verdict.NotRun, verdict.NoBackend, "no healthy worker serves %s", r.Name).After(comeBack)
}

func (c *Caller) pick(r *request.Request, tried map[string]bool) (watcher.Backend, bool) {
	var best watcher.Backend
	found := false
	for _, b := range c.options.Backends.Backends() {
		if b.Role != platform.RoleService || b.Serves != r.Name || !b.Usable() || tried[string(b.ID)] {
			continue
		}
		if !found || c.options.Tracker.InFlight(b.ID) < c.options.Tracker.InFlight(best.ID) {
			best, found = b, true
		}
	}
	return best, found
}

func (c *Caller) send(ctx context.Context, r *request.Request, b watcher.Backend, idempotent bool) error {
	defer c.options.Tracker.Start(b.ID)()
	client := c.fresh
	if idempotent {
		client = c.reuse
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, r, b)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	res, err := client.Do(req)
	if err != nil {
		c.options.Backends.Suspect(b.ID)
		return classify(connected.Load(), err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return verdict.New(verdict.Ran, verdict.BackendFailed, "answer of %s broke off: %v", b.ID, err)
	}
	r.Call.Result = &request.Result{Status: res.StatusCode, Header: res.Header, Body: body}
	return nil
}

func newRequest(ctx context.Context, r *request.Request, b watcher.Backend) (*http.Request, error) {
	url := "http://" + b.Address + r.Call.Path
	if r.Call.Query != "" {
		url += "?" + r.Call.Query
	}
	req, err := http.NewRequestWithContext(ctx, r.Call.Method, url, bytes.NewReader(r.Call.Body))
	if err != nil {
		return nil, err
	}
	for _, k := range []string{"Content-Type", "Accept", api.HeaderIdempotencyKey} {
		if v := r.Call.Header.Get(k); v != "" {
			req.Header.Set(k, v)
		}
	}
	req.Header.Set(api.HeaderRequestID, string(r.ID))
	return req, nil
}

// classify maps a transport error to a verdict: without a connection nothing
// was sent.
func classify(connected bool, err error) error {
	if !connected {
		return verdict.New(verdict.NotRun, verdict.NoBackend, "no connection: %v", err).After(comeBack)
	}
	return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "connection lost after the request was sent: %v", err)
}
