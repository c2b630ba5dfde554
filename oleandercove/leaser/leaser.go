// Package leaser divides the work of controllers into shards and holds leases
// on them.
//
// A platform object of kind Lease holds the lease of several shards, so that one write
// renews all of them:
//
//   - A lease is taken and renewed by conditional update.
//   - Its fencing number is the version of the object after the write that takes the lease,
//     behind the era of the store, so it only grows.
//   - The holder counts the term on its own monotonic clock, from before the renewal was
//     sent.
//   - Another daemon takes the lease once it is released, or once its version has not changed
//     for the full term on that daemon's clock. Clocks of different hosts are never
//     compared.
//   - It takes the lease of a process that is known to have stopped without waiting for the
//     term.
//   - The store may come back from a copy, in a new era, and have lost the record of the holder.
//     A holder of an earlier era holds nothing once it knows of the new one, and each daemon waits
//     for a term from when it first knew of that before it takes a lease. No version is the
//     condition of a write in another era.
//
// Load pattern: the platform is unavailable for longer than a term while a rolling restart
// stops the holder and the daemons that watch its lease. The holder can't release the lease,
// and each new watcher would wait for a full term after the outage, while engines are lost
// and not replaced.
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
	// DefaultTerm is the time for which a renewal extends a lease.
	DefaultTerm = 6 * time.Second
	// DefaultOrderLimit is the maximum duration of an order. A new holder waits that long,
	// because the old holder may have sent an order just before its lease expired.
	DefaultOrderLimit = 2 * time.Second
	// DefaultMaxHeld bounds the objects that one daemon tries to hold.
	DefaultMaxHeld = 2
	// stepsPerTerm is how often a lease is renewed or read in one term; two renewals in a
	// row may fail before the lease expires.
	stepsPerTerm = 3
	// watchersPerObject is how many daemons watch one object, so that the number of calls
	// does not depend on the number of daemons.
	watchersPerObject = 3
	// DefaultHostsInterval is the maximum time between two reads of the host list. It suits
	// a list that each daemon reads by a call of its own: the number of calls grows with
	// the number of daemons, while a change of the list matters only when all daemons that
	// watch a lease are unavailable.
	DefaultHostsInterval = 15 * time.Second
	// releaseTimeout bounds the release of all leases in a graceful shutdown.
	releaseTimeout = 2 * time.Second
	// driftDivisor is the inverse of the allowed difference in speed between the clocks of
	// two hosts. One percent is far above the 500 ppm that time synchronisation corrects at
	// most.
	driftDivisor = 100
)

// ErrNotHeld is returned by Check when this daemon may not send orders for a shard now.
var ErrNotHeld = errors.New("lease is not held")

// Shard is the number of a part of the controllers' work.
type Shard int

// Grant allows orders for one shard until a time on this daemon's clock.
type Grant struct {
	Shard Shard
	Fence unit.Fence
	Until time.Time
}

// Leases checks whether this daemon may send orders.
type Leases interface {
	// ShardOf returns the shard of a key.
	ShardOf(key string) Shard
	// Check returns the grant for a shard, or ErrNotHeld. Callers call it directly before
	// they send each order.
	Check(s Shard) (Grant, error)
}

// Options configures a Leaser; zero numbers and times mean the defaults.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Log      *log.Logger
	Self     unit.HostID
	// Hosts returns the live entry hosts; the list may be out of date. Until the first
	// list is read no lease is watched, because a daemon whose list contains only itself
	// would watch every lease.
	Hosts func(ctx context.Context) ([]unit.HostID, error)
	// Process identifies this process in the leases that it holds; empty means a random id.
	Process string
	// HasStopped reports whether a process of a host is known to have stopped sending orders
	// for good, apart from those in flight. nil means that this is never known.
	HasStopped func(host unit.HostID, process string) bool
	// HostsInterval is the maximum time between two calls of Hosts.
	HostsInterval   time.Duration
	Shards          int
	ShardsPerObject int
	Term            time.Duration
	OrderLimit      time.Duration
	MaxHeld         int
	// Clock stamps the leases; nil means a new clock on Timer.
	Clock *clock.Clock
	// Era returns the newest era of the store that other parts of the daemon know; nil means 0. A
	// lease of an earlier one is no longer held.
	Era func() unit.Era
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
	if o.Process == "" {
		o.Process = uuid.NewString()
	}
	if o.Era == nil {
		o.Era = func() unit.Era { return 0 }
	}
	if o.HasStopped == nil {
		o.HasStopped = func(unit.HostID, string) bool { return false }
	}
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Leaser is the default implementation of Leases.
type Leaser struct {
	options Options
	// holder identifies this process; a restarted daemon must wait until the lease of its
	// previous process expires.
	holder string
	// liveHosts is empty until the first list of hosts is read.
	liveHosts []unit.HostID
	// hostsReadAt is when the hosts were last read; zero means never. The delay until the
	// next read grows, because the first lists are short while the fleet starts, and a short
	// list makes every daemon watch every lease.
	hostsReadAt time.Time
	hostsDelay  time.Duration

	mu     sync.RWMutex
	leases []*lease
	era    eraView
}

// New returns a Leaser that holds nothing.
func New(o Options) *Leaser {
	o.setDefaults()
	l := &Leaser{options: o, holder: string(o.Self) + holderSeparator + o.Process}
	for i := range (o.Shards + o.ShardsPerObject - 1) / o.ShardsPerObject {
		l.leases = append(l.leases, &lease{index: i})
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
	c := l.leases[int(s)/l.options.ShardsPerObject]
	now := l.options.Timer.Now()
	if !c.held || !now.Before(c.expiry) || now.Before(c.ordersFrom) || !l.isCurrent(c) {
		return Grant{}, ErrNotHeld
	}
	return Grant{Shard: s, Fence: c.fence, Until: c.expiry}, nil
}

// stepInterval returns the time between two calls of Step.
func (l *Leaser) stepInterval() time.Duration { return l.options.Term / stepsPerTerm }

// Run takes and renews leases until ctx is done, then releases them within
// releaseTimeout.
func (l *Leaser) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.Step(ctx)
		_ = l.options.Timer.Sleep(ctx, l.stepInterval())
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	l.Release(ctx)
}

// Step renews the leases that this daemon holds and takes released or expired ones.
func (l *Leaser) Step(ctx context.Context) {
	l.observeEra(0)
	l.readHosts(ctx)
	held := l.renewAll(ctx)
	if len(l.liveHosts) == 0 {
		return
	}
	limit := max(l.options.MaxHeld, (len(l.leases)+len(l.liveHosts)-1)/len(l.liveHosts))
	for _, c := range l.leases {
		rank := Rank(l.liveHosts, objectName(c.index), l.options.Self)
		if l.isHeld(c) || rank >= watchersPerObject {
			continue
		}
		if held < limit && l.watchLease(ctx, c, rank) {
			held++
		}
	}
}

// readHosts updates the list of live hosts if the delay since the last read has passed.
func (l *Leaser) readHosts(ctx context.Context) {
	now := l.options.Timer.Now()
	if !l.hostsReadAt.IsZero() && now.Sub(l.hostsReadAt) < l.hostsDelay {
		return
	}
	if hosts, err := l.options.Hosts(ctx); err == nil {
		l.liveHosts, l.hostsReadAt = withSelf(hosts, l.options.Self), now
		l.hostsDelay = min(l.options.HostsInterval, max(l.stepInterval(), 2*l.hostsDelay))
	}
}

func (l *Leaser) isHeld(c *lease) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return c.held
}

// renewAll renews the held leases and returns how many are still held.
func (l *Leaser) renewAll(ctx context.Context) int {
	n := 0
	for _, c := range l.leases {
		if l.isHeld(c) && l.renewLease(ctx, c) {
			n++
		}
	}
	return n
}

// Release releases all held leases. The caller must have stopped its controllers before,
// because the next holder may send orders at once.
func (l *Leaser) Release(ctx context.Context) {
	for _, c := range l.leases {
		l.mu.Lock()
		held := c.held && l.options.Timer.Now().Before(c.expiry) && l.isCurrent(c)
		c.held = false
		l.mu.Unlock()
		if held {
			_, _ = l.writeLease(ctx, c, record{Holder: l.holder, Fence: c.fence, Released: true})
		}
	}
}

// State is the state of one lease in the dump of a daemon.
type State struct {
	Object  string
	Held    bool
	Fence   unit.Fence
	Version unit.Version
	Until   time.Time
}

// States returns this daemon's view of the states of all leases.
func (l *Leaser) States() []State {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]State, 0, len(l.leases))
	for _, c := range l.leases {
		out = append(out, State{Object: objectName(c.index), Held: c.held, Fence: c.fence, Version: c.version, Until: c.expiry})
	}
	return out
}
