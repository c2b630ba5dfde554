// Package leaser divides the work of controllers into shards and holds leases
// on them.
//
// A platform object of kind Lease holds the lease of several shards, so that
// one write renews all of them. A lease is taken and renewed by conditional
// update. Its fencing number is the version of the object that the taking
// write creates, so it only grows. The holder counts its expiry on its own
// monotonic clock from before the renewal was sent. Another daemon takes the
// lease after it has seen the same version for the whole term on its own
// clock; no clocks are compared between hosts.
//
// Usage:
//
//	l := leaser.New(leaser.Options{Platform: p, Timer: t, Log: g, Self: "entry-1", Hosts: live})
//	go l.Run(ctx)
//	g, err := l.Check(l.ShardOf("engines"))
//	if err == nil {
//		send(order, g.Fence)
//	}
package leaser

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"oleandercove.example/core/clock"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

const (
	// DefaultShards is the number of shards. It is the same on all daemons,
	// because it decides which lease covers a key.
	DefaultShards = 16
	// DefaultShardsPerObject is the number of shards that one write renews.
	DefaultShardsPerObject = 4
	// DefaultTerm is the time for which a renewal allows orders.
	DefaultTerm = 6 * time.Second
	// DefaultOrderLimit is the longest time of an order: a new holder waits for
	// it, because the old holder may have sent an order just before its expiry.
	DefaultOrderLimit = 2 * time.Second
	// DefaultMaxHeld bounds the objects that one daemon tries to hold.
	DefaultMaxHeld = 2
	// stepsPerTerm is how often a lease is renewed or watched in one term; two
	// renewals in a row may fail before the lease ends.
	stepsPerTerm = 3
	// candidates is how many daemons watch one object. The number of calls
	// therefore does not depend on the number of daemons.
	candidates = 3
	// DefaultHostsInterval is the time between two reads of the host list where that
	// is a call whose number grows with the number of daemons. A change of the list
	// matters only when all daemons that watch a lease have gone.
	DefaultHostsInterval = 15 * time.Second
	// releaseLimit bounds the release of all leases in a graceful shutdown.
	releaseLimit = 2 * time.Second
	// driftDivisor is the inverse of the allowed difference in speed between
	// the clocks of two hosts. One percent is far above the 500 ppm that time
	// synchronisation corrects at most.
	driftDivisor = 100
)

// ErrNotHeld means that this daemon may not give orders for a shard now.
var ErrNotHeld = errors.New("lease is not held")

// Shard is a part of the work of controllers.
type Shard int

// Grant allows orders for one shard until a point on the own clock.
type Grant struct {
	Shard Shard
	Fence unit.Fence
	Until time.Time
}

// Leases tells whether this daemon may give orders.
type Leases interface {
	// ShardOf returns the shard of a key.
	ShardOf(key string) Shard
	// Check returns the grant for a shard, or ErrNotHeld. It is called directly
	// before each order.
	Check(s Shard) (Grant, error)
}

// Options configures a Leaser; zero numbers and times mean the defaults.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Log      *log.Logger
	Self     unit.HostID
	// Hosts lists the live entry hosts; it may lag. Until it has returned a list, no
	// lease is watched: a daemon that knows only itself would watch every lease.
	Hosts func(ctx context.Context) ([]unit.HostID, error)
	// HostsInterval is the longest time between two calls of Hosts.
	HostsInterval   time.Duration
	Shards          int
	ShardsPerObject int
	Term            time.Duration
	OrderLimit      time.Duration
	MaxHeld         int
	// Clock stamps the leases; nil means a clock of its own.
	Clock *clock.Clock
}

func (o *Options) setDefaults() {
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.ShardsPerObject, DefaultShardsPerObject)
	setDefault(&o.Term, DefaultTerm)
	setDefault(&o.OrderLimit, DefaultOrderLimit)
	setDefault(&o.MaxHeld, DefaultMaxHeld)
	setDefault(&o.HostsInterval, DefaultHostsInterval)
	if o.Timer == nil {
		o.Timer = timer.NewReal()
	}
	if o.Clock == nil {
		o.Clock = clock.New(o.Timer)
	}
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Leaser is the default Leases.
type Leaser struct {
	options Options
	// holder identifies this run of the process; a restarted daemon must wait
	// for the lease of its earlier run.
	holder string
	// members is empty until it was read.
	members []unit.HostID
	// membersAt is when the members were read; zero means never. The wait for
	// the next time grows, because the first lists of a starting site are short
	// and make every daemon watch every lease.
	membersAt   time.Time
	membersWait time.Duration

	mu      sync.RWMutex
	objects []*lease
}

// New returns a Leaser that holds nothing.
func New(o Options) *Leaser {
	o.setDefaults()
	l := &Leaser{options: o, holder: string(o.Self) + "/" + uuid.NewString()}
	for i := range (o.Shards + o.ShardsPerObject - 1) / o.ShardsPerObject {
		l.objects = append(l.objects, &lease{index: i})
	}
	return l
}

// ShardOf returns the shard of a key.
func (l *Leaser) ShardOf(key string) Shard {
	return Shard(xxhash.Sum64String(key) % uint64(l.options.Shards))
}

// Check returns the grant for a shard, or ErrNotHeld.
func (l *Leaser) Check(s Shard) (Grant, error) {
	if s < 0 || int(s) >= l.options.Shards {
		return Grant{}, ErrNotHeld
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	c := l.objects[int(s)/l.options.ShardsPerObject]
	now := l.options.Timer.Now()
	if !c.held || !now.Before(c.until) || now.Before(c.ready) {
		return Grant{}, ErrNotHeld
	}
	return Grant{Shard: s, Fence: c.fence, Until: c.until}, nil
}

// interval is the time between two steps.
func (l *Leaser) interval() time.Duration { return l.options.Term / stepsPerTerm }

// Run takes and renews leases until ctx is done, then releases them.
func (l *Leaser) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.Step(ctx)
		_ = l.options.Timer.Sleep(ctx, l.interval())
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
	defer cancel()
	l.Release(ctx)
}

// Step renews what this daemon holds and takes what has been left.
func (l *Leaser) Step(ctx context.Context) {
	l.readHosts(ctx)
	held := l.renewAll(ctx)
	if len(l.members) == 0 {
		return
	}
	limit := max(l.options.MaxHeld, (len(l.objects)+len(l.members)-1)/len(l.members))
	for _, c := range l.objects {
		rank := Rank(l.members, objectName(c.index), l.options.Self)
		if l.isHeld(c) || rank >= candidates {
			continue
		}
		if held < limit && l.observe(ctx, c, rank) {
			held++
		}
	}
}

func (l *Leaser) readHosts(ctx context.Context) {
	now := l.options.Timer.Now()
	if !l.membersAt.IsZero() && now.Sub(l.membersAt) < l.membersWait {
		return
	}
	if hosts, err := l.options.Hosts(ctx); err == nil {
		l.members, l.membersAt = withSelf(hosts, l.options.Self), now
		l.membersWait = min(l.options.HostsInterval, max(l.interval(), 2*l.membersWait))
	}
}

func (l *Leaser) isHeld(c *lease) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return c.held
}

// renewAll renews held leases and returns how many are left.
func (l *Leaser) renewAll(ctx context.Context) int {
	n := 0
	for _, c := range l.objects {
		if l.isHeld(c) && l.renew(ctx, c) {
			n++
		}
	}
	return n
}

// Release gives up all leases. The caller has ended its controllers, so that
// the next holder may order at once.
func (l *Leaser) Release(ctx context.Context) {
	for _, c := range l.objects {
		l.mu.Lock()
		held := c.held && l.options.Timer.Now().Before(c.until)
		c.held = false
		l.mu.Unlock()
		if held {
			_, _ = l.write(ctx, c, record{Holder: l.holder, Fence: c.fence, Released: true})
		}
	}
}

// State is the view of one lease for the dump of a daemon.
type State struct {
	Object  string
	Held    bool
	Fence   unit.Fence
	Version unit.Version
	Until   time.Time
}

// States returns the leases that this daemon knows.
func (l *Leaser) States() []State {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]State, 0, len(l.objects))
	for _, c := range l.objects {
		out = append(out, State{Object: objectName(c.index), Held: c.held, Fence: c.fence, Version: c.version, Until: c.until})
	}
	return out
}
