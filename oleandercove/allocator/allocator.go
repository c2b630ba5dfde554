// Package allocator divides the limits of entries between daemons.
//
// Each limited entry has a home daemon, chosen by rendezvous hashing over the
// live daemons. Daemons report their demand to the home and get slices whose
// sum stays within the limit. A home that sees only a part of the known entry
// hosts divides that part of the limit, so that the two sides of a partition
// together stay within it. A new home waits until the slices of its predecessor
// have expired.
//
// Usage:
//
//	a := allocator.New(allocator.Options{Members: m, Connector: c, Catalogue: s, Timer: t})
//	l := limiter.New(limiter.Options{Catalogue: s, Exchange: a, Timer: t})
package allocator

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/divider"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/limiter"
	"oleandercove.example/oleandercove/spreader"
	"oleandercove.example/wire/peer"
)

const (
	// requestLimit bounds a report; a late answer is worth nothing, because the
	// slice counts from before the report was sent.
	requestLimit = 500 * time.Millisecond
	// forgetLimit drops the ledgers of entries without reports.
	forgetLimit = time.Minute
)

// Links carries reports to home daemons.
type Links interface {
	// Request sends a message and waits for the reply.
	Request(ctx context.Context, to unit.HostID, kind uint32, m, reply proto.Message) error
	// WantExtra replaces the set of peers to keep links with for reports.
	WantExtra(peers []connector.Peer)
}

// Fleet tells which daemons there are.
type Fleet interface {
	gossiper.Members
	// Known returns the number of known entry hosts, live or not.
	Known() int
}

// Options configures an Allocator.
type Options struct {
	Members   Fleet
	Links     Links
	Catalogue spreader.Catalogue
	Timer     timer.Service
}

// Allocator reports to home daemons and is the home of some entries itself.
type Allocator struct {
	options Options

	mu    sync.Mutex
	homes map[catalogue.Key]*account
}

// account is the state of a home for one entry.
type account struct {
	since   time.Time
	used    time.Time
	ledgers [limiter.Dimensions]*divider.Ledger
}

// New returns an Allocator.
func New(o Options) *Allocator {
	return &Allocator{options: o, homes: map[catalogue.Key]*account{}}
}

// FleetSize returns the number of known entry hosts, at least 1.
func (a *Allocator) FleetSize() int { return max(1, a.options.Members.Known()) }

// Home returns the home daemon of an entry.
func (a *Allocator) Home(k catalogue.Key) unit.HostID {
	hosts := gossiper.Hosts(a.options.Members.Live(), "")
	top := chooser.Top("limit/"+k.ObjectName(), hosts, 1)
	if len(top) == 0 {
		return a.options.Members.Self().Host
	}
	return top[0]
}

// batch holds the demands for one home.
type batch struct {
	home    unit.HostID
	demands []limiter.Demand
}

// Slices reports demands to their homes and returns the slices that they
// granted.
func (a *Allocator) Slices(ctx context.Context, demands []limiter.Demand) []limiter.Slice {
	batches := a.batches(demands)
	a.link(batches)
	results := make([][]limiter.Slice, len(batches))
	var wg conc.WaitGroup
	for i, b := range batches {
		wg.Go(func() { results[i] = a.report(ctx, b) })
	}
	wg.Wait()
	var out []limiter.Slice
	for _, r := range results {
		out = append(out, r...)
	}
	return out
}

func (a *Allocator) batches(demands []limiter.Demand) []batch {
	index := map[unit.HostID]int{}
	var out []batch
	for _, d := range demands {
		home := a.Home(d.Key)
		i, ok := index[home]
		if !ok {
			i = len(out)
			index[home] = i
			out = append(out, batch{home: home})
		}
		out[i].demands = append(out[i].demands, d)
	}
	return out
}

// link keeps links with the homes in use.
func (a *Allocator) link(batches []batch) {
	if a.options.Links == nil {
		return
	}
	var peers []connector.Peer
	self := a.options.Members.Self().Host
	for _, m := range a.options.Members.Live() {
		for _, b := range batches {
			if b.home == m.Host && m.Host != self {
				peers = append(peers, connector.Peer{Host: m.Host, Address: m.Address})
			}
		}
	}
	a.options.Links.WantExtra(peers)
}

func (a *Allocator) report(ctx context.Context, b batch) []limiter.Slice {
	self := a.options.Members.Self().Host
	if b.home == self {
		return a.Grant(self, b.demands)
	}
	if a.options.Links == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	var reply peer.LimitSlices
	if err := a.options.Links.Request(ctx, b.home, peer.TypeLimits, encode(b.demands), &reply); err != nil {
		return nil
	}
	return decodeSlices(&reply)
}

// Serve answers the reports of peers.
func (a *Allocator) Serve(c connector.Connector) {
	connector.Serve(c, peer.TypeLimits, func(_ context.Context, from unit.HostID, m *peer.LimitReport) (proto.Message, error) {
		return encodeSlices(a.Grant(from, decode(m))), nil
	})
}

// Grant returns the slices of a daemon for the entries of which this daemon is
// the home.
func (a *Allocator) Grant(from unit.HostID, demands []limiter.Demand) []limiter.Slice {
	now := a.options.Timer.Now()
	part := a.part()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	var out []limiter.Slice
	for _, d := range demands {
		e, ok := a.options.Catalogue.Get(d.Key.Kind, d.Key.Name)
		if !ok || a.Home(d.Key) != a.options.Members.Self().Host {
			continue
		}
		if granted, ok := a.account(d.Key, now).grant(now, from, part, limiter.Limit(e), d.Wanted); ok {
			out = append(out, limiter.Slice{Key: d.Key, Granted: granted})
		}
	}
	return out
}

// part returns the share of the known entry hosts that are live here.
func (a *Allocator) part() float64 {
	return min(1, float64(len(a.options.Members.Live()))/float64(a.FleetSize()))
}

func (a *Allocator) account(k catalogue.Key, now time.Time) *account {
	h := a.homes[k]
	if h == nil {
		h = &account{since: now}
		for i := range h.ledgers {
			h.ledgers[i] = divider.NewLedger()
		}
		a.homes[k] = h
	}
	h.used = now
	return h
}

// forget drops accounts without reports, so that a later return as home waits
// again for the slices of the home in between.
func (a *Allocator) forget(now time.Time) {
	for k, h := range a.homes {
		if now.Sub(h.used) > forgetLimit || a.Home(k) != a.options.Members.Self().Host {
			delete(a.homes, k)
		}
	}
}

// grant returns false while slices of a former home may be valid.
func (h *account) grant(now time.Time, from unit.HostID, part float64, limit, wanted limiter.Amounts) (limiter.Amounts, bool) {
	var out limiter.Amounts
	if now.Sub(h.since) < divider.Validity {
		return out, false
	}
	for i := range out {
		if math.IsInf(limit[i], 1) {
			out[i] = limit[i]
			continue
		}
		out[i] = h.ledgers[i].Grant(now, limit[i]*part, divider.Demand{Host: from, Wanted: wanted[i]})
	}
	return out, true
}
