// Package ledger counts the work in flight on backend servers: the own work at
// once, that of other daemons as they last told. What they have begun since is taken
// to be what this daemon has begun since.
//
// Load pattern: power comes back, and the callers of all broken streams come back
// within a tenth of a second. Each daemon knows only its own work of that time, and all
// would choose the same engines.
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

// expiry is how long the word of another daemon counts, a few beacons.
const expiry = 1500 * time.Millisecond

// TokenLayers is a number of tokens times the layers that they occupy.
type TokenLayers int64

// Load is the work in flight on one backend server.
type Load struct {
	Running int
	// Heads counts the requests whose chain begins here.
	Heads int
	// Tokens is the memory that the requests need in the end.
	Tokens TokenLayers
	// Reading is the part of prompts that is not known to be read yet.
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

// load is what the item puts on its server until its end.
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

// Ledger counts work in flight. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	own   map[unit.BackendID]*Load
	total map[unit.BackendID]*Load
	peers map[unit.HostID]peer
	// others is the number of other daemons, and recent the own work that was begun
	// since the last round of beacons and in the round before, which they may not know.
	others int
	recent [2]map[unit.BackendID]*Load
}

// New returns an empty Ledger.
func New() *Ledger {
	l := &Ledger{own: map[unit.BackendID]*Load{}, total: map[unit.BackendID]*Load{}, peers: map[unit.HostID]peer{}}
	for i := range l.recent {
		l.recent[i] = map[unit.BackendID]*Load{}
	}
	return l
}

func bump(m map[unit.BackendID]*Load, id unit.BackendID, d Load, sign int) {
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

// Begin counts a request on the servers that it crosses.
func (l *Ledger) Begin(items []Item) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range items {
		d := it.load()
		d.Reading = it.Reading
		bump(l.own, it.Server, d, 1)
		bump(l.total, it.Server, d, 1)
		bump(l.recent[0], it.Server, d, 1)
	}
	return &Ticket{ledger: l, items: items}
}

// Started notes that the prompt has been read.
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
		bump(t.ledger.own, it.Server, d, -1)
		bump(t.ledger.total, it.Server, d, -1)
	}
}

// End removes the request.
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
		bump(t.ledger.own, it.Server, d, -1)
		bump(t.ledger.total, it.Server, d, -1)
	}
}

// Own returns the own load, for peers.
func (l *Ledger) Own() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.own))
	for id, x := range l.own {
		out = append(out, Entry{Server: id, Load: *x})
	}
	return out
}

// Sum returns the own load together with that of the peers that match.
func (l *Ledger) Sum(match func(unit.HostID) bool) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := make(map[unit.BackendID]*Load, len(l.total))
	for id, x := range l.own {
		bump(sum, id, *x, 1)
	}
	for host, p := range l.peers {
		if !match(host) {
			continue
		}
		for _, e := range p.entries {
			bump(sum, e.Server, e.Load, 1)
		}
	}
	out := make([]Entry, 0, len(sum))
	for id, x := range sum {
		out = append(out, Entry{Server: id, Load: *x})
	}
	return out
}

// Tell replaces the load of another daemon.
func (l *Ledger) Tell(host unit.HostID, entries []Entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(host)
	for _, e := range entries {
		bump(l.total, e.Server, e.Load, 1)
	}
	l.peers[host] = peer{at: now, entries: entries}
}

func (l *Ledger) drop(host unit.HostID) {
	for _, e := range l.peers[host].entries {
		bump(l.total, e.Server, e.Load, -1)
	}
	delete(l.peers, host)
}

// Expire forgets daemons that have not told their load for some time.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, p := range l.peers {
		if now.Sub(p.at) > expiry {
			l.drop(host)
		}
	}
}

// Round notes a round of beacons among this daemon and a number of others.
func (l *Ledger) Round(others int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = others
	l.recent[1] = l.recent[0]
	l.recent[0] = map[unit.BackendID]*Load{}
}

// Load returns the load of a server from all daemons that have told it.
func (l *Ledger) Load(id unit.BackendID) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.total[id]; x != nil {
		return *x
	}
	return Load{}
}

// OwnRunning returns the number of own requests in flight on a server.
func (l *Ledger) OwnRunning(id unit.BackendID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.own[id]; x != nil {
		return x.Running
	}
	return 0
}

// Guess returns the load that others have put on a server and not told yet, if they
// do what this daemon does.
func (l *Ledger) Guess(id unit.BackendID) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var guess Load
	for _, recent := range l.recent {
		if x := recent[id]; x != nil {
			guess.add(*x, l.others)
		}
	}
	return guess
}

// Running returns the number of own requests in flight on all servers.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, x := range l.own {
		n += x.Running
	}
	return n
}
