// Package controller runs level-triggered controllers.
//
// A key names what a controller reconciles. Events only add the key to a queue;
// Reconcile reads the current state.
//
//   - A key is queued at most once and runs in one worker at a time.
//   - A key that fails is retried with backoff and jitter.
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
	// initialBackoff is the mean delay after the first failure of a key.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff bounds the mean delay, so that a key recovers soon after the
	// cause of its failure is fixed.
	maxBackoff = 10 * time.Second
	// defaultWorkers is the default number of keys that run concurrently.
	defaultWorkers = 1
)

// Options configures a Controller.
type Options[K comparable] struct {
	Timer timer.Service
	Log   *log.Logger
	// Reconcile compares the current state with the target and acts. If it
	// returns a positive time and no error, the key is added again after that
	// time, or at once if it was added during the run.
	Reconcile func(ctx context.Context, key K) (requeueAfter time.Duration, err error)
	// Workers is the number of keys that run concurrently; 0 means one.
	Workers int
}

// Controller runs Reconcile for the keys in a queue.
type Controller[K comparable] struct {
	options Options[K]

	mu     sync.Mutex
	queue  []K
	state  map[K]*keyState
	wakeup chan struct{}
}

// keyState exists while a key is queued, running or backing off.
type keyState struct {
	// dirty means that the key was added during its run.
	queued, running, dirty bool
	// backingOff means that the key failed. Add doesn't shorten the delay before
	// the retry.
	backingOff    bool
	backoffDelays *backoff.ExponentialBackOff
}

// New returns a Controller with an empty queue.
func New[K comparable](o Options[K]) *Controller[K] {
	if o.Workers <= 0 {
		o.Workers = defaultWorkers
	}
	return &Controller[K]{options: o, state: map[K]*keyState{}, wakeup: make(chan struct{}, o.Workers)}
}

// Add queues a key unless it is queued already or backing off. A key that is
// running runs again afterwards, because its run may have read the old state.
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
	case !s.queued && !s.backingOff:
		c.enqueue(key, s)
	}
}

// retry ends the backoff of a key and adds it.
func (c *Controller[K]) retry(key K) {
	c.mu.Lock()
	if s := c.state[key]; s != nil {
		s.backingOff = false
	}
	c.mu.Unlock()
	c.Add(key)
}

func (c *Controller[K]) enqueue(key K, s *keyState) {
	s.queued = true
	c.queue = append(c.queue, key)
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Run works on the queue. It blocks until ctx is done and the running keys have
// finished.
func (c *Controller[K]) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for range c.options.Workers {
		wg.Go(func() { c.runWorker(ctx, &wg) })
	}
	<-ctx.Done()
	wg.Wait()
}

func (c *Controller[K]) runWorker(ctx context.Context, wg *conc.WaitGroup) {
	for ctx.Err() == nil {
		key, ok := c.dequeue()
		if !ok {
			select {
			case <-c.wakeup:
			case <-ctx.Done():
			}
			continue
		}
		requeueAfter, err := c.options.Reconcile(ctx, key)
		if err != nil {
			c.options.Log.Warn("reconciliation failed; retrying", "key", key, "err", err)
		}
		if d := c.finish(key, requeueAfter, err); d > 0 {
			wg.Go(func() {
				if c.options.Timer.Sleep(ctx, d) == nil {
					c.retry(key)
				}
			})
		}
	}
}

func (c *Controller[K]) dequeue() (key K, ok bool) {
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

// finish records the result of a run and returns the delay after which the key is
// to be added again; 0 means that it need not be. A key that was added during a
// successful run is queued again at once, and after a failed run it backs off.
func (c *Controller[K]) finish(key K, requeueAfter time.Duration, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state[key]
	dirty := s.dirty
	s.running, s.dirty = false, false
	switch {
	case err != nil:
		if s.backoffDelays == nil {
			s.backoffDelays = newBackoff()
		}
		s.backingOff = true
		return max(time.Millisecond, s.backoffDelays.NextBackOff())
	case dirty:
		s.backoffDelays = nil
		c.enqueue(key, s)
		return 0
	default:
		delete(c.state, key)
		return requeueAfter
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	b.Reset()
	return b
}
