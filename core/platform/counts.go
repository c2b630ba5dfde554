package platform

import (
	"cmp"
	"errors"
	"slices"
	"sync"
)

// Call is a kind of call to the platform.
type Call string

const (
	// CallGet reads an object.
	CallGet Call = "Get"
	// CallList reads all objects of a kind.
	CallList Call = "List"
	// CallHosts reads the host list.
	CallHosts Call = "Hosts"
	// CallPut writes an object.
	CallPut Call = "Put"
	// CallWatch waits for changes.
	CallWatch Call = "Watch"
)

// Outcome is the result of a call.
type Outcome string

const (
	// OutcomeDone means that the call succeeded.
	OutcomeDone Outcome = "Done"
	// OutcomeRefused means a conflict or an object that does not exist.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnavailable means that the platform did not accept the call or that a read
	// got no usable response.
	OutcomeUnavailable Outcome = "Unavailable"
	// OutcomeOpen means that the call was not sent because the circuit breaker is open.
	OutcomeOpen Outcome = "Open"
	// OutcomeBudget means that the call was not sent because the call budget is used up.
	OutcomeBudget Outcome = "Budget"
	// OutcomeUnknown means that a write got no usable response.
	OutcomeUnknown Outcome = "Unknown"
	// OutcomeFailed means any other failure.
	OutcomeFailed Outcome = "Failed"
)

// Count is the number of calls of one kind with one outcome.
type Count struct {
	Call    Call
	Outcome Outcome
	N       uint64
}

// Snapshot is the state of the circuit breaker and the call counts of a Client.
type Snapshot struct {
	Breaker BreakerState
	// Counts is sorted by call and outcome.
	Counts []Count
}

// Monitor exposes the state of a Client. The Client of NewClient implements it.
type Monitor interface {
	// Snapshot returns the current state.
	Snapshot() Snapshot
}

func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case errors.Is(err, ErrBreakerOpen):
		return OutcomeOpen
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
		return OutcomeRefused
	case errors.Is(err, ErrUnavailable):
		return OutcomeUnavailable
	case errors.Is(err, ErrBudget):
		return OutcomeBudget
	case errors.Is(err, ErrOutcomeUnknown):
		return OutcomeUnknown
	default:
		return OutcomeFailed
	}
}

type countKey struct {
	call    Call
	outcome Outcome
}

type counts struct {
	mu sync.Mutex
	n  map[countKey]uint64
}

func (c *counts) add(call Call, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[countKey]uint64{}
	}
	c.n[countKey{call, o}]++
}

// Snapshot returns the state of the circuit breaker and the call counts.
func (c *client) Snapshot() Snapshot {
	s := Snapshot{Breaker: c.breaker.currentState()}
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	for k, n := range c.counts.n {
		s.Counts = append(s.Counts, Count{Call: k.call, Outcome: k.outcome, N: n})
	}
	slices.SortFunc(s.Counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Outcome, b.Outcome))
	})
	return s
}
