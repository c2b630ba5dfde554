package storer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the faults that the platform injects. Registrations of hosts are affected only
// by StaleHosts.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Hang accepts calls and never answers them.
	Hang bool
	// SlowMs delays every call, in milliseconds.
	SlowMs int
	// LoseAnswers is the share of writes (0 to 1) whose connection is closed after
	// the write took effect.
	LoseAnswers float64
	// LoseWrites is the share of writes (0 to 1) whose connection is closed before
	// the write takes effect.
	LoseWrites float64
	// StaleHosts ignores new states of hosts, so that the host list becomes stale.
	StaleHosts bool
}

type injector struct {
	mu     sync.Mutex
	faults Faults
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newInjector(o Options) *injector {
	return &injector{writes: newLimiter(o.WritesPerSecond), reads: newLimiter(o.ReadsPerSecond)}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *injector) delay() time.Duration {
	return time.Duration(i.get().SlowMs) * time.Millisecond
}

// withProbability returns true with a probability (0 to 1).
func withProbability(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}

// Calls counts the calls that the platform received, by kind, and those rejected by the
// rate limit.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Hosts   uint64
	Limited uint64
}

type callCounter struct{ reads, writes, watches, hosts, limited atomic.Uint64 }

func (c *callCounter) snapshot() Calls {
	return Calls{
		Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load(),
		Hosts: c.hosts.Load(), Limited: c.limited.Load(),
	}
}
