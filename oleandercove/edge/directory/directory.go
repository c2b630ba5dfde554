// Package directory holds a daemon's view of the configuration and of the backend
// servers, with the age of that view.
//
//   - A Directory ignores a configuration that is older than its own, whether a slow
//     read or a peer returns it.
//   - Its snapshots are immutable.
//   - A leaving notice of a server outweighs its registry entries.
//   - What it knows of the registry never goes back to an older revision of the store. A
//     removal that it has seen is final, whatever a source with an older view lists.
//   - The store may come back from a copy, in a new era. A list of all servers in the new era
//     replaces what was known; views of an earlier era are rejected from then on. The
//     configuration stays in force until the operators have written theirs again.
//   - Servers that it keeps after their entries have lapsed are its own decision. Peers get
//     the registry as the store holds it.
//   - An odd registry entry, as another writer may leave it, names no server. A server that
//     had the id before is no longer used, because its entry has been replaced.
//
// Usage:
//
//	d := directory.New(log)
//	err := d.Install(o.Revision, o.Value, directory.Receipt{At: sentAt, Requested: sentAt, Received: now})
//	if t := d.Table(); t != nil {
//		servers := d.Servers().ByService("logbook")
//	}
package directory

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/logger"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/platform"
)

// Directory holds the newest configuration and the backend servers.
type Directory struct {
	log *log.Logger

	mu            sync.Mutex
	configuration atomic.Pointer[Configuration]
	// configured is closed once the first configuration is installed.
	configured   chan struct{}
	servers      registry
	odd          objects.OddObjects
	notices      notices
	onReadyAgain func(backend.Server)
	snapshot     atomic.Pointer[Servers]
	history      history
	coverage     coverage
	// eraSince is when a daemon first knew the era of the servers, as far as this one knows.
	eraSince time.Time
	// serversSource is the source of the last view of the registry.
	serversSource string
	times         viewTimes
}

// New returns an empty Directory.
func New(l *log.Logger) *Directory {
	d := &Directory{log: l, notices: notices{}, odd: objects.OddObjects{}, configured: make(chan struct{})}
	d.servers = registry{entries: map[unit.BackendID]*entry{}, departures: departures{}}
	d.history = newHistory()
	d.snapshot.Store(newServers(nil))
	return d
}

// Servers returns a snapshot of the backend servers.
func (d *Directory) Servers() *Servers { return d.snapshot.Load() }

// ErrOtherEra is returned for a view of the backend servers of an earlier era of the store than
// the known one, and for changes of a later era, which are not complete. Such a view is not applied.
var ErrOtherEra = errors.New("view is of another era of the store")

// Replace applies a complete list of backend servers, unless it is older than the known one.
// Servers that are missing from it are removed, after reregistrationTime if no daemon has
// read the store for some time or if it is the first list of an era. It returns ErrOtherEra for
// a list of an earlier era.
func (d *Directory) Replace(list []objects.Object, v View, now time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Revision.Era < d.servers.revision.Era {
		return ErrOtherEra
	}
	isNewEra := v.Revision.Era > d.servers.revision.Era || d.coverage.at.IsZero()
	isStep := isNewEra && !d.coverage.at.IsZero()
	if isNewEra {
		d.eraSince = earliest(now, v.EraSince, d.times.heardSince(v.Revision.Era))
	}
	if isStep {
		d.enterEra(v, now)
	}
	d.confirmServers(v, now)
	source := v.revision()
	if source.Before(d.servers.revision) {
		d.log.Debug("older list of backend servers ignored", "revision", source, "known", d.servers.revision)
		d.publish(now)
		return nil
	}
	seen := make(map[unit.BackendID]bool, len(list))
	for _, o := range list {
		if d.putEntry(o, now) {
			seen[unit.BackendID(o.Name)] = true
		}
	}
	for id := range d.servers.entries {
		if !seen[id] {
			d.removeEntry(id, source, now, d.holdMissing(isStep))
		}
	}
	d.odd.Keep(list)
	// After a list without a revision the own one is unknown, too.
	d.servers.revision = v.Revision
	d.publish(now)
	return nil
}

// holdMissing returns the time until which an entry is kept that a list lacks. The first list of an
// era, after a step back of the store, may lack servers that register again.
func (d *Directory) holdMissing(isStep bool) time.Time {
	hold := d.coverage.holdUntil()
	if end := d.eraSince.Add(reregistrationTime); isStep && end.After(hold) {
		return end
	}
	return hold
}

// earliest returns the earliest of a time and others, which are zero if they are unknown.
func earliest(at time.Time, others ...time.Time) time.Time {
	for _, o := range others {
		if !o.IsZero() && o.Before(at) {
			at = o
		}
	}
	return at
}

// enterEra prepares for the first list of a later era. Peers get all servers, because changes of
// different eras can't follow each other.
func (d *Directory) enterEra(v View, now time.Time) {
	d.history.restart()
	d.log.Warn("store came back from a copy", "revision", v.Revision, "known", d.servers.revision,
		"source", sourceName(v.Peer), "age", now.Sub(v.At))
}

// Apply applies changes of backend servers from a source whose view includes them. It returns
// ErrOtherEra for changes of another era than that of the known servers.
func (d *Directory) Apply(changes []objects.Object, v View, now time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Revision.Era != d.servers.revision.Era {
		return ErrOtherEra
	}
	d.confirmServers(v, now)
	source := v.revision()
	for _, o := range changes {
		if o.Deleted {
			d.odd.Remove(o)
			d.removeEntry(unit.BackendID(o.Name), knownOr(o.Revision, source), now, d.coverage.holdUntil())
			continue
		}
		d.putEntry(o, now)
	}
	if source.After(d.servers.revision) {
		d.servers.revision = v.Revision
	}
	if len(changes) > 0 || d.servers.hasDueChange(now, d.coverage.at) {
		d.publish(now)
	}
	return nil
}

// ServersRevision returns the revision of the store up to which all changes of backend servers are
// known; its number may be unknown.
func (d *Directory) ServersRevision() unit.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers.revision
}

// ExpireServers removes the servers whose lapsed entries are no longer kept. Call it
// regularly: the next answer of the store or of a peer may come late. In another gap lapsed
// entries are kept until its end, because the store may have been back for too short a time for
// servers to register again.
func (d *Directory) ExpireServers(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.coverage.isLost(now) && d.servers.hasDueChange(now, d.coverage.at) {
		d.publish(now)
	}
}

// confirmServers records a view of the registry, which can change how long lapsed entries are
// kept: until the end of another outage, or shorter if the store has answered others earlier.
func (d *Directory) confirmServers(v View, now time.Time) {
	before := d.coverage
	d.serversSource = sourceName(v.Peer)
	d.coverage.confirm(v, now)
	d.times.setServersAt(d.coverage.at, now)
	hold := d.coverage.holdUntil()
	if d.coverage.lostAt != before.lostAt {
		d.log.Info("backend servers known again", "unknown_for", v.At.Sub(before.at), "revision", v.Revision,
			"store_answers_for", d.coverage.length(now), "keep_lapsed_for", max(0, hold.Sub(now)))
	}
	held := before.holdUntil()
	if hold != held {
		d.servers.holdLapsed(hold, now)
	}
	if held.After(now) && !hold.After(now) {
		d.log.Info("store answered other daemons meanwhile, lapsed servers are removed", "store_answers_for", d.coverage.length(now))
	}
}

// putEntry applies one registry entry and reports whether the server is to be kept. The
// entry of a server that is not known describes one if it is sound.
func (d *Directory) putEntry(o objects.Object, now time.Time) bool {
	s, err := platform.DecodeServer(o)
	if err != nil {
		return d.ignoreEntry(o, err, now)
	}
	d.odd.Remove(o)
	if d.servers.isNewer(o) {
		d.checkReadyAgain(s)
	}
	if d.servers.put(s, o, now) {
		d.history.add(o)
		d.log.Info("backend server changed", "id", s.ID, "service", s.Service, "address", s.Address,
			"draining", s.Draining, "layers", s.Layers, "revision", o.Revision, "source", d.serversSource, "age", now.Sub(d.coverage.at))
	}
	return true
}

// removeEntry schedules the removal of an entry that the store no longer holds, unless the
// entry is newer than the revision. One that may be registered again is kept until hold.
func (d *Directory) removeEntry(id unit.BackendID, revision unit.Revision, now, hold time.Time) {
	if !d.servers.remove(id, revision, now, hold) {
		return
	}
	e := d.servers.entries[id]
	removed := e.object.Revision
	if removed.Era != revision.Era {
		removed = revision
	}
	d.history.add(objects.Object{Name: string(id), Revision: removed, Deleted: true})
	d.log.Info("backend server no longer registered", "id", id, "revision", e.object.Revision, "kept_for", e.removeAt.Sub(now),
		"source", d.serversSource, "age", now.Sub(d.coverage.at))
}

// ignoreEntry applies an odd registry entry and reports whether the known entry of the
// server is newer. An older one has been replaced.
func (d *Directory) ignoreEntry(o objects.Object, err error, now time.Time) bool {
	if d.servers.isOlder(o) {
		return true
	}
	if d.odd.Add(o) {
		d.log.Warn("registry entry ignored", "id", logger.Shorten(o.Name), "revision", o.Revision, "err", logger.Shorten(err.Error()))
	}
	if d.servers.supersede(unit.BackendID(o.Name), o.Revision, now) {
		d.history.add(objects.Object{Name: o.Name, Revision: o.Revision, Deleted: true})
	}
	return false
}

func (d *Directory) publish(now time.Time) {
	for _, id := range d.servers.expire(now, d.coverage.at) {
		d.log.Info("backend server removed", "id", id)
	}
	d.snapshot.Store(newServers(d.servers.current(d.notices, now)))
}
