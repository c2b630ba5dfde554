package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BreakerState is the state of the circuit breaker.
type BreakerState string

const (
	// BreakerClosed lets all calls pass.
	BreakerClosed BreakerState = "Closed"
	// BreakerOpen fails all calls at once.
	BreakerOpen BreakerState = "Open"
	// BreakerHalfOpen lets one call pass to probe the platform.
	BreakerHalfOpen BreakerState = "HalfOpen"
)

const (
	// breakerFailures is the number of failures in a row that open the breaker.
	breakerFailures = 5
	// openTime is how long the breaker stays open, with up to openJitter more,
	// so that the daemons don't probe at the same moment.
	openTime   = 500 * time.Millisecond
	openJitter = 250 * time.Millisecond
)

type breaker struct {
	mu       sync.Mutex
	state    BreakerState
	failures int
	until    time.Time
	probing  bool
}

func newBreaker() *breaker { return &breaker{state: BreakerClosed} }

// allow tells whether a call may go out. Each allowed call ends with report
// or abandon.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == BreakerOpen && !now.Before(b.until) {
		b.state = BreakerHalfOpen
	}
	switch b.state {
	case BreakerClosed:
		return true
	case BreakerHalfOpen:
		if b.probing {
			return false
		}
		b.probing = true
		return true
	default:
		return false
	}
}

// report records the result of a call.
func (b *breaker) report(ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if ok {
		b.state, b.failures = BreakerClosed, 0
		return
	}
	b.failures++
	if b.state == BreakerHalfOpen || b.failures >= breakerFailures {
		b.state = BreakerOpen
		b.until = now.Add(openTime + rand.N(openJitter))
	}
}

// abandon ends a call that says nothing about the platform.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

func (b *breaker) current() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}
