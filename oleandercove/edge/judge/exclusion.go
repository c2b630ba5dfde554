package judge

import (
	"math"
	"math/bits"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

// Reason is why a server is excluded.
type Reason string

const (
	// Eligible means that the server may be chosen.
	Eligible Reason = ""
	// Draining means that the server accepts no new requests, according to the registry.
	Draining Reason = "Draining"
	// Leaving means that the server itself announced that it shuts down.
	Leaving Reason = "Leaving"
	// Down means that the server does not answer.
	Down Reason = "Down"
	// Absent means that an engine does not hold the layers that the registry shows.
	Absent Reason = "Absent"
	// Backoff means that the server asked for no requests for a stated time.
	Backoff Reason = "Backoff"
	// SlowStart means that the stated time has passed, and that this daemon has as many
	// requests on the server as the slow start allows so far.
	SlowStart Reason = "SlowStart"
)

// Reasons are all reasons to exclude a server.
var Reasons = []Reason{Draining, Leaving, Down, Absent, Backoff, SlowStart}

const (
	// backoffJitter is the largest share of the stated time that is added to it at
	// random, so that daemons which were rejected together don't return together.
	// maxBackoffJitter bounds the addition.
	backoffJitter    = 0.1
	maxBackoffJitter = time.Second
	// slowStartMin is the limit of concurrent requests of this daemon on a server after
	// a backoff. The limit doubles with each response and in each slowStartInterval.
	// Beyond slowStartMax there is no limit.
	slowStartMin      = 1
	slowStartMax      = 64
	slowStartInterval = 500 * time.Millisecond
)

// backoff is a period in which a server wants no requests from this host, and the slow
// start after it.
type backoff struct {
	// instance is the instance of the server that asked for the backoff.
	instance  backend.Incarnation
	at, until time.Time
	// limit is the number of concurrent requests at the start of the slow start; 0
	// means no limit.
	limit int
}

// SetBackoff records that a server asked for no requests for the time d, which is
// lengthened by a jitter in proportion to random, a number in [0, 1). An earlier backoff
// of the same instance that ends later stays in force.
//
// Load pattern: overloaded servers reject all daemons for the same time.
func (j *Judge) SetBackoff(s backend.Server, d time.Duration, random float64, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	jitter := min(time.Duration(backoffJitter*float64(d)), maxBackoffJitter)
	until := now.Add(d + time.Duration(random*float64(jitter)))
	r := j.ratingFor(s.ID)
	if r.backoff.instance == s.Born && r.backoff.until.After(until) {
		return
	}
	r.backoff = backoff{instance: s.Born, at: now, until: until, limit: slowStartMin}
}

// ExclusionReason returns why a server is excluded from a new request, Eligible if it
// isn't, and until when; a zero time if the end is not known. The number running counts
// the requests of this daemon on the server.
func (j *Judge) ExclusionReason(s backend.Server, running int, now time.Time) (Reason, time.Time) {
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
		return Eligible, time.Time{}
	}
	sameInstance := r.backoff.instance == s.Born
	switch {
	case now.Before(r.downUntil):
		return Down, r.downUntil
	case now.Before(r.absentUntil):
		return Absent, r.absentUntil
	case sameInstance && now.Before(r.backoff.until):
		// Responses to requests sent before the backoff don't raise the limit.
		r.backoff.limit = slowStartMin
		return Backoff, r.backoff.until
	case sameInstance && running >= r.backoff.limitAt(now):
		return SlowStart, time.Time{}
	}
	return Eligible, time.Time{}
}

// limitAt returns how many concurrent requests a server may have after a backoff.
func (b *backoff) limitAt(now time.Time) int {
	steps := int(now.Sub(b.until) / slowStartInterval)
	if b.limit == 0 || steps >= bits.Len(slowStartMax) {
		return math.MaxInt
	}
	return b.limit << steps
}

// BackoffSince returns when a server last asked for a backoff; a zero time if it never
// did.
func (j *Judge) BackoffSince(id unit.BackendID) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.ratings[id]; r != nil {
		return r.backoff.at
	}
	return time.Time{}
}

// raiseLimit doubles the slow start limit after a response.
func (r *rating) raiseLimit() {
	if r.backoff.limit == 0 {
		return
	}
	if r.backoff.limit *= 2; r.backoff.limit > slowStartMax {
		r.backoff.limit = 0
	}
}
