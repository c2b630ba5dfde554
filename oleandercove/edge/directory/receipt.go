package directory

import (
	"time"

	"oleandercove.example/core/unit"
)

// Receipt is where a view of the store came from and when. Times are on the clock of this
// daemon.
type Receipt struct {
	// Peer sent the view; it is empty if the store did.
	Peer unit.HostID
	// At is the latest time at which the view is known to have been current.
	At time.Time
	// Requested and Received are the times of the request and of its whole answer.
	Requested, Received time.Time
}

// source returns the source for log lines.
func (r Receipt) source() string { return sourceName(r.Peer) }

// age returns the age of the view when it was received.
func (r Receipt) age() time.Duration { return r.Received.Sub(r.At) }

// transferTime returns the time from the request to the whole answer.
func (r Receipt) transferTime() time.Duration { return r.Received.Sub(r.Requested) }

// sourceName returns the name of a source for log lines: that of the peer, or "store".
func sourceName(host unit.HostID) string {
	if host == "" {
		return "store"
	}
	return string(host)
}
