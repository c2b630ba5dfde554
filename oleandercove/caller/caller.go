// Package caller sends calls to plain services.
//
// A call that may not be repeated goes out on a fresh connection: the HTTP
// transport repeats a request by itself when a reused connection breaks and
// the request carries an Idempotency-Key header. The verdict of each attempt
// comes from the bytes that its connection carried, and the retrier decides
// whether it is sent again.
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
	// Retry bounds the retries.
	Retry retrier.Options
}

// Caller serves service calls.
type Caller struct {
	options Options
	budget  *retrier.Budget
	// reuse keeps connections open; fresh makes one for each call.
	reuse, fresh *http.Client
}

// New returns a Caller.
func New(o Options) *Caller {
	d := tracer.Dial(&net.Dialer{Timeout: dialTimeout})
	return &Caller{
		options: o,
		budget:  retrier.NewBudget(o.Retry),
		reuse:   &http.Client{Transport: &http.Transport{DialContext: d, MaxIdleConnsPerHost: 64, MaxResponseHeaderBytes: receiver.MaxHead}, CheckRedirect: noRedirect},
		fresh:   &http.Client{Transport: &http.Transport{DialContext: d, DisableKeepAlives: true, MaxResponseHeaderBytes: receiver.MaxHead}, CheckRedirect: noRedirect},
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
// call is sent again only if the retrier allows it.
func (c *Caller) Serve(ctx context.Context, r *request.Request) error {
	p := &call{Caller: c, r: r, tried: map[unit.BackendID]bool{}}
	p.idempotent = Idempotent(r.Entry.Service, r.Call.Method, r.Call.Path)
	b, ok := p.pick()
	if !ok {
		return verdict.New(verdict.NotRun, verdict.NoBackend, "no healthy worker serves %s", r.Name).After(comeBack)
	}
	c.budget.Deposit(b.ID)
	reuse := p.idempotent
	for number := 1; ; number++ {
		p.tried[b.ID] = true
		f := p.send(ctx, b, reuse)
		if f == nil {
			return nil
		}
		c.options.Recorder.Record(recorder.Event{Request: r.ID, Part: "caller", Decision: string(f.err.Verdict), Cause: string(b.ID) + ": " + f.err.Detail})
		next, ok := p.next(ctx, b, f, number)
		if !ok {
			return f.err.After(max(f.err.RetryAfter, comeBack))
		}
		// A failed reused connection says little about its worker: the next
		// attempt uses a new connection.
		b, reuse = next, false
	}
}

// next returns the worker of the next attempt, if there is to be one.
func (c *call) next(ctx context.Context, b watcher.Backend, f *failure, number int) (watcher.Backend, bool) {
	d := retrier.Decide(retrier.Attempt{
		Verdict: f.err.Verdict, Idempotent: c.idempotent, Claimed: c.r.IdempotencyKey != "",
		Untouched: f.outcome.Sent == classifier.SentNothing, Number: number, Remaining: time.Until(c.r.Deadline),
	}, rand.Float64())
	if !d.Retry || ctx.Err() != nil {
		return b, false
	}
	if !f.reused {
		var ok bool
		if b, ok = c.pick(); !ok {
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

func (c *call) pick() (watcher.Backend, bool) {
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
