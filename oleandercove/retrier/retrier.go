// Package retrier decides whether a failed call is sent again.
//
// Decide depends on its arguments only. A Budget bounds the retries to a share of
// the first attempts, in total and for each backend server that receives them.
//
// Usage:
//
//	b := retrier.NewBudget(retrier.Options{})
//	b.Deposit("s1")
//	d := retrier.Decide(retrier.Attempt{Verdict: v, Idempotent: true}, rand.Float64())
//	if d.Retry && b.Withdraw("s2") {
//	}
package retrier

import (
	"sync"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
)

const (
	// DefaultShare is the default ratio of retries to first attempts.
	DefaultShare = 0.2
	// DefaultReserve is the default maximum number of retries that a budget
	// accumulates. It lets a caller with little traffic survive the failure of a
	// backend server.
	DefaultReserve = 10
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
	// baseDelay is the upper bound of the first random delay.
	baseDelay = 5 * time.Millisecond
	// minRemaining is the minimum time to the deadline that another attempt
	// needs.
	minRemaining = 20 * time.Millisecond
)

// Attempt describes a failed attempt.
type Attempt struct {
	Verdict verdict.Verdict
	// Idempotent is true if the entry allows the call to be repeated.
	Idempotent bool
	// Claimed is true if a claim protects the call against a second run.
	Claimed bool
	// Unsent is true if no byte of the request was written.
	Unsent bool
	// Number counts the attempts so far, starting at 1.
	Number int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// Decision is whether to send the call again, and after which delay.
type Decision struct {
	Retry bool
	Delay time.Duration
}

// Decide returns the decision for a failed attempt. The delay is random up to a
// bound that doubles with each attempt; jitter is a random number in [0, 1).
func Decide(a Attempt, jitter float64) Decision {
	if !Allowed(a) || a.Number >= maxAttempts {
		return Decision{}
	}
	delay := time.Duration(jitter * float64(baseDelay<<max(0, a.Number-1)))
	if a.Remaining < delay+minRemaining {
		return Decision{}
	}
	return Decision{Retry: true, Delay: delay}
}

// Allowed reports whether a second execution is impossible or harmless. A call
// that is neither idempotent nor claimed is not sent again once a byte of it was
// written.
func Allowed(a Attempt) bool {
	if a.Idempotent {
		return true
	}
	return a.Verdict == verdict.NotRun && (a.Claimed || a.Unsent)
}

// Options configures a Budget.
type Options struct {
	// Share is the number of retries per first attempt; 0 means DefaultShare.
	Share float64
	// Reserve bounds the number of accumulated retries; 0 means DefaultReserve.
	Reserve float64
}

// Budget bounds retries: over any n requests there are at most n*Share+Reserve of
// them. It is safe for concurrent use.
type Budget struct {
	options    Options
	mu         sync.Mutex
	total      float64
	perBackend map[unit.BackendID]float64
}

// NewBudget returns a Budget that holds its full reserve.
func NewBudget(o Options) *Budget {
	if o.Share == 0 {
		o.Share = DefaultShare
	}
	if o.Reserve == 0 {
		o.Reserve = DefaultReserve
	}
	return &Budget{options: o, total: o.Reserve, perBackend: map[unit.BackendID]float64{}}
}

func (b *Budget) balance(id unit.BackendID) float64 {
	if v, ok := b.perBackend[id]; ok {
		return v
	}
	return b.options.Reserve
}

// Deposit adds Share, up to Reserve, to the budget for the first attempt of a request on
// a backend server.
func (b *Budget) Deposit(id unit.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = min(b.total+b.options.Share, b.options.Reserve)
	b.perBackend[id] = min(b.balance(id)+b.options.Share, b.options.Reserve)
}

// Withdraw reports whether the budget allows a retry on a backend server, and if so
// deducts it.
func (b *Budget) Withdraw(id unit.BackendID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total < 1 || b.balance(id) < 1 {
		return false
	}
	b.total--
	b.perBackend[id] = b.balance(id) - 1
	return true
}

// Retain drops the balance of the backend servers for which keep returns false.
func (b *Budget) Retain(keep func(unit.BackendID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.perBackend {
		if !keep(id) {
			delete(b.perBackend, id)
		}
	}
}
