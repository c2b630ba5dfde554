// Package ledger counts the load in flight on backend servers:
//
//   - the load of this daemon, counted as soon as a request begins,
//   - the load of other daemons, as received in their last beacons, and
//   - an estimate of what the others have begun since: as much as this daemon has.
//
// Load pattern: after a power failure the callers of all broken streams retry within a
// tenth of a second. Each daemon knows only its own load of that time, and without the
// estimate all would choose the same engines.
//
// Usage:
//
//	l := ledger.New()
//	t := l.Begin([]ledger.Item{{Server: "i-1", Tokens: 40000, Reading: 30000}})
//	t.Started()
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

// TokenLayers is a number of tokens multiplied by the layers that they occupy.
type TokenLayers int64

// Load is the load in flight on one backend server.
type Load struct {
	// Running is the number of requests.
	Running int
	// Heads is the number of requests whose chain begins here.
	Heads int
	// Tokens is the memory that the requests need at their end.
	Tokens TokenLayers
	// Reading is the part of the prompts whose prefill is not known to be done.
	Reading TokenLayers
}

func (l *Load) add(o Load, times int) {
	l.Running += times * o.Running
	l.Heads += times * o.Heads
	l.Tokens += TokenLayers(times) * o.Tokens
	l.Reading += TokenLayers(times) * o.Reading
}

// Item is the load that one request puts on one backend server.
type Item struct {
	Server unit.BackendID
	// Head is set for the first server of a chain.
	Head   bool
	Tokens TokenLayers
	// Reading is zero for requests without a prompt.
	Reading TokenLayers
}

// load returns the load of the item until the request ends, without the prefill.
func (i Item) load() Load {
	d := Load{Running: 1, Tokens: i.Tokens}
	if i.Head {
		d.Heads = 1
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
	ledger  *Ledger
	mu      sync.Mutex
	items   []Item
	started bool
	ended   bool
}

// Begin counts a request on the servers of its chain until End of the ticket.
func (l *Ledger) Begin(items []Item) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range items {
		d := it.load()
		d.Reading = it.Reading
		addLoad(l.own, it.Server, d, 1)
		addLoad(l.total, it.Server, d, 1)
		addLoad(l.unreported[0], it.Server, d, 1)
	}
	return &Ticket{ledger: l, items: items}
}

// Started records that the prefill is done. Further calls have no effect.
func (t *Ticket) Started() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.started || t.ended {
		return
	}
	t.started = true
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	for _, it := range t.items {
		d := Load{Reading: it.Reading}
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
		if !t.started {
			d.Reading = it.Reading
		}
		addLoad(t.ledger.own, it.Server, d, -1)
		addLoad(t.ledger.total, it.Server, d, -1)
	}
}

// Own returns the load of this daemon, for peers.
func (l *Ledger) Own() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.own))
	for id, x := range l.own {
		out = append(out, Entry{Server: id, Load: *x})
	}
	return out
}

// Sum returns the load of this daemon and of the peers for which match returns true,
// added up by server.
func (l *Ledger) Sum(match func(unit.HostID) bool) []Entry {
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

// Tell replaces the load of another daemon by the one received at now.
func (l *Ledger) Tell(host unit.HostID, entries []Entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(host)
	for _, e := range entries {
		addLoad(l.total, e.Server, e.Load, 1)
	}
	l.peers[host] = peer{at: now, entries: entries}
}

func (l *Ledger) drop(host unit.HostID) {
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
			l.drop(host)
		}
	}
}

// Round records that a round of beacons was sent between this daemon and others other
// daemons.
func (l *Ledger) Round(others int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.otherDaemons = others
	l.unreported[1] = l.unreported[0]
	l.unreported[0] = map[unit.BackendID]*Load{}
}

// Load returns the load of a server from this daemon and from all whose load was
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

// Guess estimates the load that other daemons have put on a server and not sent yet. It
// assumes that each of them has begun the same load as this daemon.
func (l *Ledger) Guess(id unit.BackendID) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var guess Load
	for _, recent := range l.unreported {
		if x := recent[id]; x != nil {
			guess.add(*x, l.otherDaemons)
		}
	}
	return guess
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
