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
//   - A send relies on the view until another daemon is known to have a newer one that keeps the
//     bound. If none has, the store is away for all, and what is known goes on to be used.
type Freshness struct {
	// Age is the time since this daemon's view was last known to be current.
	Age time.Duration
	// FleetAge is the time since a newer view of another daemon was known to be current, or
	// unknownAge if this daemon knows of none.
	FleetAge time.Duration
}

// unknownAge is the age of a view of which nothing is known.
const unknownAge = time.Duration(math.MaxInt64)

// IsBehind reports whether the view is older than a bound that a newer view of another daemon
// keeps.
func (f Freshness) IsBehind(bound time.Duration) bool { return f.Age > bound && f.FleetAge <= bound }

// Views is how current a daemon's views are.
type Views struct {
	// Configuration has age 0 as long as no configuration is known.
	Configuration, Servers Freshness
}

// Age returns the age of the older view.
func (v Views) Age() time.Duration { return max(v.Configuration.Age, v.Servers.Age) }

// PeerView is what another daemon says of its views. Times are on the clock of this daemon.
type PeerView struct {
	// Revision is that of its configuration, which was the newest one at ConfiguredAt.
	Revision     unit.Revision
	ConfiguredAt time.Time
	// ServersAt is when its list of backend servers was current; zero if it doesn't say.
	ServersAt time.Time
}

// fleetViews are the newest views that other daemons have.
type fleetViews struct {
	revision                unit.Revision
	configuredAt, serversAt time.Time
}

// record merges what another daemon says. A configuration that is older than the newest one known
// is no evidence.
func (f *fleetViews) record(p PeerView) {
	if p.Revision > f.revision {
		f.revision, f.configuredAt = p.Revision, p.ConfiguredAt
	}
	if p.Revision == f.revision && p.ConfiguredAt.After(f.configuredAt) {
		f.configuredAt = p.ConfiguredAt
	}
	if p.ServersAt.After(f.serversAt) {
		f.serversAt = p.ServersAt
	}
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
	// serversAt is when this daemon's list of backend servers was last known to be current.
	serversAt time.Time
	fleet     fleetViews
}

func (t *viewTimes) setServersAt(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serversAt = at
}

func (t *viewTimes) get() (serversAt time.Time, fleet fleetViews) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serversAt, t.fleet
}

// RecordPeerView records the views of another daemon. They show that this daemon's own views are
// old although the store answers.
func (d *Directory) RecordPeerView(p PeerView) {
	d.times.mu.Lock()
	defer d.times.mu.Unlock()
	d.times.fleet.record(p)
}

// Views returns how current the views are.
func (d *Directory) Views(now time.Time) Views {
	serversAt, fleet := d.times.get()
	v := Views{
		Configuration: Freshness{FleetAge: unknownAge},
		Servers:       Freshness{Age: ageSince(serversAt, now), FleetAge: ageSince(fleet.serversAt, now)},
	}
	if conf := d.configuration.Load(); conf != nil {
		v.Configuration.Age = now.Sub(conf.ConfirmedAt)
		if fleet.revision > conf.Revision {
			v.Configuration.FleetAge = ageSince(fleet.configuredAt, now)
		}
	}
	return v
}
