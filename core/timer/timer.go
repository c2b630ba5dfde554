// Package timer is the one source of time for all parts of a process.
//
// Parts subscribe to the service instead of calling package time, so that
// tests drive time by hand with a Manual service.
//
// Usage:
//
//	t := timer.NewReal()
//	stop := t.Subscribe(time.Second, func(now time.Time) { poll(now) })
//	defer stop()
package timer

import (
	"context"
	"sync"
	"time"
)

// Service tells the time and wakes subscribers.
type Service interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
	// Sleep waits for d or until ctx is done.
	Sleep(ctx context.Context, d time.Duration) error
	// Subscribe calls fn every interval until stop is called.
	Subscribe(interval time.Duration, fn func(now time.Time)) (stop func())
}

// Real is a Service on the clock of the system.
type Real struct{}

// NewReal returns a Service on the clock of the system.
func NewReal() *Real { return &Real{} }

// Now returns the current time.
func (*Real) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (*Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits for d or until ctx is done.
func (*Real) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Subscribe calls fn every interval until stop is called.
func (*Real) Subscribe(interval time.Duration, fn func(now time.Time)) func() {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				fn(now)
			case <-done:
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}
