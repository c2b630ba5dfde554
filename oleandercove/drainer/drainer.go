// Package drainer shuts a daemon down gracefully.
//
// A shutdown has four steps: the daemon reports that it is not ready but keeps
// accepting until the load balancer has noticed, then refuses new requests,
// waits for the running ones, and ends those that are left at the limit with an
// explicit error.
//
// Usage:
//
//	d := drainer.New(drainer.Options{Timer: t, BalancerDelay: time.Second, Limit: 30 * time.Second, Log: l})
//	h := chain.Build(last, d, otherFilters...)
//	err := d.Drain(ctx)
package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/timer"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
)

const (
	// comeBack is when a refused caller should try again: the load balancer then
	// sends the request to another daemon.
	comeBack = time.Second
	// maxEndTime is the part of the limit that is kept for writing the final
	// errors of requests that did not finish.
	maxEndTime = time.Second
)

// Phase is a step of the shutdown.
type Phase int

const (
	// Serving means that no shutdown has begun.
	Serving Phase = iota
	// Unready means that the daemon still accepts requests.
	Unready
	// Refusing means that running requests finish and new ones are refused.
	Refusing
	// Ending means that the limit passed and running requests are ended.
	Ending
)

// Options configures a Drainer.
type Options struct {
	Timer timer.Service
	// BalancerDelay is the time between Unready and Refusing.
	BalancerDelay time.Duration
	// Limit bounds the whole shutdown, including BalancerDelay.
	Limit time.Duration
	Log   *log.Logger
}

// Drainer is a filter that counts running requests, and the shutdown itself.
type Drainer struct {
	options Options

	mu      sync.Mutex
	phase   Phase
	running int
	// idle is closed when the last running request ends while refusing.
	idle chan struct{}
	// ending is closed at the limit.
	ending chan struct{}
}

// New returns a Drainer that serves.
func New(o Options) *Drainer {
	return &Drainer{options: o, idle: make(chan struct{}), ending: make(chan struct{})}
}

// Phase returns the current step.
func (d *Drainer) Phase() Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

// Ready tells whether the load balancer may send requests.
func (d *Drainer) Ready() bool { return d.Phase() == Serving }

// Running returns the number of running requests.
func (d *Drainer) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// Check refuses a new request once the daemon accepts none.
func (d *Drainer) Check() error {
	if d.Phase() >= Refusing {
		return refusal()
	}
	return nil
}

func refusal() error {
	return verdict.New(verdict.NotRun, verdict.Draining, "this daemon is shutting down").After(comeBack)
}

// Handle refuses new requests while the daemon drains and ends running ones at
// the limit.
func (d *Drainer) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if !d.enter() {
		return refusal()
	}
	defer d.leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-d.ending:
			cancel()
		case <-finished:
		}
	}()
	err := next(ctx, r)
	if err != nil && d.Phase() == Ending {
		return ended(err)
	}
	return err
}

// ended replaces the reason of a canceled request and keeps its verdict.
func ended(err error) error {
	v, ok := verdict.Of(err)
	if ok && v.Reason != verdict.Canceled && v.Reason != verdict.BackendFailed {
		return err
	}
	ran := verdict.MayHaveRun
	if ok {
		ran = v.Verdict
	}
	return verdict.New(ran, verdict.Draining, "shutdown limit reached before the request finished").After(comeBack)
}

func (d *Drainer) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase >= Refusing {
		return false
	}
	d.running++
	return true
}

func (d *Drainer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.running == 0 && d.phase >= Refusing {
		close(d.idle)
	}
}

// Drain runs the shutdown and returns true if all requests ended by then.
func (d *Drainer) Drain(ctx context.Context) bool {
	o := d.options
	start := o.Timer.Now()
	limit := o.Limit - min(maxEndTime, o.Limit/4)
	d.setPhase(Unready)
	o.Log.Info("not ready; requests are still accepted", "delay", o.BalancerDelay, "limit", o.Limit)
	_ = o.Timer.Sleep(ctx, o.BalancerDelay)
	d.setPhase(Refusing)
	o.Log.Info("refusing new requests", "running", d.Running())
	if d.wait(ctx, limit-o.Timer.Now().Sub(start)) {
		return true
	}
	d.setPhase(Ending)
	o.Log.Warn("limit reached; ending running requests", "running", d.Running())
	return d.wait(ctx, o.Limit-o.Timer.Now().Sub(start))
}

func (d *Drainer) setPhase(p Phase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase = p
	if p == Refusing && d.running == 0 {
		close(d.idle)
	}
	if p == Ending {
		close(d.ending)
	}
}

func (d *Drainer) wait(ctx context.Context, limit time.Duration) bool {
	select {
	case <-d.idle:
		return true
	case <-d.options.Timer.After(max(0, limit)):
		return false
	case <-ctx.Done():
		return false
	}
}
