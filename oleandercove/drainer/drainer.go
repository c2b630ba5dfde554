// Package drainer shuts a daemon down gracefully.
//
// A shutdown has four steps:
//
//  1. The daemon reports that it is not ready, but accepts requests for
//     BalancerDelay, in which the load balancer detects this.
//  2. It refuses new requests.
//  3. It waits for the running requests.
//  4. At the limit it ends the remaining requests with an explicit error.
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
	// retryAfter is how long a refused caller should wait before it retries: the
	// load balancer then sends the request to another daemon.
	retryAfter = time.Second
	// maxErrorTime bounds the part of the limit that is reserved for writing the
	// final errors of requests that did not finish.
	maxErrorTime = time.Second
)

// Phase is a step of the shutdown.
type Phase int

const (
	// Serving means that no shutdown has started.
	Serving Phase = iota
	// Unready means that the daemon reports not ready and still accepts requests.
	Unready
	// Refusing means that running requests finish and new ones are refused.
	Refusing
	// Terminating means that the limit has passed and running requests are canceled.
	Terminating
)

// Options configures a Drainer.
type Options struct {
	Timer timer.Service
	// BalancerDelay is the time between Unready and Refusing.
	BalancerDelay time.Duration
	// Limit bounds the complete shutdown, including BalancerDelay.
	Limit time.Duration
	Log   *log.Logger
}

// Drainer runs the shutdown. It is also the filter that counts running requests.
type Drainer struct {
	options Options

	mu      sync.Mutex
	phase   Phase
	running int
	// idle is closed once new requests are refused and none is running.
	idle chan struct{}
	// limitReached is closed when the phase becomes Terminating.
	limitReached chan struct{}
}

// New returns a Drainer in phase Serving.
func New(o Options) *Drainer {
	return &Drainer{options: o, idle: make(chan struct{}), limitReached: make(chan struct{})}
}

// Phase returns the current step.
func (d *Drainer) Phase() Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

// Ready reports whether the load balancer may send requests.
func (d *Drainer) Ready() bool { return d.Phase() == Serving }

// Running returns the number of running requests.
func (d *Drainer) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// Refusal returns the error for a new request in phases Refusing and Terminating, else
// nil.
func (d *Drainer) Refusal() error {
	if d.Phase() >= Refusing {
		return refusal()
	}
	return nil
}

func refusal() error {
	return verdict.New(verdict.NotRun, verdict.Draining, "this daemon is shutting down").WithRetryAfter(retryAfter)
}

// Handle refuses new requests in phases Refusing and Terminating, and cancels running
// ones at the limit.
func (d *Drainer) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if !d.startRequest() {
		return refusal()
	}
	defer d.finishRequest()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-d.limitReached:
			cancel()
		case <-finished:
		}
	}()
	err := next(ctx, r)
	if err != nil && d.Phase() == Terminating {
		return shutdownError(err)
	}
	return err
}

// shutdownError replaces the reason of a request that failed or was canceled at
// the limit, and keeps its verdict.
func shutdownError(err error) error {
	v, ok := verdict.FromError(err)
	if ok && v.Reason != verdict.Canceled && v.Reason != verdict.BackendFailed {
		return err
	}
	ran := verdict.MayHaveRun
	if ok {
		ran = v.Verdict
	}
	return verdict.New(ran, verdict.Draining, "shutdown limit reached before the request finished").WithRetryAfter(retryAfter)
}

func (d *Drainer) startRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase >= Refusing {
		return false
	}
	d.running++
	return true
}

func (d *Drainer) finishRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.running == 0 && d.phase >= Refusing {
		close(d.idle)
	}
}

// Drain runs the shutdown and reports whether all requests ended. It blocks until
// they have ended, the limit has passed or ctx is done.
func (d *Drainer) Drain(ctx context.Context) bool {
	o := d.options
	start := o.Timer.Now()
	limit := o.Limit - min(maxErrorTime, o.Limit/4)
	d.setPhase(Unready)
	o.Log.Info("not ready; requests are still accepted", "delay", o.BalancerDelay, "limit", o.Limit)
	_ = o.Timer.Sleep(ctx, o.BalancerDelay)
	d.setPhase(Refusing)
	o.Log.Info("refusing new requests", "running", d.Running())
	if d.waitIdle(ctx, limit-o.Timer.Now().Sub(start)) {
		return true
	}
	d.setPhase(Terminating)
	o.Log.Warn("limit reached; ending running requests", "running", d.Running())
	return d.waitIdle(ctx, o.Limit-o.Timer.Now().Sub(start))
}

func (d *Drainer) setPhase(p Phase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase = p
	if p == Refusing && d.running == 0 {
		close(d.idle)
	}
	if p == Terminating {
		close(d.limitReached)
	}
}

// waitIdle waits until no request is running, at most for limit, and reports
// whether that happened before the limit or the end of ctx.
func (d *Drainer) waitIdle(ctx context.Context, limit time.Duration) bool {
	select {
	case <-d.idle:
		return true
	case <-d.options.Timer.After(max(0, limit)):
		return false
	case <-ctx.Done():
		return false
	}
}
