package judge

import (
	"math"
	"math/bits"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

// Reason is why a server is not chosen.
type Reason string

const (
	// Chosen means that nothing speaks against the server.
	Chosen Reason = ""
	// Draining means that the registry says that the server takes no new work.
	Draining Reason = "Draining"
	// Leaving means that the server itself says so.
	Leaving Reason = "Leaving"
	// Down means that the server does not answer.
	Down Reason = "Down"
	// Absent means that an engine does not hold the layers that the registry shows.
	Absent Reason = "Absent"
	// Away means that the server has asked for no requests for a time.
	Away Reason = "Away"
	// Returning means that this time has passed, and that the server has as many
	// requests of this daemon as it may have so far.
	Returning Reason = "Returning"
)

// Reasons are all reasons not to choose a server.
var Reasons = []Reason{Draining, Leaving, Down, Absent, Away, Returning}

const (
	// awaySpread is the part of the stated time by which it is lengthened at random, so
	// that daemons which were turned away together don't return together, and
	// maxAwaySpread bounds that.
	awaySpread    = 0.1
	maxAwaySpread = time.Second
	// firstReturns is how many requests at a time a server gets once it takes requests
	// again. The number doubles with each answer and in each returnTime, up to returned,
	// from where on it has no bound.
	firstReturns = 1
	returned     = 64
	returnTime   = 500 * time.Millisecond
)

// away is that a server wants no requests from this host.
type away struct {
	// born is the life of the server that said so.
	born      backend.Incarnation
	at, until time.Time
	// returns is how many requests at a time the server gets after that; 0 has no bound.
	returns int
}

// Away notes that a server has asked for no requests for a time. The random number is
// in [0, 1).
//
// Load pattern: servers under too much load turn all daemons away for the same time.
func (j *Judge) Away(s backend.Server, d time.Duration, random float64, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	spread := min(time.Duration(awaySpread*float64(d)), maxAwaySpread)
	until := now.Add(d + time.Duration(random*float64(spread)))
	r := j.of(s.ID)
	if r.away.born == s.Born && r.away.until.After(until) {
		return
	}
	r.away = away{born: s.Born, at: now, until: until, returns: firstReturns}
}

// Out tells why a server is not chosen for a new request, and until when that holds as
// far as it is known. The number is that of the requests of this daemon that the server
// has now.
func (j *Judge) Out(s backend.Server, running int, now time.Time) (Reason, time.Time) {
	switch {
	case !s.LeavingSince.IsZero():
		return Leaving, time.Time{}
	case s.Draining:
		return Draining, time.Time{}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratings[s.ID]
	if r == nil {
		return Chosen, time.Time{}
	}
	sameLife := r.away.born == s.Born
	switch {
	case now.Before(r.downUntil):
		return Down, r.downUntil
	case now.Before(r.absentUntil):
		return Absent, r.absentUntil
	case sameLife && now.Before(r.away.until):
		return Away, r.away.until
	case sameLife && running >= r.away.bound(now):
		return Returning, time.Time{}
	}
	return Chosen, time.Time{}
}

// bound returns how many requests at a time a server may have after it was away.
func (a *away) bound(now time.Time) int {
	steps := int(now.Sub(a.until) / returnTime)
	if a.returns == 0 || steps >= bits.Len(returned) {
		return math.MaxInt
	}
	return a.returns << steps
}

// AwaySince returns when a server asked for no requests.
func (j *Judge) AwaySince(id unit.BackendID) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.ratings[id]; r != nil {
		return r.away.at
	}
	return time.Time{}
}

// answered lets a server that takes requests again have more of them.
func (r *rating) answered() {
	if r.away.returns == 0 {
		return
	}
	if r.away.returns *= 2; r.away.returns > returned {
		r.away.returns = 0
	}
}
