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
	// BreakerOpen makes all calls fail immediately.
	BreakerOpen BreakerState = "Open"
	// BreakerHalfOpen lets one call at a time pass to probe the platform.
	BreakerHalfOpen BreakerState = "HalfOpen"
)

const (
	// breakerFailures is the number of consecutive failures that open the breaker.
	breakerFailures = 5
	// openTime is the time for which the breaker stays open. A random part of
	// openJitter is added, so that the daemons don't probe at the same moment.
	openTime   = 500 * time.Millisecond
	openJitter = 250 * time.Millisecond
)

// breaker is a circuit breaker around the calls to the platform.
type breaker struct {
	mu        sync.Mutex
	state     BreakerState
	failures  int
	openUntil time.Time
	probing   bool
}

func newBreaker() *breaker { return &breaker{state: BreakerClosed} }

// allow reports whether a call may be sent. The caller ends each allowed call with
// record or abandon.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == BreakerOpen && !now.Before(b.openUntil) {
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

// record counts the result of an allowed call and opens or closes the breaker.
func (b *breaker) record(ok bool, now time.Time) {
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
		b.openUntil = now.Add(openTime + rand.N(openJitter))
	}
}

// abandon ends an allowed call whose result does not show the state of the platform.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

func (b *breaker) currentState() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}
