// Package budgeter limits the retries of the entire fleet, for each service.
//
// The retry budget over a sliding window is a share of the requests for the service
// plus a reserve. A daemon may retry if one of these holds:
//
//   - its own retries are within a guaranteed share of its part of the budget;
//   - the retries of the fleet and what other daemons have left of their guaranteed
//     shares, as far as peers have reported them, leave part of the budget unused, and it
//     has made few retries, by its part, that may not have been reported to peers yet.
//
// The part of a daemon is its share of the requests of the fleet. A daemon that has not heard
// from its peers for a whole window has an equal part of the reserve. Daemons whose usage is
// not known count as much as the others on average, so that the fleet keeps its budget while
// beacons are lost.
//
// Load pattern: when an engine at which many chains begin is lost, the daemons
// that hold its streams resume some dozen at once, and the others none. When engines are
// replaced one after the other, all daemons soon use more than their guaranteed shares.
// In a large fleet a few daemons have most of the requests, and so most of the streams of
// any engine.
//
// Usage:
//
//	b := budgeter.New(budgeter.Options{Share: 0.2, Reserve: 200, Hosts: live, Timer: t})
//	b.CountRequest("assistant")
//	if err := b.TakeRetry("assistant"); err != nil {
//		return err
//	}
package budgeter

import (
	"fmt"
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
	// use. reportedShare is the share of the budget that reported retries and unused
	// guaranteed shares may take together. spareBurstShare is the share of the budget that
	// all daemons together may use before they have exchanged their usage. The last two add
	// up to less than 1, which leaves a margin for late reports.
	guaranteedShare = 0.3
	reportedShare   = 0.75
	spareBurstShare = 0.2
	// minRetries is the number of retries that every daemon may use in a window.
	minRetries = 2
	// peerUsageExpiry is how long the reported usage of a peer counts.
	peerUsageExpiry = 3 * time.Second
)

// Usage is the number of requests and retries for a service within the window.
type Usage struct {
	Service routing.ServiceName
	// Requests is the number of first attempts, Retries that of all later ones.
	Requests, Retries int
	// Guaranteed is the number of retries that used the guaranteed share of their daemon.
	Guaranteed int
	// RecentRetries is the number of retries that may not have been reported to peers yet.
	RecentRetries int
}

// counter counts requests and retries by slot of the window.
type counter struct {
	requests, retries [slots + 1]int
	// slot is the number of the newest slot, counted from the Unix epoch.
	slot int64
}

// advance makes slot the newest one and clears the counts that are older than the
// window.
func (c *counter) advance(slot int64) {
	for n := int64(0); c.slot < slot && n <= slots; n++ {
		c.slot++
		c.requests[c.slot%(slots+1)], c.retries[c.slot%(slots+1)] = 0, 0
	}
	c.slot = max(c.slot, slot)
}

// requestsWithin returns the number of requests within the last time d, which is rounded up to
// slots.
func (c *counter) requestsWithin(d time.Duration) int {
	n, count := 0, int64((d+Window/slots-1)/(Window/slots))
	for i := int64(0); i < min(count, slots+1) && i <= c.slot; i++ {
		n += c.requests[(c.slot-i)%(slots+1)]
	}
	return n
}

func (c *counter) usage(s routing.ServiceName) Usage {
	u := Usage{Service: s}
	for i := range c.requests {
		u.Requests += c.requests[i]
		u.Retries += c.retries[i]
	}
	u.RecentRetries = c.retries[c.slot%(slots+1)]
	if c.slot > 0 {
		u.RecentRetries += c.retries[(c.slot-1)%(slots+1)]
	}
	return u
}

// Options configures a Budgeter.
type Options struct {
	// Share and Reserve define the budget of the fleet: retries for each request, and
	// a fixed number of retries in a window.
	Share, Reserve float64
	// Hosts returns the number of daemons that may be live, those included from which nothing
	// was heard lately: they may be cut off.
	Hosts func() int
	Timer timer.Service
}

// peerUsage is the last reported usage of a peer, or the sum of that of some hosts.
type peerUsage struct {
	receivedAt time.Time
	hosts      int
	usage      []Usage
}

// Budgeter decides whether a request may be retried. It is safe for concurrent use.
type Budgeter struct {
	options Options
	// settledAt is when peers have reported their usage for a whole window.
	settledAt time.Time
	mu        sync.Mutex
	own       map[routing.ServiceName]*counter
	peers     map[unit.HostID]peerUsage
}

// New returns a Budgeter without counted requests.
func New(o Options) *Budgeter {
	return &Budgeter{
		options: o, settledAt: o.Timer.Now().Add(Window), own: map[routing.ServiceName]*counter{}, peers: map[unit.HostID]peerUsage{},
	}
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

// CountRequest counts the first attempt of a request.
func (b *Budgeter) CountRequest(s routing.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counterOf(s)
	c.requests[c.slot%(slots+1)]++
}

// ExhaustedError is returned for a retry that does not fit the budget.
type ExhaustedError struct {
	// View is what decided that.
	View View
	// Guaranteed is the number of retries that this daemon may always use, Budget that of
	// the fleet.
	Guaranteed, Budget int
}

// Error states the retries of this daemon and of the fleet in the window.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("retry budget is used up: this daemon made %d retries, %d of them lately, of %d guaranteed; the fleet made %d of %d on %d hosts",
		e.View.Own.Retries, e.View.Own.RecentRetries, e.Guaranteed, e.View.Fleet.Retries, e.Budget, e.View.Hosts)
}

// TakeRetry takes one retry from the budget. It returns an ExhaustedError if there is none
// left.
func (b *Budgeter) TakeRetry(s routing.ServiceName) error {
	hosts := b.options.Hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counterOf(s)
	v := b.view(s, hosts)
	if !Allowed(b.options, v) {
		return &ExhaustedError{View: v, Guaranteed: b.options.guaranteed(v), Budget: int(b.options.budget(v.Fleet))}
	}
	c.retries[c.slot%(slots+1)]++
	return nil
}

// Part returns the part of this daemon in the requests of the fleet for a service, from 0 to 1.
func (b *Budgeter) Part(s routing.ServiceName) float64 {
	hosts := b.options.Hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.options.part(b.view(s, hosts))
}

// View is what a daemon knows when it decides on a retry.
type View struct {
	// Hosts is the number of daemons that may be live.
	Hosts int
	// Own is the usage of this daemon, Fleet that of all daemons, estimated for those that
	// have not reported theirs.
	Own, Fleet Usage
	// Unreported is the number of own requests that are newer than the oldest report of a peer.
	Unreported int
	// Settled is set once peers have reported their usage for a whole window.
	Settled bool
}

// part returns the part of the budget of the fleet that belongs to this daemon, from 0 to 1.
//
// The requests of peers are known some time later than its own ones. When traffic begins, each
// daemon would consider all requests its own, and the parts would add up to many times the
// budget. Own requests therefore count once they are as old as the oldest report of a peer, and
// one request of each daemon counts before that.
func (o Options) part(v View) float64 {
	hosts := max(1, v.Hosts)
	if !v.Settled {
		return o.Reserve / max(1, o.budget(v.Fleet)) / float64(hosts)
	}
	return float64(v.Own.Requests-v.Unreported+1) / float64(v.Fleet.Requests+hosts)
}

// view returns what this daemon knows about the usage of a service.
func (b *Budgeter) view(s routing.ServiceName, hosts int) View {
	v := View{Hosts: hosts, Own: b.counterOf(s).usage(s), Settled: !b.options.Timer.Now().Before(b.settledAt)}
	known := v.Own
	reported, lag := b.addPeers(&known)
	v.Unreported = b.counterOf(s).requestsWithin(lag)
	v.Fleet = known.estimate(reported, hosts)
	v.Own.Guaranteed = min(v.Own.Retries, b.options.guaranteed(v))
	known.Guaranteed += v.Own.Guaranteed
	v.Fleet = known.estimate(reported, hosts)
	return v
}

// estimate returns the usage of all hosts, given the sum of those that have reported theirs.
func (u Usage) estimate(reported, hosts int) Usage {
	if reported >= hosts {
		return u
	}
	u.Requests = u.Requests * hosts / reported
	u.Retries = u.Retries * hosts / reported
	u.Guaranteed = u.Guaranteed * hosts / reported
	return u
}

// addPeers adds the usage of all peers with a recent report. It returns the number of daemons in
// the sum, and the age of the oldest report.
func (b *Budgeter) addPeers(sum *Usage) (hosts int, lag time.Duration) {
	now := b.options.Timer.Now()
	hosts = 1
	for host, p := range b.peers {
		if now.Sub(p.receivedAt) > peerUsageExpiry {
			delete(b.peers, host)
			continue
		}
		hosts += p.hosts
		lag = max(lag, now.Sub(p.receivedAt))
		for _, u := range p.usage {
			if u.Service == sum.Service {
				sum.add(u)
			}
		}
	}
	return hosts, lag
}

// Allowed reports whether one more retry fits the budget.
func Allowed(o Options, v View) bool {
	if v.Own.Retries < o.guaranteed(v) {
		return true
	}
	budget := o.budget(v.Fleet)
	unused := max(0, guaranteedShare*budget-float64(v.Fleet.Guaranteed))
	return float64(v.Fleet.Retries+1)+unused <= reportedShare*budget &&
		float64(v.Own.recentSpare()+1) <= spareBurstShare*budget*o.part(v)
}

// recentSpare returns the number of retries beyond the guaranteed share that may not have been
// reported to peers yet.
func (u Usage) recentSpare() int {
	return min(u.RecentRetries, u.Retries-u.Guaranteed)
}

// budget returns the number of retries that the fleet may make in a window.
func (o Options) budget(fleet Usage) float64 {
	return o.Reserve + o.Share*float64(fleet.Requests)
}

// guaranteed returns the number of retries that a daemon may always use.
func (o Options) guaranteed(v View) int {
	return int(max(minRetries, guaranteedShare*(o.Reserve*o.part(v)+o.Share*float64(v.Own.Requests))))
}

// OwnUsage returns the usage of this daemon for all services.
func (b *Budgeter) OwnUsage() []Usage {
	hosts := b.options.Hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Usage, 0, len(b.own))
	for s := range b.own {
		out = append(out, b.view(s, hosts).Own)
	}
	return out
}

// SumUsage returns the usage of this daemon together with that of the matching peers.
func (b *Budgeter) SumUsage(match func(unit.HostID) bool) []Usage {
	out := b.OwnUsage()
	b.mu.Lock()
	defer b.mu.Unlock()
	for host, p := range b.peers {
		if match(host) {
			for _, u := range p.usage {
				out = addUsage(out, u)
			}
		}
	}
	return out
}

// add adds the usage of another daemon.
func (u *Usage) add(o Usage) {
	u.Requests += o.Requests
	u.Retries += o.Retries
	u.Guaranteed += o.Guaranteed
}

// addUsage adds u to the entry of its service, or appends it.
func addUsage(list []Usage, u Usage) []Usage {
	for i := range list {
		if list[i].Service == u.Service {
			list[i].add(u)
			return list
		}
	}
	return append(list, u)
}

// SetPeerUsage replaces the usage of a peer.
func (b *Budgeter) SetPeerUsage(host unit.HostID, usage []Usage, now time.Time) {
	b.SetSummedUsage(host, 1, usage, now)
}

// SetSummedUsage replaces the summed usage of some hosts, those of another data centre, under
// a name that no host has.
func (b *Budgeter) SetSummedUsage(name unit.HostID, hosts int, usage []Usage, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[name] = peerUsage{receivedAt: now, hosts: hosts, usage: usage}
}
