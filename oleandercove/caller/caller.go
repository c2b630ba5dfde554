// Package caller sends calls to plain services.
//
// A call that may not be repeated is sent on a new connection: the HTTP transport resends
// a request by itself if a reused connection breaks and the request carries an
// Idempotency-Key header. Other calls use kept connections to backend servers that repeat the
// id of a request, X-Request-Id, in its response: a faulty server may write a response once
// more while the next call is running.
//
// The verdict of each attempt is derived from the bytes that its connection carried, and the
// retrier decides whether the call is sent again.
//
// Usage:
//
//	c := caller.New(caller.Options{Backends: w, Tracker: t})
//	err := c.Serve(ctx, r)
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/receiver"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/classifier"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/retrier"
	"oleandercove.example/oleandercove/tracer"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// dialTimeout bounds the connection set-up to a backend server.
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 8 << 20
	// retryAfter is the shortest time after which a caller may retry a refused call.
	retryAfter = time.Second
)

// Options configures a Caller.
type Options struct {
	Backends watcher.Backends
	Tracker  *tracker.Tracker
	Recorder recorder.Recorder
	Log      *log.Logger
	// Retry bounds the retries.
	Retry retrier.Options
}

// Caller sends service calls to backend servers.
type Caller struct {
	options Options
	budget  *retrier.Budget
	// reusingClient keeps connections open; freshClient opens one for each attempt.
	reusingClient, freshClient *http.Client
	// repeatsIDs holds by address whether the last response from there repeated the id of its
	// request.
	repeatsIDs sync.Map
}

// New returns a Caller.
func New(o Options) *Caller {
	d := tracer.Dial(&net.Dialer{Timeout: dialTimeout})
	return &Caller{
		options:       o,
		budget:        retrier.NewBudget(o.Retry),
		reusingClient: &http.Client{Transport: receiver.NewTransport(&http.Transport{DialContext: d, MaxIdleConnsPerHost: 64}), CheckRedirect: noRedirect},
		freshClient:   &http.Client{Transport: receiver.NewTransport(&http.Transport{DialContext: d, DisableKeepAlives: true}), CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Idempotent reports whether the entry allows the call to be repeated.
func Idempotent(s *catalogue.Service, method, path string) bool {
	if slices.Contains(s.IdempotentMethods, method) {
		return true
	}
	return slices.ContainsFunc(s.IdempotentPaths, func(p string) bool { return strings.HasPrefix(path, p) })
}

// Serve sends the call to the usable backend server with the least work in flight. It
// blocks until a response is in r.Call or the call fails; a failed attempt is repeated only
// if the retrier and the retry budget allow it. The error is a verdict.Error that states
// whether the call may have run.
func (c *Caller) Serve(ctx context.Context, r *request.Request) error {
	p := &call{Caller: c, r: r, tried: map[unit.BackendID]bool{}}
	p.idempotent = Idempotent(r.Entry.Service, r.Call.Method, r.Call.Path)
	b, ok := p.pickServer()
	if !ok {
		return verdict.New(verdict.NotRun, verdict.NoBackend, "no healthy worker serves %s", r.Name).WithRetryAfter(retryAfter)
	}
	c.budget.Deposit(b.ID)
	reuse := p.mayReuse(b)
	for number := 1; ; number++ {
		p.tried[b.ID] = true
		f := p.sendAttempt(ctx, b, reuse)
		if f == nil {
			return nil
		}
		c.options.Recorder.Record(recorder.Event{Request: r.ID, Part: "caller", Decision: string(f.err.Verdict), Cause: string(b.ID) + ": " + f.err.Detail})
		if f.err.Verdict != verdict.NotRun {
			p.mayHaveRun = f.err
		}
		next, ok := p.nextServer(ctx, b, f, number)
		if !ok {
			return p.finalError(f)
		}
		// The failure of a reused connection is little evidence against its backend
		// server, so the next attempt uses a new connection.
		b, reuse = next, false
	}
}

// finalError returns the error of a call after its last attempt. An attempt that was refused
// says nothing about an earlier one that may have run.
func (c *call) finalError(last *failure) error {
	err := last.err
	if c.mayHaveRun != nil {
		err = c.mayHaveRun
	}
	return err.WithRetryAfter(max(err.RetryAfter, retryAfter))
}

// nextServer waits for the retry delay and returns the backend server of the next
// attempt, or false if the call is not sent again. After a failure on a reused connection it
// returns the same server.
func (c *call) nextServer(ctx context.Context, b watcher.Backend, f *failure, number int) (watcher.Backend, bool) {
	d := retrier.Decide(retrier.Attempt{
		Verdict: f.err.Verdict, Idempotent: c.idempotent, Claimed: c.r.IdempotencyKey != "",
		Unsent: f.outcome.Sent == classifier.SentNothing, Number: number, Remaining: time.Until(c.r.Deadline),
	}, rand.Float64())
	if !d.Retry || ctx.Err() != nil {
		return b, false
	}
	if !f.reused {
		var ok bool
		if b, ok = c.pickServer(); !ok {
			return b, false
		}
	}
	if !c.budget.Withdraw(b.ID) {
		return b, false
	}
	select {
	case <-time.After(d.Delay):
		return b, true
	case <-ctx.Done():
		return b, false
	}
}

// pickServer returns the untried usable backend server with the least work in flight.
func (c *call) pickServer() (watcher.Backend, bool) {
	var best watcher.Backend
	found := false
	for _, b := range c.options.Backends.Backends() {
		if b.Role != platform.RoleService || b.Serves != c.r.Name || !b.Usable() || c.tried[b.ID] {
			continue
		}
		if !found || c.options.Tracker.InFlight(b.ID) < c.options.Tracker.InFlight(best.ID) {
			best, found = b, true
		}
	}
	return best, found
}
