// Package allocator divides the limits of entries between daemons.
//
// Each limited entry has a coordinator: a daemon that rendezvous hashing selects
// from the live ones. Daemons report their demand to the coordinator and get
// slices of the limit:
//
//   - The sum of the slices stays within the limit.
//   - A coordinator that sees only a fraction of the known entry hosts divides only
//     that fraction of the limit, so that both sides of a partition together stay
//     within the limit.
//   - A new coordinator grants nothing until the slices of its predecessor have
//     expired.
//
// Usage:
//
//	a := allocator.New(allocator.Options{Members: m, Links: c, Catalogue: s, Timer: t})
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
	// reportTimeout bounds a report. A later response is of no use, because the
	// validity of a slice starts before the report is sent.
	reportTimeout = 500 * time.Millisecond
	// ledgerTTL is how long the ledgers of an entry are kept without reports.
	ledgerTTL = time.Minute
)

// Links sends reports to coordinators.
type Links interface {
	// Request sends a message and blocks until the reply arrives or ctx is done.
	Request(ctx context.Context, to unit.HostID, kind uint32, m, reply proto.Message) error
	// SetExtraPeers replaces the set of peers to keep links with for reports.
	SetExtraPeers(peers []connector.Peer)
}

// Fleet lists the daemons.
type Fleet interface {
	gossiper.Members
	// FleetSize returns the number of known entry hosts, live or not.
	FleetSize() int
}

// Options configures an Allocator.
type Options struct {
	Members   Fleet
	Links     Links
	Catalogue spreader.Catalogue
	Timer     timer.Service
}

// Allocator reports demands to coordinators and is the coordinator of some
// entries itself.
type Allocator struct {
	options Options

	mu      sync.Mutex
	entries map[catalogue.Key]*entryState
}

// entryState is the state of one entry at its coordinator.
type entryState struct {
	createdAt  time.Time
	reportedAt time.Time
	ledgers    [limiter.Dimensions]*divider.Ledger
}

// New returns an Allocator.
func New(o Options) *Allocator {
	return &Allocator{options: o, entries: map[catalogue.Key]*entryState{}}
}

// FleetSize returns the number of known entry hosts, at least 1.
func (a *Allocator) FleetSize() int { return max(1, a.options.Members.FleetSize()) }

// Coordinator returns the coordinator of an entry: the same daemon on all daemons with
// the same live members.
func (a *Allocator) Coordinator(k catalogue.Key) unit.HostID {
	hosts := gossiper.Hosts(a.options.Members.Live(), "")
	top := chooser.Top("limit/"+k.ObjectName(), hosts, 1)
	if len(top) == 0 {
		return a.options.Members.Self().Host
	}
	return top[0]
}

// batch holds the demands for one coordinator.
type batch struct {
	coordinator unit.HostID
	demands     []limiter.Demand
}

// Slices reports demands to their coordinators and returns the granted slices. It
// blocks until all coordinators have replied or reportTimeout has passed; slices
// of coordinators that didn't reply are missing.
func (a *Allocator) Slices(ctx context.Context, demands []limiter.Demand) []limiter.Slice {
	batches := a.batches(demands)
	a.linkCoordinators(batches)
	results := make([][]limiter.Slice, len(batches))
	var wg conc.WaitGroup
	for i, b := range batches {
		wg.Go(func() { results[i] = a.requestSlices(ctx, b) })
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
		coordinator := a.Coordinator(d.Key)
		i, ok := index[coordinator]
		if !ok {
			i = len(out)
			index[coordinator] = i
			out = append(out, batch{coordinator: coordinator})
		}
		out[i].demands = append(out[i].demands, d)
	}
	return out
}

// linkCoordinators keeps links with the coordinators in use.
func (a *Allocator) linkCoordinators(batches []batch) {
	if a.options.Links == nil {
		return
	}
	var peers []connector.Peer
	self := a.options.Members.Self().Host
	for _, m := range a.options.Members.Live() {
		for _, b := range batches {
			if b.coordinator == m.Host && m.Host != self {
				peers = append(peers, connector.Peer{Host: m.Host, Address: m.Address})
			}
		}
	}
	a.options.Links.SetExtraPeers(peers)
}

func (a *Allocator) requestSlices(ctx context.Context, b batch) []limiter.Slice {
	self := a.options.Members.Self().Host
	if b.coordinator == self {
		return a.Grant(self, b.demands)
	}
	if a.options.Links == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply peer.LimitSlices
	if err := a.options.Links.Request(ctx, b.coordinator, peer.TypeLimits, encodeDemands(b.demands), &reply); err != nil {
		return nil
	}
	return decodeSlices(&reply)
}

// Serve registers the handler that answers the reports of peers.
func (a *Allocator) Serve(c connector.Connector) {
	connector.Serve(c, peer.TypeLimits, func(_ context.Context, from unit.HostID, m *peer.LimitReport) (proto.Message, error) {
		return encodeSlices(a.Grant(from, decodeDemands(m))), nil
	})
}

// Grant returns the slices of a daemon for the entries that this daemon
// coordinates.
func (a *Allocator) Grant(from unit.HostID, demands []limiter.Demand) []limiter.Slice {
	now := a.options.Timer.Now()
	liveShare := a.liveShare()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireEntries(now)
	var out []limiter.Slice
	for _, d := range demands {
		e, ok := a.options.Catalogue.Get(d.Key.Kind, d.Key.Name)
		if !ok || a.Coordinator(d.Key) != a.options.Members.Self().Host {
			continue
		}
		if granted, ok := a.entryState(d.Key, now).grant(now, from, liveShare, limiter.Limit(e), d.Wanted); ok {
			out = append(out, limiter.Slice{Key: d.Key, Granted: granted})
		}
	}
	return out
}

// liveShare returns the fraction of the known entry hosts that this daemon
// considers live.
func (a *Allocator) liveShare() float64 {
	return min(1, float64(len(a.options.Members.Live()))/float64(a.FleetSize()))
}

func (a *Allocator) entryState(k catalogue.Key, now time.Time) *entryState {
	s := a.entries[k]
	if s == nil {
		s = &entryState{createdAt: now}
		for i := range s.ledgers {
			s.ledgers[i] = divider.NewLedger()
		}
		a.entries[k] = s
	}
	s.reportedAt = now
	return s
}

// expireEntries drops the state of entries without reports and of those that
// another daemon coordinates now. If this daemon becomes their coordinator again,
// it first waits until the slices of the other coordinator have expired.
func (a *Allocator) expireEntries(now time.Time) {
	for k, s := range a.entries {
		if now.Sub(s.reportedAt) > ledgerTTL || a.Coordinator(k) != a.options.Members.Self().Host {
			delete(a.entries, k)
		}
	}
}

// grant returns a daemon's slice of the limit, or false while slices of a former
// coordinator may be valid.
func (s *entryState) grant(now time.Time, from unit.HostID, liveShare float64, limit, wanted limiter.Amounts) (limiter.Amounts, bool) {
	var out limiter.Amounts
	if now.Sub(s.createdAt) < divider.Validity {
		return out, false
	}
	for i := range out {
		if math.IsInf(limit[i], 1) {
			out[i] = limit[i]
			continue
		}
		out[i] = s.ledgers[i].Grant(now, limit[i]*liveShare, divider.Demand{Host: from, Wanted: wanted[i]})
	}
	return out, true
}
