package directory

import (
	"math"
	"time"

	"oleandercove.example/core/unit"
)

const (
	// outageAge is the time without any answer of the store after which entries may have
	// lapsed because it was unavailable; an entry lapses after three missed heartbeats.
	outageAge = 2 * time.Second
	// reregistrationTime is how long servers whose entries lapsed while the store was
	// unavailable may take to register again once it is back.
	reregistrationTime = 2500 * time.Millisecond
)

// View is how current a source's list of backend servers is. Times are on the clock of this
// daemon.
type View struct {
	// Revision is the revision of the store up to which the source knows all changes. It is
	// unknown if the source is a daemon of an older version, which doesn't state it.
	Revision unit.Revision
	// At is the latest time at which the list is known to have been current.
	At time.Time
	// Since is the time since which the store has answered some daemon at least once in
	// each outageAge. Zero means that the source knows of no earlier answer.
	Since time.Time
	// EraSince is the earliest time at which a daemon is known to have known the era of the revision;
	// zero if the store sent the list.
	EraSince time.Time
	// Peer sent the list; it is empty if the store did.
	Peer unit.HostID
}

// revision returns the revision to compare with others: an unknown one counts as the
// newest of its era.
func (v View) revision() unit.Revision {
	if v.Revision.IsUnknown() {
		return unit.Revision{Era: v.Revision.Era, Number: math.MaxUint64}
	}
	return v.Revision
}

// knownOr returns a revision, or another one if it is unknown.
func knownOr(r, other unit.Revision) unit.Revision {
	if r.IsUnknown() {
		return other
	}
	return r
}

// coverage tracks when the store has answered any daemon, as far as this one knows. A gap in
// what this daemon knows is an outage of the store only if no other daemon got answers
// meanwhile: otherwise this one was paused, cut off or rejected, and the entries that have
// gone were removed.
type coverage struct {
	// since is when the store began to answer some daemon at least once in each outageAge;
	// at is the latest time at which the registry is known.
	since, at time.Time
	// lostAt is where the last gap began, zero if there was none.
	lostAt time.Time
}

// confirm records a view that this daemon got now.
func (c *coverage) confirm(v View, now time.Time) {
	since := v.Since
	if since.IsZero() || since.After(now) {
		since = now
	}
	isGap := !c.at.IsZero() && v.At.Sub(c.at) > outageAge
	if isGap {
		c.lostAt = c.at
	}
	if isGap || c.at.IsZero() || since.Before(c.since) {
		c.since = since
	}
	if v.At.After(c.at) {
		c.at = v.At
	}
}

// holdUntil returns the time until which lapsed entries are kept: reregistrationTime after
// the end of an outage. It is in the past, or zero, if they are not.
func (c *coverage) holdUntil() time.Time {
	if c.lostAt.IsZero() || !c.since.After(c.lostAt.Add(outageAge)) {
		return time.Time{}
	}
	return c.since.Add(reregistrationTime)
}

// isLost reports whether the registry has not been known for outageAge.
func (c *coverage) isLost(now time.Time) bool { return now.Sub(c.at) > outageAge }

// length returns the time from the beginning of the coverage to now; 0 if nothing is known.
func (c *coverage) length(now time.Time) time.Duration {
	if c.at.IsZero() {
		return 0
	}
	return now.Sub(c.since)
}
