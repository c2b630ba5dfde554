// Package budgeter limits the retries of the whole fleet, for each service.
//
// The retry budget over a sliding window is a share of the requests for the service
// plus a reserve. A daemon may retry if one of these holds:
//
//   - its own retries are within a guaranteed share of its part of the budget;
//   - the retries of the fleet, as far as peers have reported them, leave part of the
//     budget unused, and the own retries that peers may not know of yet are few.
//
// Load pattern: when an engine at which many chains begin is lost, the daemons
// that hold its streams resume some dozen at once, and the others none.
//
// Usage:
//
//	b := budgeter.New(budgeter.Options{Share: 0.2, Reserve: 200, Hosts: live, Timer: t})
//	b.First("assistant")
//	if b.Again("assistant") {
//	}
package budgeter

import (
	"sync"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

const (
	// Window is the time over which the budget holds.
	Window = 10 * time.Second
	// slots is the number of separately counted parts of the window. A counter keeps
	// one slot more, so that its sum never covers less than the window.
	slots = 20
	// guaranteedShare is the share of its part of the budget that a daemon may always
	// use. spareShare is the share of the budget up to which daemons use what others
	// left over. spareBurstShare is the share of the budget that all daemons together
	// may use before they have exchanged their usage. The three add up to less than 1,
	// which leaves a margin for late reports.
	guaranteedShare = 0.3
	spareShare      = 0.45
	spareBurstShare = 0.2
	// minRetries is the number of retries that every daemon may use in a window.
	minRetries = 2
	// peerUsageExpiry is how long the reported usage of a peer counts.
	peerUsageExpiry = 3 * time.Second
)

// Use is the number of requests and retries for a service within the window.
type Use struct {
	Service routing.ServiceName
	// First counts the requests, Again their retries.
	First, Again int
	// Recent counts the retries that peers may not know of yet.
	Recent int
}

// counter counts requests and retries by slot of the window.
type counter struct {
	requests, retries [slots + 1]int
	// slot is the number of the newest slot, counted from the Unix epoch.
	slot int64
}

// advance makes slot the newest one and clears the slots that the window has left.
func (c *counter) advance(slot int64) {
	for n := int64(0); c.slot < slot && n <= slots; n++ {
		c.slot++
		c.requests[c.slot%(slots+1)], c.retries[c.slot%(slots+1)] = 0, 0
	}
	c.slot = max(c.slot, slot)
}

func (c *counter) usage(s routing.ServiceName) Use {
	u := Use{Service: s}
	for i := range c.requests {
		u.First += c.requests[i]
		u.Again += c.retries[i]
	}
	u.Recent = c.retries[c.slot%(slots+1)]
	if c.slot > 0 {
		u.Recent += c.retries[(c.slot-1)%(slots+1)]
	}
	return u
}

// Options configures a Budgeter.
type Options struct {
	// Share and Reserve define the budget of the fleet: retries for each request, and
	// a fixed number of retries in a window.
	Share, Reserve float64
	// Hosts returns the number of live daemons.
	Hosts func() int
	Timer timer.Service
}

// peerUsage is the last reported usage of a peer.
type peerUsage struct {
	receivedAt time.Time
	uses       []Use
}

// Budgeter decides whether a request may be retried. It is safe for concurrent use.
type Budgeter struct {
	options Options
	mu      sync.Mutex
	own     map[routing.ServiceName]*counter
	peers   map[unit.HostID]peerUsage
}

// New returns a Budgeter without counted requests.
func New(o Options) *Budgeter {
	return &Budgeter{options: o, own: map[routing.ServiceName]*counter{}, peers: map[unit.HostID]peerUsage{}}
}

// counterOf returns the counter of a service, advanced to the current time.
func (b *Budgeter) counterOf(s routing.ServiceName) *counter {
	c := b.own[s]
	if c == nil {
		c = &counter{}
		b.own[s] = c
	}
	c.advance(b.options.Timer.Now().UnixNano() / int64(Window/slots))
	return c
}

// First counts a request.
func (b *Budgeter) First(s routing.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counterOf(s)
	c.requests[c.slot%(slots+1)]++
}

// Again takes one retry from the budget and reports whether there was one left.
func (b *Budgeter) Again(s routing.ServiceName) bool {
	hosts := b.options.Hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counterOf(s)
	if !Allowed(b.options, hosts, c.usage(s), b.fleetUsage(s)) {
		return false
	}
	c.retries[c.slot%(slots+1)]++
	return true
}

// fleetUsage returns the usage of this daemon and of all peers with a recent report.
func (b *Budgeter) fleetUsage(s routing.ServiceName) Use {
	sum := b.own[s].usage(s)
	now := b.options.Timer.Now()
	for host, t := range b.peers {
		if now.Sub(t.receivedAt) > peerUsageExpiry {
			delete(b.peers, host)
			continue
		}
		for _, u := range t.uses {
			if u.Service == s {
				sum.First += u.First
				sum.Again += u.Again
			}
		}
	}
	return sum
}

// Allowed reports whether one more retry fits the budget, given the number of live
// daemons and the usage of this daemon and of the fleet.
func Allowed(o Options, hosts int, own, fleet Use) bool {
	n := float64(max(1, hosts))
	guaranteed := max(minRetries, guaranteedShare*(o.Reserve/n+o.Share*float64(own.First)))
	if float64(own.Again+1) <= guaranteed {
		return true
	}
	bound := o.Reserve + o.Share*float64(fleet.First)
	return float64(fleet.Again+1) <= spareShare*bound && float64(own.Recent+1) <= spareBurstShare*bound/n
}

// Own returns the usage of this daemon for all services.
func (b *Budgeter) Own() []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Use, 0, len(b.own))
	for s := range b.own {
		out = append(out, b.counterOf(s).usage(s))
	}
	return out
}

// Sum returns the usage of this daemon together with that of the matching peers.
func (b *Budgeter) Sum(match func(unit.HostID) bool) []Use {
	out := b.Own()
	b.mu.Lock()
	defer b.mu.Unlock()
	for host, t := range b.peers {
		if match(host) {
			for _, u := range t.uses {
				out = addUsage(out, u)
			}
		}
	}
	return out
}

// addUsage adds u to the entry of its service, or appends it.
func addUsage(list []Use, u Use) []Use {
	for i := range list {
		if list[i].Service == u.Service {
			list[i].First += u.First
			list[i].Again += u.Again
			return list
		}
	}
	return append(list, u)
}

// Tell replaces the usage of a peer: another daemon, or another data centre as a whole.
func (b *Budgeter) Tell(host unit.HostID, uses []Use, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[host] = peerUsage{receivedAt: now, uses: uses}
}
