// Package controller runs level-triggered controllers.
//
// A key names what a controller decides about. Events only add the key to a
// queue; the decision reads the current state. A key is queued once, runs in
// one worker at a time, and is repeated with backoff and jitter when it fails.
//
// Usage:
//
//	c := controller.New(controller.Options[string]{Timer: t, Log: l, Reconcile: decide})
//	go c.Run(ctx)
//	c.Add("engines")
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"oleandercove.example/core/timer"
)

const (
	// firstDelay is the mean pause after the first failure of a key.
	firstDelay = 200 * time.Millisecond
	// maxDelay bounds the pause, so that a repaired cause is seen soon.
	maxDelay = 10 * time.Second
	// defaultWorkers is the number of keys that run at a time.
	defaultWorkers = 1
)

// Options configures a Controller.
type Options[K comparable] struct {
	Timer timer.Service
	Log   *log.Logger
	// Reconcile compares the current state with the target and acts. A positive
	// time adds the key again after it.
	Reconcile func(ctx context.Context, key K) (again time.Duration, err error)
	// Workers is the number of keys that run at a time; 0 means one.
	Workers int
}

// Controller has a queue of keys and workers for them.
type Controller[K comparable] struct {
	options Options[K]

	mu      sync.Mutex
	queue   []K
	state   map[K]*keyState
	changed chan struct{}
}

// keyState exists while a key is queued, running or failing.
type keyState struct {
	queued, running, dirty bool
	// paused means that the key failed; changes don't shorten its pause.
	paused bool
	delays *backoff.ExponentialBackOff
}

// New returns a Controller with an empty queue.
func New[K comparable](o Options[K]) *Controller[K] {
	if o.Workers <= 0 {
		o.Workers = defaultWorkers
	}
	return &Controller[K]{options: o, state: map[K]*keyState{}, changed: make(chan struct{}, o.Workers)}
}

// Add queues a key unless it waits already. A key that is running now runs
// again afterwards, because its decision may have read the old state.
func (c *Controller[K]) Add(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state[key]
	if s == nil {
		s = &keyState{}
		c.state[key] = s
	}
	switch {
	case s.running:
		s.dirty = true
	case !s.queued && !s.paused:
		c.push(key, s)
	}
}

// resume ends the pause of a key and adds it.
func (c *Controller[K]) resume(key K) {
	c.mu.Lock()
	if s := c.state[key]; s != nil {
		s.paused = false
	}
	c.mu.Unlock()
	c.Add(key)
}

func (c *Controller[K]) push(key K, s *keyState) {
	s.queued = true
	c.queue = append(c.queue, key)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Run works on the queue until ctx is done and the running keys have ended.
func (c *Controller[K]) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for range c.options.Workers {
		wg.Go(func() { c.work(ctx, &wg) })
	}
	<-ctx.Done()
	wg.Wait()
}

func (c *Controller[K]) work(ctx context.Context, wg *conc.WaitGroup) {
	for ctx.Err() == nil {
		key, ok := c.next()
		if !ok {
			select {
			case <-c.changed:
			case <-ctx.Done():
			}
			continue
		}
		again, err := c.options.Reconcile(ctx, key)
		if err != nil {
			c.options.Log.Warn("reconciliation failed; repeating it", "key", key, "err", err)
		}
		if d := c.finish(key, again, err); d > 0 {
			wg.Go(func() {
				if c.options.Timer.Sleep(ctx, d) == nil {
					c.resume(key)
				}
			})
		}
	}
}

func (c *Controller[K]) next() (key K, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return key, false
	}
	key, c.queue = c.queue[0], c.queue[1:]
	s := c.state[key]
	s.queued, s.running = false, true
	return key, true
}

// finish returns the pause after which the key is added again; 0 means never.
func (c *Controller[K]) finish(key K, again time.Duration, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state[key]
	dirty := s.dirty
	s.running, s.dirty = false, false
	switch {
	case err != nil:
		if s.delays == nil {
			s.delays = newDelays()
		}
		s.paused = true
		return max(time.Millisecond, s.delays.NextBackOff())
	case dirty:
		s.delays = nil
		c.push(key, s)
		return 0
	default:
		delete(c.state, key)
		return again
	}
}

func newDelays() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstDelay, maxDelay
	b.Reset()
	return b
}
