package directory

import (
	"cmp"
	"slices"
	"time"

	"oleandercove.example/core/backend"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

// maxClockError is more than the clocks of two hosts differ.
const maxClockError = 24 * time.Hour

// entry is a backend server with the time at which it is to be removed.
type entry struct {
	server backend.Server
	object objects.Object
	// removeAt is zero unless the entry has lapsed.
	removeAt time.Time
	// leftUntil is set if the server counts as draining, because the entry is that of a copy of the
	// store and the server is known to have left since. If the store still lists it at that time, it
	// has not left.
	leftUntil time.Time
}

// hasLapsed reports whether the store no longer holds the entry.
func (e *entry) hasLapsed() bool { return !e.removeAt.IsZero() }

// isDue reports whether the entry is to be removed.
func (e *entry) isDue(now time.Time) bool { return e.hasLapsed() && !now.Before(e.removeAt) }

// registry holds the registry entries of backend servers.
type registry struct {
	entries map[unit.BackendID]*entry
	// revision is the revision of the store up to which all changes of servers are known, unknown
	// if it isn't stated. An entry of at most that revision that is missing here has been
	// removed, whatever a source with an older view lists.
	revision unit.Revision
	// departures holds the servers that were removed lately.
	departures departures
}

// put applies an entry and reports whether that changes the server. An older revision than
// the known one is ignored, and so is an entry that has been removed since. The first entry of an
// era may be from a copy of the store, so it takes back nothing that is known of its instance.
func (r *registry) put(s backend.Server, o objects.Object, now time.Time) bool {
	e, ok := r.entries[s.ID]
	if (!ok || e.hasLapsed()) && !o.Revision.After(r.revision) {
		return false
	}
	isFirst := o.Revision.Era > r.revision.Era
	if !ok {
		e = &entry{server: s, object: o}
		if isFirst && r.departures.has(s, now) {
			e.leftUntil = now.Add(copyDistrustTime)
		}
		r.entries[s.ID] = e
		return true
	}
	if o.Revision.Before(e.object.Revision) || (o.Revision == e.object.Revision && !e.hasLapsed()) {
		return false
	}
	leftUntil := time.Time{}
	if isFirst {
		s = e.latest(s)
		if !e.leftUntil.IsZero() {
			leftUntil = now.Add(copyDistrustTime)
		}
	}
	changed := e.server != s || e.hasLapsed() || e.leftUntil.IsZero() != leftUntil.IsZero()
	e.server, e.object, e.removeAt, e.leftUntil = s, o, time.Time{}, leftUntil
	return changed
}

// latest returns what is known of a server whose entry in a copy of the store says s. Draining is
// final for an instance, and its sequence number only grows.
func (e *entry) latest(s backend.Server) backend.Server {
	known := e.server
	if known.Born != s.Born {
		return s
	}
	if known.Sequence > s.Sequence {
		s.Sequence, s.Layers = known.Sequence, known.Layers
	}
	s.Draining = s.Draining || known.Draining
	return s
}

// isNewer reports whether an object is newer than the known entry of its server.
func (r *registry) isNewer(o objects.Object) bool {
	e, ok := r.entries[unit.BackendID(o.Name)]
	return ok && o.Revision.After(e.object.Revision)
}

// isOlder reports whether an object is older than the known entry of its server. An
// object without a revision is not.
func (r *registry) isOlder(o objects.Object) bool {
	e, ok := r.entries[unit.BackendID(o.Name)]
	return ok && !o.Revision.IsUnknown() && o.Revision.Before(e.object.Revision)
}

// supersede schedules the removal of an entry at once, because an entry with the revision
// has replaced it in the store. It reports whether the store held the entry until now.
func (r *registry) supersede(id unit.BackendID, revision unit.Revision, now time.Time) bool {
	e, ok := r.entries[id]
	if !ok {
		return false
	}
	held := !e.hasLapsed()
	e.removeAt, e.object.Revision = now, unit.LaterRevision(e.object.Revision, revision)
	return held
}

// remove schedules the removal of an entry that the store no longer holds, and reports
// whether it held it until now. An entry newer than the revision has been registered again
// since. An entry that lapsed while the store was unavailable may be registered again, so it
// is kept until holdUntil; the entry of a draining server is not.
func (r *registry) remove(id unit.BackendID, revision unit.Revision, now, holdUntil time.Time) bool {
	e, ok := r.entries[id]
	if !ok || e.hasLapsed() || e.object.Revision.After(revision) {
		return false
	}
	e.removeAt = now
	if holdUntil.After(now) && !e.server.Draining && e.leftUntil.IsZero() {
		e.removeAt = holdUntil
	}
	return true
}

// holdLapsed keeps all lapsed entries until a time, or until now if that has passed.
func (r *registry) holdLapsed(until, now time.Time) {
	if until.Before(now) {
		until = now
	}
	for _, e := range r.entries {
		if e.hasLapsed() {
			e.removeAt = until
		}
	}
}

// hasDueChange reports whether any entry is to be removed, or no longer counts as draining, for a
// registry that was last known to be current at a time.
func (r *registry) hasDueChange(now, confirmedAt time.Time) bool {
	for _, e := range r.entries {
		if e.isDue(now) || e.isTrustedAgain(confirmedAt) {
			return true
		}
	}
	return false
}

// isTrustedAgain reports whether the store has listed a server for so long that it has not left.
func (e *entry) isTrustedAgain(confirmedAt time.Time) bool {
	return !e.leftUntil.IsZero() && !e.hasLapsed() && !confirmedAt.Before(e.leftUntil)
}

// expire removes the entries that are due and returns their ids.
func (r *registry) expire(now, confirmedAt time.Time) []unit.BackendID {
	var expired []unit.BackendID
	for id, e := range r.entries {
		if e.isTrustedAgain(confirmedAt) {
			e.leftUntil = time.Time{}
		}
		if e.isDue(now) {
			expired = append(expired, id)
			delete(r.entries, id)
			r.departures.add(e.server, now)
		}
	}
	return expired
}

// startedLater reports whether an entry describes a later server at the address of another
// one. A start time in the future, which another writer may have left, counts as early.
func (e *entry) startedLater(o *entry, now time.Time) bool {
	latest := backend.Incarnation(now.Add(maxClockError).UnixMilli())
	if future := e.server.Born > latest; future != (o.server.Born > latest) {
		return !future
	}
	return e.server.Born > o.server.Born || (e.server.Born == o.server.Born && e.object.Revision.After(o.object.Revision))
}

// current returns the servers, with the leaving notices applied. Of several entries
// with one address it returns the server that started last: a server that crashed and
// started under a new id leaves its old entry behind until that lapses.
func (r *registry) current(n notices, now time.Time) []backend.Server {
	latest := make(map[backend.Address]*entry, len(r.entries))
	for _, e := range r.entries {
		o := latest[e.server.Address]
		if o == nil || e.startedLater(o, now) {
			latest[e.server.Address] = e
		}
	}
	list := make([]backend.Server, 0, len(latest))
	for _, e := range latest {
		s := e.server
		s.LeavingSince = n.leavingSince(s)
		s.Draining = s.Draining || !s.LeavingSince.IsZero() || !e.leftUntil.IsZero()
		list = append(list, s)
	}
	return list
}

// Servers is an immutable snapshot of the backend servers.
type Servers struct {
	all       []backend.Server
	byService map[routing.ServiceName][]backend.Server
	byAddress map[backend.Address]unit.BackendID
	byID      map[unit.BackendID]backend.Server
}

func newServers(list []backend.Server) *Servers {
	slices.SortFunc(list, func(a, b backend.Server) int { return cmp.Compare(a.ID, b.ID) })
	s := &Servers{
		all:       list,
		byService: map[routing.ServiceName][]backend.Server{},
		byAddress: make(map[backend.Address]unit.BackendID, len(list)),
		byID:      make(map[unit.BackendID]backend.Server, len(list)),
	}
	for _, x := range list {
		s.byService[x.Service] = append(s.byService[x.Service], x)
		s.byAddress[x.Address] = x.ID
		s.byID[x.ID] = x
	}
	return s
}

// All returns all servers in order of their ids.
func (s *Servers) All() []backend.Server { return s.all }

// ByService returns the servers of a service.
func (s *Servers) ByService(name routing.ServiceName) []backend.Server { return s.byService[name] }

// Get returns the server with the id.
func (s *Servers) Get(id unit.BackendID) (backend.Server, bool) {
	x, ok := s.byID[id]
	return x, ok
}

// IDByAddress returns the id of the server at an address.
func (s *Servers) IDByAddress(a backend.Address) (unit.BackendID, bool) {
	id, ok := s.byAddress[a]
	return id, ok
}
