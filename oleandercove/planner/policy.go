package planner

import (
	"fmt"
	"sync"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// PolicyName is the name of a policy.
type PolicyName string

const (
	// LeastDelay prefers the chain with the least expected time per token.
	LeastDelay PolicyName = "least-delay"
	// RoundRobin prefers the chain whose engines were chosen least often.
	RoundRobin PolicyName = "round-robin"
	// LeastConnections prefers the chain whose engines hold the fewest streams.
	LeastConnections PolicyName = "least-connections"
)

// UnmarshalText reads the name of a policy; the empty name means the default. It
// returns an error for an unknown name.
func (n *PolicyName) UnmarshalText(text []byte) error {
	switch v := PolicyName(text); v {
	case "", LeastDelay, RoundRobin, LeastConnections:
		*n = v
		return nil
	default:
		return fmt.Errorf("policy %q is not %s", v, n.Expected())
	}
}

// Expected lists the valid names for error messages.
func (PolicyName) Expected() string {
	return string(LeastDelay + ", " + RoundRobin + " or " + LeastConnections)
}

// Policy rates engines for a plan. Its methods are safe for concurrent use.
type Policy interface {
	// Cost returns the cost of an engine in a chain; Plan minimises the sum.
	Cost(e *Engine) time.Duration
	// RecordChain records the chain that a plan returned.
	RecordChain(chain []engine.Stage)
}

// NewPolicy returns the policy with the given name; the empty name means
// LeastDelay.
func NewPolicy(n PolicyName) Policy {
	switch n {
	case RoundRobin:
		return &roundRobin{counts: map[unit.BackendID]int{}}
	case LeastConnections:
		return leastConnections{}
	default:
		return leastDelay{}
	}
}

type leastDelay struct{}

// Cost estimates the time per token on the engine with one more stream.
func (leastDelay) Cost(e *Engine) time.Duration {
	batches := max(1, float64(e.InFlight+1)/float64(max(1, e.MaxBatch)))
	return time.Duration(float64(e.Iteration)*batches) + e.LinkTime
}

func (leastDelay) RecordChain([]engine.Stage) {}

// perLayer multiplies a count by the number of layers of the engine, so that a
// chain of few long stages doesn't count as less loaded than one of many short
// ones.
func perLayer(e *Engine, count int) time.Duration {
	return time.Duration(count) * time.Duration(e.Stage.To-e.Stage.From)
}

type leastConnections struct{}

func (leastConnections) Cost(e *Engine) time.Duration { return perLayer(e, e.InFlight+1) }

func (leastConnections) RecordChain([]engine.Stage) {}

type roundRobin struct {
	mu     sync.Mutex
	counts map[unit.BackendID]int
}

func (p *roundRobin) Cost(e *Engine) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, known := p.counts[e.Stage.Backend]
	if !known {
		// A new engine starts at the highest count instead of getting all streams
		// until it has caught up.
		for _, c := range p.counts {
			n = max(n, c)
		}
		p.counts[e.Stage.Backend] = n
	}
	return perLayer(e, n+1)
}

func (p *roundRobin) RecordChain(chain []engine.Stage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range chain {
		p.counts[s.Backend]++
	}
}
