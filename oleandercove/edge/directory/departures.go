package directory

import (
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

const (
	// departureMemory is how long a removed server is remembered. A copy of the store is some
	// seconds old.
	departureMemory = time.Minute
	// copyDistrustTime is longer than the store lists a server that has left: its entry is removed
	// after three missed heartbeats.
	copyDistrustTime = 10 * time.Second
)

// departure is the removal of one instance of a server.
type departure struct {
	born backend.Incarnation
	at   time.Time
}

// departures holds the servers that were removed within departureMemory. A store that comes back
// from a copy may list them as before.
type departures map[unit.BackendID]departure

// add records that a server was removed, and forgets those that were removed long ago.
func (m departures) add(s backend.Server, now time.Time) {
	for id, x := range m {
		if now.Sub(x.at) > departureMemory {
			delete(m, id)
		}
	}
	m[s.ID] = departure{born: s.Born, at: now}
}

// has reports whether the instance of a server was removed within departureMemory.
func (m departures) has(s backend.Server, now time.Time) bool {
	x, ok := m[s.ID]
	return ok && x.born == s.Born && now.Sub(x.at) <= departureMemory
}
