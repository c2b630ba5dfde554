// Package admitter decides which model requests run now, wait or are rejected.
//
// Each daemon limits its running streams of a model and adapts the limit to the
// measured time between tokens:
//
//   - it decreases while tokens take longer than on engines without a queue by
//     more than a fixed factor (the engines are saturated);
//   - it increases while the limit is in use and the engines aren't saturated.
//
// The queue is bounded in length and in waiting time. A request that is estimated
// to miss its deadline or to wait too long is rejected at once as NotRun.
//
// Usage:
//
//	f := admitter.New(admitter.Options{Backends: w, Timer: t})
//	h := chain.Build(router.Handle, authenticator, f)
package admitter

import (
	"context"
	"sync"
	"time"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/watcher"
)

// DefaultMaxWait bounds the time in the queue, so that queueing and the time to
// first token together stay within 1.1 s.
const DefaultMaxWait = 800 * time.Millisecond

// Options configures a Filter.
type Options struct {
	Backends watcher.Backends
	Timer    timer.Service
	// MaxWait bounds the time in the queue; 0 means DefaultMaxWait.
	MaxWait time.Duration
}

// Filter admits model requests; requests of other kinds pass unchanged.
type Filter struct {
	options Options
	mu      sync.Mutex
	gates   map[unit.EntryName]*gate
}

// New returns a Filter.
func New(o Options) *Filter {
	if o.MaxWait == 0 {
		o.MaxWait = DefaultMaxWait
	}
	return &Filter{options: o, gates: map[unit.EntryName]*gate{}}
}

// Handle passes the request on once the model has free capacity, or rejects it.
// It blocks until the request is granted, ctx is done or MaxWait has passed, and
// then for as long as next runs.
func (f *Filter) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if r.Kind != catalogue.KindModel {
		return next(ctx, r)
	}
	g, t, err := f.enqueue(r)
	if err != nil {
		return err
	}
	if err := f.awaitGrant(ctx, g, t); err != nil {
		return err
	}
	// The low class is rationed here. Engines run higher classes strictly first
	// and would starve a low-class stream that was granted under its minimum
	// share.
	r.Priority = max(r.Priority, engine.PriorityNormal)
	start := f.options.Timer.Now()
	f.observeTokens(g, t.class, r.Completion)
	defer func() { f.release(g, t, r.Completion, start) }()
	return next(ctx, r)
}

// enqueue adds the request to the queue of its model. It returns an error if the
// request is rejected; if the queue is full it may evict another request instead.
func (f *Filter) enqueue(r *request.Request) (*gate, *ticket, error) {
	now := f.options.Timer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gate(r, now)
	t := &ticket{
		account: r.Account, class: classOf(r.Priority), deadline: r.Deadline,
		cost: g.expectedTokens(r.Completion.MaxTokens), ready: make(chan error, 1),
	}
	if g.capacity.maxFlow == 0 {
		// No chain covers the model: the later filters reject the request with the
		// right reason.
		g.running++
		t.ready <- nil
		return g, t, nil
	}
	if err := g.checkWait(t, now, f.options.MaxWait); err != nil {
		return nil, nil, err
	}
	if evicted := g.queue.push(t); evicted != nil {
		evicted.ready <- overloaded(g.estimateWait(evicted), "queue is full")
	}
	g.dispatch(now)
	return g, t, nil
}

// gate returns the gate of the model, with a capacity that is at most
// maxCapacityAge old.
func (f *Filter) gate(r *request.Request, now time.Time) *gate {
	g := f.gates[r.Name]
	if g == nil {
		g = newGate()
		f.gates[r.Name] = g
	}
	if now.Sub(g.computedAt) >= maxCapacityAge {
		g.setCapacity(capacityOf(f.options.Backends.Backends(), r.Name, r.Entry.Model.Layers), now)
	}
	return g
}

// awaitGrant blocks until the ticket is granted or rejected, ctx is done or
// MaxWait has passed.
func (f *Filter) awaitGrant(ctx context.Context, g *gate, t *ticket) error {
	select {
	case err := <-t.ready:
		return err
	default:
	}
	var err error
	select {
	case err := <-t.ready:
		return err
	case <-ctx.Done():
		err = verdict.New(verdict.NotRun, verdict.Canceled, "caller went away while waiting")
		if ctx.Err() == context.DeadlineExceeded {
			err = verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "deadline passed while waiting")
		}
	case <-f.options.Timer.After(f.options.MaxWait):
		err = overloaded(0, "no room within %s", f.options.MaxWait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if g.queue.remove(t) {
		return err
	}
	return <-t.ready // granted or rejected in the meantime
}

// observeTokens wraps the Emit function of a stream to record the time between
// its tokens.
func (f *Filter) observeTokens(g *gate, class int, c *request.Completion) {
	emit, last := c.Emit, time.Time{}
	c.Emit = func(text string) error {
		now := f.options.Timer.Now()
		f.mu.Lock()
		if !last.IsZero() {
			g.recordGap(class, now.Sub(last))
		}
		g.adjustLimit(now)
		g.dispatch(now)
		f.mu.Unlock()
		last = now
		return emit(text)
	}
}

// release ends the grant of a finished request and updates the estimates with it.
func (f *Filter) release(g *gate, t *ticket, c *request.Completion, start time.Time) {
	now := f.options.Timer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	g.running--
	g.recordStream(now.Sub(start), c.Tokens, c.MaxTokens)
	if c.Tokens > 0 {
		g.queue.correctCharge(t, c.Tokens)
	}
	g.dispatch(now)
}
