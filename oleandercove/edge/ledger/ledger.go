// Package ledger counts the load in flight on backend servers:
//
//   - the load of this daemon, counted as soon as a request begins,
//   - the load of other daemons, as received in their last beacons, and
//   - an estimate of the load that the others have begun since: for each of them as much
//     as this daemon has begun.
//
// Load pattern: after a power failure the callers of all broken streams retry within a
// tenth of a second. Each daemon has only its own load of that time, and without the
// estimate all would choose the same engines.
//
// Usage:
//
//	l := ledger.New()
//	t := l.Begin([]ledger.Item{{Server: "i-1", Tokens: 40000, Prefill: 30000}})
//	t.PrefillDone()
//	defer t.End()
package ledger

import (
	"sync"
	"time"

	"oleandercove.example/core/unit"
)

// loadTTL is how long the load received from another daemon is valid. It spans a few
// beacons.
const loadTTL = 1500 * time.Millisecond

// Load is the load in flight on one backend server.
type Load struct {
	// Running is the number of requests.
	Running int
	// ChainStarts is the number of requests whose chain begins here.
	ChainStarts int
	// Tokens is the memory that the requests need at their end.
	Tokens unit.TokenLayers
	// Prefill is the part of the prompts whose prefill is not yet reported as done.
	Prefill unit.TokenLayers
}

func (l *Load) add(o Load, times int) {
	l.Running += times * o.Running
	l.ChainStarts += times * o.ChainStarts
	l.Tokens += unit.TokenLayers(times) * o.Tokens
	l.Prefill += unit.TokenLayers(times) * o.Prefill
}

// Item is the load that one request puts on one backend server.
type Item struct {
	Server unit.BackendID
	// StartsChain is set for the first server of a chain.
	StartsChain bool
	Tokens      unit.TokenLayers
	// Prefill is the size of the prompt; zero for requests without one.
	Prefill unit.TokenLayers
}

// load returns the load of the item until the request ends, without the prefill.
func (i Item) load() Load {
	d := Load{Running: 1, Tokens: i.Tokens}
	if i.StartsChain {
		d.ChainStarts = 1
	}
	return d
}

// Entry is the load of one backend server.
type Entry struct {
	Server unit.BackendID
	Load   Load
}

type peer struct {
	at      time.Time
	entries []Entry
}

// Ledger counts load in flight. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	own   map[unit.BackendID]*Load
	total map[unit.BackendID]*Load
	peers map[unit.HostID]peer
	// otherDaemons is the number of other daemons. unreported is the load that this
	// daemon has begun since the last round of beacons [0] and in the round before [1],
	// which others may not have received.
	otherDaemons int
	unreported   [2]map[unit.BackendID]*Load
}

// New returns an empty Ledger.
func New() *Ledger {
	l := &Ledger{own: map[unit.BackendID]*Load{}, total: map[unit.BackendID]*Load{}, peers: map[unit.HostID]peer{}}
	for i := range l.unreported {
		l.unreported[i] = map[unit.BackendID]*Load{}
	}
	return l
}

// addLoad adds sign times d to the load of a server, and deletes the load if it is zero
// then.
func addLoad(m map[unit.BackendID]*Load, id unit.BackendID, d Load, sign int) {
	l := m[id]
	if l == nil {
		l = &Load{}
		m[id] = l
	}
	l.add(d, sign)
	if *l == (Load{}) {
		delete(m, id)
	}
}

// Ticket is a request in flight.
type Ticket struct {
	ledger      *Ledger
	mu          sync.Mutex
	items       []Item
	prefillDone bool
	ended       bool
}

// Begin counts a request on the servers of its chain until End of the ticket.
func (l *Ledger) Begin(items []Item) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range items {
		d := it.load()
		d.Prefill = it.Prefill
		addLoad(l.own, it.Server, d, 1)
		addLoad(l.total, it.Server, d, 1)
		addLoad(l.unreported[0], it.Server, d, 1)
	}
	return &Ticket{ledger: l, items: items}
}

// PrefillDone removes the prefill from the load. Further calls have no effect.
func (t *Ticket) PrefillDone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.prefillDone || t.ended {
		return
	}
	t.prefillDone = true
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	for _, it := range t.items {
		d := Load{Prefill: it.Prefill}
		addLoad(t.ledger.own, it.Server, d, -1)
		addLoad(t.ledger.total, it.Server, d, -1)
	}
}

// End removes the load of the request. Further calls have no effect.
func (t *Ticket) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	for _, it := range t.items {
		d := it.load()
		if !t.prefillDone {
			d.Prefill = it.Prefill
		}
		addLoad(t.ledger.own, it.Server, d, -1)
		addLoad(t.ledger.total, it.Server, d, -1)
	}
}

// OwnLoads returns the load of this daemon, for peers.
func (l *Ledger) OwnLoads() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.own))
	for id, x := range l.own {
		out = append(out, Entry{Server: id, Load: *x})
	}
	return out
}

// SumLoads returns the load of this daemon and of the peers for which match returns true,
// added up by server.
func (l *Ledger) SumLoads(match func(unit.HostID) bool) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := make(map[unit.BackendID]*Load, len(l.total))
	for id, x := range l.own {
		addLoad(sum, id, *x, 1)
	}
	for host, p := range l.peers {
		if !match(host) {
			continue
		}
		for _, e := range p.entries {
			addLoad(sum, e.Server, e.Load, 1)
		}
	}
	out := make([]Entry, 0, len(sum))
	for id, x := range sum {
		out = append(out, Entry{Server: id, Load: *x})
	}
	return out
}

// SetPeerLoad replaces the load of another daemon with that received at now.
func (l *Ledger) SetPeerLoad(host unit.HostID, entries []Entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePeer(host)
	for _, e := range entries {
		addLoad(l.total, e.Server, e.Load, 1)
	}
	l.peers[host] = peer{at: now, entries: entries}
}

// removePeer removes the load of another daemon.
func (l *Ledger) removePeer(host unit.HostID) {
	for _, e := range l.peers[host].entries {
		addLoad(l.total, e.Server, e.Load, -1)
	}
	delete(l.peers, host)
}

// Expire removes the load of daemons from which none was received for loadTTL.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, p := range l.peers {
		if now.Sub(p.at) > loadTTL {
			l.removePeer(host)
		}
	}
}

// SetOtherDaemons sets the number of other daemons, which may have begun load that no
// beacon has reported yet.
//
// Load pattern: a whole fleet restarts and its callers return at once. Each daemon chooses
// the engines of all its requests before the first round of beacons.
func (l *Ledger) SetOtherDaemons(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.otherDaemons = n
}

// NextRound begins the next round of the estimate. Call it after each round of beacons.
func (l *Ledger) NextRound() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreported[1] = l.unreported[0]
	l.unreported[0] = map[unit.BackendID]*Load{}
}

// Load returns the load of a server from this daemon and from all peers whose load was
// received.
func (l *Ledger) Load(id unit.BackendID) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.total[id]; x != nil {
		return *x
	}
	return Load{}
}

// OwnRunning returns the number of requests of this daemon in flight on a server.
func (l *Ledger) OwnRunning(id unit.BackendID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.own[id]; x != nil {
		return x.Running
	}
	return 0
}

// EstimateUnreported returns the estimated load that other daemons have put on a server
// and not sent yet. It assumes that each of them has begun the same load as this daemon.
func (l *Ledger) EstimateUnreported(id unit.BackendID) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var estimate Load
	for _, recent := range l.unreported {
		if x := recent[id]; x != nil {
			estimate.add(*x, l.otherDaemons)
		}
	}
	return estimate
}

// Running returns the number of requests of this daemon in flight, counted once for each
// server that they use.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, x := range l.own {
		n += x.Running
	}
	return n
}
