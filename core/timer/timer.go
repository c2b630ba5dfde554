// Package timer is the source of time for all parts of a process.
//
// Parts use a Service instead of package time, so that tests can control the time with
// a Manual service.
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

// Service provides the current time and timers.
type Service interface {
	// Now returns the current time. Not every Service adds a monotonic clock reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
	// Sleep blocks for d. If ctx is done first, it returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
	// Subscribe calls fn every interval until stop is called. It does not block.
	Subscribe(interval time.Duration, fn func(now time.Time)) (stop func())
}

// Real is a Service on the system clock.
type Real struct{}

// NewReal returns a Service on the system clock.
func NewReal() *Real { return &Real{} }

// Now returns the current time with its monotonic clock reading.
func (*Real) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (*Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep blocks for d. If ctx is done first, it returns the error of ctx.
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

// Subscribe calls fn every interval, from its own goroutine, until stop is called.
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
