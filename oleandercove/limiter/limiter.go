// Package limiter enforces the limits of client accounts and entries over the
// whole fleet.
//
// Each limited account or entry has a coordinator daemon that divides its limit
// into slices by demand:
//
//   - A daemon uses its slice for up to divider.Validity.
//   - Without a valid slice it uses the limit divided by the number of known entry
//     hosts, so that the parts of a partitioned fleet together stay within the
//     limit.
//
// Usage:
//
//	l := limiter.New(limiter.Options{Catalogue: c, Exchange: x, Timer: t})
//	go l.Run(ctx)
//	h := chain.Build(router.Handle, authenticator, l)
package limiter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/divider"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/spreader"
)

const (
	// RenewInterval is the time between two demand reports. It allows for one
	// lost report within divider.Validity.
	RenewInterval = 800 * time.Millisecond
	// idleTimeout is how long the meter of an account or entry is kept without
	// requests.
	idleTimeout = 30 * time.Second
	// burstWindow is the time for which unused requests and tokens accumulate.
	burstWindow = time.Second
	// demandMargin multiplies the reported demand, so that growth between two
	// reports isn't rejected while the limit has free capacity.
	demandMargin = 1.5
	shardCount   = 16
)

// Dimension is a quantity that a limit bounds.
type Dimension uint8

const (
	// Requests counts requests per second.
	Requests Dimension = iota
	// Tokens counts generated tokens per second.
	Tokens
	// Streams counts concurrent requests.
	Streams
	// Dimensions is the number of dimensions.
	Dimensions
)

// Amounts holds one value per dimension; infinity means no limit.
type Amounts [Dimensions]float64

// Demand is what this daemon would use of an account or entry without a limit: requests
// and tokens per second, and concurrent requests.
type Demand struct {
	Key    catalogue.Key
	Wanted Amounts
}

// Slice is the part of a limit that a coordinator granted to this daemon.
type Slice struct {
	Key     catalogue.Key
	Granted Amounts
}

// Exchange gets slices from coordinators.
type Exchange interface {
	// Slices reports demands and returns the granted slices. Keys whose
	// coordinator didn't reply are missing.
	Slices(ctx context.Context, demands []Demand) []Slice
	// FleetSize returns the number of known entry hosts, at least 1.
	FleetSize() int
}

// Options configures a Limiter.
type Options struct {
	Catalogue spreader.Catalogue
	Exchange  Exchange
	Timer     timer.Service
}

// Limiter is the filter that rejects requests above a limit.
type Limiter struct {
	options Options
	shards  [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	meters map[catalogue.Key]*meter
}

// New returns a Limiter without recorded usage.
func New(o Options) *Limiter {
	l := &Limiter{options: o}
	for i := range l.shards {
		l.shards[i].meters = map[catalogue.Key]*meter{}
	}
	return l
}

func (l *Limiter) shard(k catalogue.Key) *shard {
	return &l.shards[xxhash.Sum64String(string(k.Name))%shardCount]
}

// Handle passes the request on, or rejects it as NotRun with AccountLimit if its
// account or entry has used up a limit.
func (l *Limiter) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	account, ok := l.options.Catalogue.Get(catalogue.KindAccount, unit.EntryName(r.Account))
	if !ok {
		return next(ctx, r)
	}
	var acquired []*meter
	defer func() {
		for _, m := range acquired {
			m.release(l.options.Timer.Now())
		}
	}()
	for _, e := range []*catalogue.Entry{account, r.Entry} {
		if !hasLimit(e) {
			continue
		}
		m, err := l.acquire(e, r)
		if err != nil {
			return err
		}
		acquired = append(acquired, m)
	}
	if r.Completion != nil && len(acquired) > 0 {
		count := newTokenCounter(acquired, r.Completion.Emit)
		r.Completion.Emit = count.emit
		defer count.flush()
	}
	return next(ctx, r)
}

func hasLimit(e *catalogue.Entry) bool {
	return e.Limits.RequestsPerSecond > 0 || e.Limits.TokensPerSecond > 0 || e.Limits.ConcurrentStreams > 0
}

// Limit returns the fleet-wide limits of an entry.
func Limit(e *catalogue.Entry) Amounts {
	return Amounts{
		Requests: zeroAsUnlimited(e.Limits.RequestsPerSecond),
		Tokens:   zeroAsUnlimited(e.Limits.TokensPerSecond),
		Streams:  zeroAsUnlimited(float64(e.Limits.ConcurrentStreams)),
	}
}

func zeroAsUnlimited(v float64) float64 {
	if v <= 0 {
		return math.Inf(1)
	}
	return v
}

// acquire counts the request against the limits of an entry, or returns the
// rejection. The caller releases the returned meter when the request ends.
func (l *Limiter) acquire(e *catalogue.Entry, r *request.Request) (*meter, error) {
	now := l.options.Timer.Now()
	m := l.meter(e.Key(), now)
	d, wait, ok := m.acquire(now, l.share(e, m, now))
	if ok {
		return m, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.AccountLimit, "%s %s used its %s of %g for request %s",
		e.Kind, e.Name, d, Limit(e)[d], r.ID).WithRetryAfter(wait)
}

func (l *Limiter) meter(k catalogue.Key, now time.Time) *meter {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.meters[k]
	if m == nil {
		m = newMeter(now)
		s.meters[k] = m
	}
	return m
}

// String returns the name of the dimension for refusals.
func (d Dimension) String() string {
	return [...]string{"requests/s", "tokens/s", "concurrent requests"}[d]
}

// share returns the valid slice, or else the limit divided by the fleet size.
func (l *Limiter) share(e *catalogue.Entry, m *meter, now time.Time) Amounts {
	if slice, ok := m.currentSlice(now); ok {
		return slice
	}
	limit := Limit(e)
	for d := range limit {
		limit[d] /= float64(l.options.Exchange.FleetSize())
	}
	return limit
}

// Run renews the slices until ctx is done.
func (l *Limiter) Run(ctx context.Context) {
	for l.options.Timer.Sleep(ctx, RenewInterval) == nil {
		l.Renew(ctx)
	}
}

// Renew reports the demand once, installs the granted slices and drops idle
// meters.
func (l *Limiter) Renew(ctx context.Context) {
	sent := l.options.Timer.Now()
	demands := l.demands(sent)
	if len(demands) == 0 {
		return
	}
	for _, g := range l.options.Exchange.Slices(ctx, demands) {
		// The slice is valid from before the report was sent, so it expires here
		// no later than at the coordinator.
		l.meter(g.Key, sent).setSlice(g.Granted, sent.Add(divider.Validity))
	}
}

func (l *Limiter) demands(now time.Time) []Demand {
	var out []Demand
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for k, m := range s.meters {
			if m.idle(now) {
				delete(s.meters, k)
				continue
			}
			out = append(out, Demand{Key: k, Wanted: m.collectDemand(now)})
		}
		s.mu.Unlock()
	}
	return out
}
