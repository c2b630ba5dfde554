package unit

import (
	"cmp"
	"encoding/json"
	"strconv"
)

// Era counts how often the platform's store has come back from a copy. The store then lacks its
// last changes, and gives out their numbers again. 0 means that the era is unknown: the store, or
// a daemon of an earlier build, doesn't state it.
type Era uint64

// Revision is a point in the history of all platform objects: the era of the store, and the
// number of the change within it. It is the only order of what comes from the store. Numbers of
// different eras must not be compared, so code compares revisions by Compare, Before and After.
//
// In JSON a Revision is its number, as the store writes it; the era travels beside the body.
type Revision struct {
	Era    Era
	Number uint64
}

// Compare returns -1 if r is before o, 1 if r is after o and 0 if they are equal: any revision of
// a later era is after all those of an earlier one.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r is before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// After reports whether r is after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// IsUnknown reports whether r has no number, as that of an object which doesn't exist.
func (r Revision) IsUnknown() bool { return r.Number == 0 }

// LaterRevision returns the later of two revisions.
func LaterRevision(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// MarshalJSON returns the number.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.Number) }

// UnmarshalJSON reads the number and leaves the era as it is.
func (r *Revision) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &r.Number) }

// String returns the number, behind the era if that is known.
func (r Revision) String() string {
	n := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return n
	}
	return strconv.FormatUint(uint64(r.Era), 10) + "/" + n
}
