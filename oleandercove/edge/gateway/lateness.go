package gateway

import (
	"time"

	"oleandercove.example/core/routing"
)

// timing holds the times for which the caller of a stream waited. Times count from the
// arrival of the request.
type timing struct {
	// firstEvent is the time of the first event, lastEvent that of the last one.
	firstEvent, lastEvent time.Duration
	// longestGap is the longest time between two events, and gapEnd is the id of
	// the event that ended it.
	longestGap time.Duration
	gapEnd     eventID
	// reroutes counts the changes of the chain while the stream ran.
	reroutes int
}

// addEvent records the time of an event.
func (t *timing) addEvent(at time.Duration, id eventID) {
	if t.firstEvent == 0 {
		t.firstEvent, t.lastEvent = at, at
		return
	}
	if gap := at - t.lastEvent; gap > t.longestGap {
		t.longestGap, t.gapEnd = gap, id
	}
	t.lastEvent = at
}

// isLate reports whether a stream missed the objectives of its route.
func (t *timing) isLate(r *routing.Route) bool {
	return (r.Objective > 0 && t.firstEvent > r.Objective) || (r.MaxEventGap > 0 && t.longestGap > r.MaxEventGap)
}
