// Package admitter decides which model requests run now, wait or are refused.
//
// Each daemon limits its running streams of a model. The limit follows the
// measured time between tokens: it falls while tokens take longer than they
// should on saturated engines, and grows while the limit is in use and they
// don't. Waiting requests are bounded in number and time. A request that can't
// meet its deadline by the estimate is refused at once as NotRun.
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

// DefaultMaxWait keeps the first token within 1.1 s together with the time of
// the first token itself.
const DefaultMaxWait = 800 * time.Millisecond

// Options configures a Filter.
type Options struct {
	Backends watcher.Backends
	Timer    timer.Service
	// MaxWait bounds the time in the queue; 0 means DefaultMaxWait.
	MaxWait time.Duration
}

// Filter is the admission filter.
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

// Handle serves the request once there is room for it, or refuses it.
func (f *Filter) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if r.Kind != catalogue.KindModel {
		return next(ctx, r)
	}
	g, t, err := f.enter(r)
	if err != nil {
		return err
	}
	if err := f.await(ctx, g, t); err != nil {
		return err
	}
	// The low class is rationed here. Engines run higher classes strictly first
	// and would starve a stream that was granted its least share.
	r.Priority = max(r.Priority, engine.PriorityNormal)
	start := f.options.Timer.Now()
	f.observe(g, t.class, r.Completion)
	defer func() { f.leave(g, t, r.Completion, start) }()
	return next(ctx, r)
}

// enter queues the request, or refuses it or another one.
func (f *Filter) enter(r *request.Request) (*gate, *ticket, error) {
	now := f.options.Timer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gate(r, now)
	t := &ticket{
		account: r.Account, class: classOf(r.Priority), deadline: r.Deadline,
		cost: g.expected(r.Completion.MaxTokens), ready: make(chan error, 1),
	}
	if g.capacity.bound == 0 {
		// Without a chain the next parts refuse with the right reason.
		g.running++
		t.ready <- nil
		return g, t, nil
	}
	if err := g.check(t, now, f.options.MaxWait); err != nil {
		return nil, nil, err
	}
	if evicted := g.queue.push(t); evicted != nil {
		evicted.ready <- overloaded(g.wait(evicted), "queue is full")
	}
	g.dispatch(now)
	return g, t, nil
}

// gate returns the gate of the model with a recent capacity.
func (f *Filter) gate(r *request.Request, now time.Time) *gate {
	g := f.gates[r.Name]
	if g == nil {
		g = newGate()
		f.gates[r.Name] = g
	}
	if now.Sub(g.computed) >= capacityAge {
		g.refresh(capacityOf(f.options.Backends.Backends(), r.Name, r.Entry.Model.Layers), now)
	}
	return g
}

// await waits for the turn of a ticket.
func (f *Filter) await(ctx context.Context, g *gate, t *ticket) error {
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
	return <-t.ready // granted or refused in the meantime
}

// observe measures the time between tokens of a stream.
func (f *Filter) observe(g *gate, class int, c *request.Completion) {
	emit, last := c.Emit, time.Time{}
	c.Emit = func(text string) error {
		now := f.options.Timer.Now()
		f.mu.Lock()
		if !last.IsZero() {
			g.sample(class, now.Sub(last))
		}
		g.adjust(now)
		g.dispatch(now)
		f.mu.Unlock()
		last = now
		return emit(text)
	}
}

func (f *Filter) leave(g *gate, t *ticket, c *request.Completion, start time.Time) {
	now := f.options.Timer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	g.running--
	g.finished(now.Sub(start), c.Tokens, c.MaxTokens)
	if c.Tokens > 0 {
		g.queue.settle(t, c.Tokens)
	}
	g.dispatch(now)
}
