// Package throttler bounds the requests that daemons send to backend servers which name a limit.
//
// A server in need names in its responses how many requests a second it takes from all daemons
// together. Each daemon that has received such a response has a token bucket for the server,
// which fills at the daemon's share of the limit; see shareOf. The limit is in force until a
// response to a later request names none.
//
// Daemons need no exchange for that, because they know which of them are live. They broadcast
// changes of limits only: a daemon without a share sends nothing to the server, and would not
// learn that the limit has ended. If the broadcast is lost, it sends one request after a time
// that grows with the fleet.
//
// Load pattern: most servers of a kind name about half of what they got, while daemons are
// restarted.
//
// Usage:
//
//	t := throttler.New(throttler.Options{Self: "entry-1", Live: a.LiveHosts, Settled: a.Settled, Timer: timer})
//	t.Observe(server, throttler.Observation{Limited: true, Limit: 7.5, SentAt: sentAt})
//	if ok, until := t.Allows(server); ok && t.Take(server) {
//	}
package throttler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

const (
	// shareInterval is the time between two computations of a share.
	shareInterval = 250 * time.Millisecond
	// minProbeInterval is the least time after which a daemon without a share sends one request
	// to find out whether the limit is still in force. Where that takes longer, all probes
	// together take probeShare of the limit.
	minProbeInterval = 10 * time.Second
	probeShare       = 0.25
	// probeTime is how long the right to a probe lasts. Unused rights of many daemons must not
	// add up.
	probeTime = time.Second
	// minLimit stands for a limit of zero, which would never be found to have ended.
	minLimit = unit.RequestsPerSecond(0.1)
	// endedTime is how long the end of a limit is remembered; reports of peers that are older
	// than it arrive within this time. unusedTime is how long a limit is kept without a request.
	endedTime  = 10 * time.Second
	unusedTime = 10 * time.Minute
	// broadcastTime is how long a change of a limit is repeated to peers, and maxBroadcast bounds
	// the changes in one beacon.
	broadcastTime = 3 * time.Second
	maxBroadcast  = 64
)

// Options configures a Throttler.
type Options struct {
	Self unit.HostID
	// Live returns the live daemons, this one included.
	Live func() []unit.HostID
	// Settled reports whether this daemon has discovered its peers. It has no share before.
	Settled func() bool
	Timer   timer.Service
	Log     *log.Logger
}

// Throttler holds the limits of servers. It is safe for concurrent use.
type Throttler struct {
	Options

	mu      sync.Mutex
	servers map[unit.BackendID]*state
	// live are the live daemons as of liveAt.
	live   []unit.HostID
	liveAt time.Time
}

// state is what is known of a server that names a limit, or lately named one.
type state struct {
	born backend.Incarnation
	// limited is set while the limit is in force; at is the time of the last response that says
	// so, or of the one that ended it.
	limited bool
	limit   unit.RequestsPerSecond
	at      time.Time
	// changedAt is when limited last changed, for peers.
	changedAt time.Time
	share     share
	sharedAt  time.Time
	tokens    float64
	filledAt  time.Time
	// probeAt is when a daemon without a share may send a request.
	probeAt time.Time
}

// Observation is what a response says about the limit of its server.
type Observation struct {
	Limited bool
	Limit   unit.RequestsPerSecond
	// SentAt is when the request was sent.
	SentAt time.Time
}

// New returns a Throttler without limits.
func New(o Options) *Throttler { return &Throttler{Options: o, servers: map[unit.BackendID]*state{}} }

// Observe records what a response says. A response without a limit ends one that was in force
// when the request was sent.
func (t *Throttler) Observe(s backend.Server, o Observation) {
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.servers[s.ID]
	switch {
	case o.Limited:
		t.setLimit(s, o.Limit, now, now)
	case x != nil && x.born == s.Born && x.limited && o.SentAt.After(x.at):
		t.endLimit(s.ID, x, now, now)
	}
}

// setLimit records that a server named a limit at a time. The caller holds the lock.
func (t *Throttler) setLimit(s backend.Server, limit unit.RequestsPerSecond, at, now time.Time) {
	x := t.servers[s.ID]
	if x == nil || x.born != s.Born {
		x = &state{born: s.Born}
		t.servers[s.ID] = x
	}
	if !x.limited {
		x.limited, x.changedAt, x.tokens, x.filledAt = true, now, 0, now
		t.Log.Info("backend server names a limit", "server", s.ID, "limit", limit)
	}
	if x.limit != limit {
		x.sharedAt = time.Time{}
	}
	x.limit, x.at = limit, at
	t.updateLive(now)
	x.probeAt = now.Add(t.probeInterval(limit))
}

// endLimit records that the limit of a server ended at a time. The caller holds the lock.
func (t *Throttler) endLimit(id unit.BackendID, x *state, at, now time.Time) {
	x.limited, x.at, x.changedAt = false, at, now
	t.Log.Info("backend server names no limit any more", "server", id, "limit", x.limit)
}

// probeInterval returns the time until the next probe, with a random part so that daemons don't
// probe together.
func (t *Throttler) probeInterval(limit unit.RequestsPerSecond) time.Duration {
	fleet := time.Duration(float64(len(t.live)) / (probeShare * float64(max(limit, minLimit))) * float64(time.Second))
	return time.Duration((0.75 + 0.5*rand.Float64()) * float64(max(minProbeInterval, fleet)))
}

// Allows reports whether a request may be sent to a server now. If not, it returns when it may;
// a zero time if that is not known.
func (t *Throttler) Allows(s backend.Server) (ok bool, until time.Time) {
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.limitedState(s, now)
	if x == nil || x.tokens >= 1 {
		return true, time.Time{}
	}
	if x.share.rate <= 0 {
		return false, time.Time{}
	}
	return false, now.Add(time.Duration((1 - x.tokens) / float64(x.share.rate) * float64(time.Second)))
}

// Take takes the right to send a request to a server, and reports whether there was one.
func (t *Throttler) Take(s backend.Server) bool {
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.limitedState(s, now)
	if x == nil {
		return true
	}
	if x.tokens < 1 {
		return false
	}
	x.tokens--
	x.probeAt = now.Add(t.probeInterval(x.limit))
	return true
}

// limitedState returns the state of a server whose limit is in force, with its bucket filled up
// to now, or nil. The caller holds the lock.
func (t *Throttler) limitedState(s backend.Server, now time.Time) *state {
	x := t.servers[s.ID]
	if x == nil || !x.limited || x.born != s.Born {
		return nil
	}
	t.updateShare(s.ID, x, now)
	if now.Sub(x.probeAt) >= probeTime {
		x.probeAt = now.Add(t.probeInterval(x.limit))
	}
	x.fill(now)
	return x
}

// updateShare computes the share of this daemon if the last one is older than shareInterval.
func (t *Throttler) updateShare(id unit.BackendID, x *state, now time.Time) {
	if now.Sub(x.sharedAt) < shareInterval {
		return
	}
	t.updateLive(now)
	x.fill(now)
	x.share, x.sharedAt = share{}, now
	if t.Settled() {
		x.share = shareOf(max(x.limit, minLimit), t.Self, t.live, id)
	}
}

// updateLive updates the list of live daemons if it is older than shareInterval. The caller holds
// the lock.
func (t *Throttler) updateLive(now time.Time) {
	if now.Sub(t.liveAt) >= shareInterval {
		t.live, t.liveAt = t.Live(), now
		t.removeOld(now)
	}
}

// fill adds the tokens for the time since the last call. A daemon without a share has a token
// for probeTime when a probe is due.
func (x *state) fill(now time.Time) {
	elapsed := now.Sub(x.filledAt).Seconds()
	x.filledAt = now
	if x.share.rate > 0 {
		x.tokens = min(x.share.burst, x.tokens+max(0, elapsed)*float64(x.share.rate))
		return
	}
	x.tokens = 0
	if since := now.Sub(x.probeAt); since >= 0 && since < probeTime {
		x.tokens = 1
	}
}

// removeOld removes what is no longer needed. The caller holds the lock.
func (t *Throttler) removeOld(now time.Time) {
	for id, x := range t.servers {
		age := now.Sub(x.at)
		if age >= unusedTime || (!x.limited && age >= endedTime) {
			delete(t.servers, id)
		}
	}
}
