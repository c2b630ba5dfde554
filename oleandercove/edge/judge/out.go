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
	// Backoff means that the server has asked for no requests for a time.
	Backoff Reason = "Backoff"
	// SlowStart means that this time has passed, and that the server has as many
	// requests of this daemon as it may have so far.
	SlowStart Reason = "SlowStart"
)

// Reasons are all reasons not to choose a server.
var Reasons = []Reason{Draining, Leaving, Down, Absent, Backoff, SlowStart}

const (
	// backoffSpread is the part of the stated time by which it is lengthened at random, so
	// that daemons which were turned away together don't return together, and
	// maxBackoffSpread bounds that.
	backoffSpread    = 0.1
	maxBackoffSpread = time.Second
	// firstLimit is how many requests at a time a server gets once it takes requests
	// again. The number doubles with each answer and in each limitInterval, up to fullLimit,
	// from where on it has no bound.
	firstLimit    = 1
	fullLimit     = 64
	limitInterval = 500 * time.Millisecond
)

// backoff is that a server wants no requests from this host.
type backoff struct {
	// born is the life of the server that said so.
	born      backend.Incarnation
	at, until time.Time
	// limit is how many requests at a time the server gets after that; 0 means no bound.
	limit int
}

// Backoff notes that a server has asked for no requests for a time. The random number is
// in [0, 1).
//
// Load pattern: servers under too much load turn all daemons away for the same time.
func (j *Judge) Backoff(s backend.Server, d time.Duration, random float64, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	spread := min(time.Duration(backoffSpread*float64(d)), maxBackoffSpread)
	until := now.Add(d + time.Duration(random*float64(spread)))
	r := j.of(s.ID)
	if r.backoff.born == s.Born && r.backoff.until.After(until) {
		return
	}
	r.backoff = backoff{born: s.Born, at: now, until: until, limit: firstLimit}
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
	sameLife := r.backoff.born == s.Born
	switch {
	case now.Before(r.downUntil):
		return Down, r.downUntil
	case now.Before(r.absentUntil):
		return Absent, r.absentUntil
	case sameLife && now.Before(r.backoff.until):
		// Answers to requests that were under way don't count.
		r.backoff.limit = firstLimit
		return Backoff, r.backoff.until
	case sameLife && running >= r.backoff.limitAt(now):
		return SlowStart, time.Time{}
	}
	return Chosen, time.Time{}
}

// limitAt returns how many requests at a time a server may have after a backoff.
func (b *backoff) limitAt(now time.Time) int {
	steps := int(now.Sub(b.until) / limitInterval)
	if b.limit == 0 || steps >= bits.Len(fullLimit) {
		return math.MaxInt
	}
	return b.limit << steps
}

// BackoffSince returns when a server asked for no requests.
func (j *Judge) BackoffSince(id unit.BackendID) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.ratings[id]; r != nil {
		return r.backoff.at
	}
	return time.Time{}
}

// answered lets a server that takes requests again have more of them.
func (r *rating) answered() {
	if r.backoff.limit == 0 {
		return
	}
	if r.backoff.limit *= 2; r.backoff.limit > fullLimit {
		r.backoff.limit = 0
	}
}
