package timer

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Manual is a Service for tests whose time moves only by calls of Advance.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []*waiter
}

type waiter struct {
	at       time.Time
	ch       chan time.Time
	interval time.Duration
	fn       func(time.Time)
	stopped  bool
}

// NewManual returns a Manual service that starts at the given time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time that the test has reached.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time once d has passed.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	m.waiters = append(m.waiters, &waiter{at: m.now.Add(d), ch: ch})
	return ch
}

// Sleep blocks until the time has advanced by d. If ctx is done first, it returns the
// error of ctx.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-m.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Subscribe calls fn every interval until stop is called.
func (m *Manual) Subscribe(interval time.Duration, fn func(now time.Time)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &waiter{at: m.now.Add(interval), interval: interval, fn: fn}
	m.waiters = append(m.waiters, w)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		w.stopped = true
	}
}

// Waiting returns the number of waiters, so that a test can detect that the code under
// test has started to wait.
func (m *Manual) Waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}

// Advance moves the time by d and wakes the waiters that are due, in order of time.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for m.fireNext(end) {
	}
	m.mu.Lock()
	m.now = end
	m.mu.Unlock()
}

// fireNext wakes the first waiter that is due by end. It reports whether there was one.
func (m *Manual) fireNext(end time.Time) bool {
	m.mu.Lock()
	sort.SliceStable(m.waiters, func(i, j int) bool { return m.waiters[i].at.Before(m.waiters[j].at) })
	if len(m.waiters) == 0 || m.waiters[0].at.After(end) {
		m.mu.Unlock()
		return false
	}
	w := m.waiters[0]
	m.now = w.at
	if w.fn == nil || w.stopped {
		m.waiters = m.waiters[1:]
	} else {
		w.at = w.at.Add(w.interval)
	}
	now, stopped := m.now, w.stopped
	m.mu.Unlock()
	switch {
	case stopped:
	case w.fn != nil:
		w.fn(now)
	default:
		w.ch <- now
	}
	return true
}
