package directory

import (
	"math"
	"sync"
	"time"

	"oleandercove.example/core/unit"
)

// Freshness is how current a daemon's view of a part of the store is. Every decision that a view
// can make wrong compares it with the bound for that decision:
//   - A refusal that the view demands is true as long as the view is not older than the time
//     within which a change must be in force. Past that the daemon doesn't know.
//   - A send relies on the view until another daemon has had a newer one, which keeps the bound,
//     for longer than it takes to follow. If none has, the store is away for all, and what is
//     known goes on to be used.
type Freshness struct {
	// Age is the time since this daemon's view was last known to be current.
	Age time.Duration
	// FleetAge is the time since a newer view of another daemon was known to be current, or
	// unknownAge if this daemon knows of none.
	FleetAge time.Duration
	// Behind is how long this daemon has known of a newer view without following it.
	Behind time.Duration
}

const (
	// unknownAge is the age of a view of which nothing is known.
	unknownAge = time.Duration(math.MaxInt64)
	// followTime is how long a daemon in touch takes at most to follow a newer view of another
	// one: a query of a peer that is silent, and one that answers. After an outage of the store
	// some daemons have a new view that much earlier than others.
	followTime = time.Second
	// maxServersLag is by how much the list of servers of another daemon is newer in ordinary
	// times, since a daemon hears through another one.
	maxServersLag = time.Second
)

// IsBehind reports whether the view is older than a bound that a newer view of another daemon
// keeps, and has not followed that for followTime.
func (f Freshness) IsBehind(bound time.Duration) bool {
	return f.Age > bound && f.FleetAge <= bound && f.Behind > followTime
}

// Views is how current a daemon's views are.
type Views struct {
	// Configuration has age 0 as long as no configuration is known.
	Configuration, Servers Freshness
}

// Age returns the age of the older view.
func (v Views) Age() time.Duration { return max(v.Configuration.Age, v.Servers.Age) }

// PeerView is what another daemon says of its views. Times are on the clock of this daemon.
type PeerView struct {
	// Configuration is the version that it has, which was the newest one at ConfiguredAt.
	Configuration ConfigurationVersion
	ConfiguredAt  time.Time
	// ServersAt is when its list of backend servers was current, and ServersEra the era of the list;
	// zero if it doesn't say.
	ServersAt  time.Time
	ServersEra unit.Era
}

// lead is a newer view of another daemon.
type lead struct {
	// at is when that view was current, since when this daemon has known that it has a newer
	// one; zero while it has none.
	at, since time.Time
}

// record merges a view of another daemon that was current at a time.
func (l *lead) record(at time.Time) {
	if at.After(l.at) {
		l.at = at
	}
}

// mark records whether the view is newer than this daemon's.
func (l *lead) mark(isAhead bool, now time.Time) {
	switch {
	case !isAhead:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
}

// freshness returns how current a view of the given age is.
func (l lead) freshness(age time.Duration, now time.Time) Freshness {
	f := Freshness{Age: age, FleetAge: unknownAge}
	if !l.since.IsZero() {
		f.FleetAge, f.Behind = now.Sub(l.at), now.Sub(l.since)
	}
	return f
}

// ageSince returns the time since a view was current, or unknownAge.
func ageSince(at, now time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at)
}

// viewTimes holds what is needed to date the views. It has a lock of its own, because each send
// reads it, and installing a long list or configuration takes a while.
type viewTimes struct {
	mu sync.Mutex
	// known is the version of this daemon's configuration, newest that of any daemon's.
	known, newest ConfigurationVersion
	// serversAt is when this daemon's list of backend servers was last known to be current.
	serversAt              time.Time
	configuration, servers lead
	// era is the newest one of any other daemon's list, first heard of at eraSince.
	era      unit.Era
	eraSince time.Time
}

// heardSince returns since when another daemon is known to know an era; zero if none does.
func (t *viewTimes) heardSince(era unit.Era) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era != era {
		return time.Time{}
	}
	return t.eraSince
}

// setServersAt records that this daemon's list was current at a time.
func (t *viewTimes) setServersAt(at, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serversAt = at
	t.markServers(now)
}

// setConfiguration records that this daemon has a version of the configuration.
func (t *viewTimes) setConfiguration(v ConfigurationVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = v
	if !t.newest.IsNewer(t.known) {
		t.newest, t.configuration = t.known, lead{}
	}
}

// record merges what another daemon says of its views. Of configurations only the newest one
// counts.
func (t *viewTimes) record(p PeerView, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.ServersEra > t.era {
		t.era, t.eraSince = p.ServersEra, now
	}
	if p.Configuration.IsNewer(t.newest) {
		t.newest = p.Configuration
	}
	if !t.newest.IsNewer(p.Configuration) && p.Configuration.IsNewer(t.known) {
		t.configuration.record(p.ConfiguredAt)
		t.configuration.mark(true, now)
	}
	if !p.ServersAt.IsZero() {
		t.servers.record(p.ServersAt)
		t.markServers(now)
	}
}

// markServers records whether the newest list of another daemon is newer than this daemon's. The
// caller holds the lock.
func (t *viewTimes) markServers(now time.Time) {
	t.servers.mark(t.servers.at.Sub(t.serversAt) > maxServersLag, now)
}

// RecordPeerView records the views of another daemon. They show that this daemon's own views are
// old although the store answers.
func (d *Directory) RecordPeerView(p PeerView, now time.Time) {
	d.times.record(p, now)
}

// Views returns how current the views are.
func (d *Directory) Views(now time.Time) Views {
	conf := d.configuration.Load()
	d.times.mu.Lock()
	defer d.times.mu.Unlock()
	v := Views{Servers: d.times.servers.freshness(ageSince(d.times.serversAt, now), now)}
	if conf != nil {
		v.Configuration = d.times.configuration.freshness(now.Sub(conf.ConfirmedAt), now)
	}
	return v
}
