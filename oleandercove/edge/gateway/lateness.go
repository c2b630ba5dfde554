package gateway

import (
	"time"

	"oleandercove.example/core/routing"
)

// timing is what the caller of a stream waited for. Times count from the
// arrival of the request.
type timing struct {
	// first is the time of the first event, last that of the last one.
	first, last time.Duration
	// pause is the longest time between two events, and before is the id of the
	// event that ended it.
	pause  time.Duration
	before eventID
	// reroutes counts the changes of the chain while the stream ran.
	reroutes int
}

// event notes the time of an event.
func (t *timing) event(at time.Duration, id eventID) {
	if t.first == 0 {
		t.first, t.last = at, at
		return
	}
	if took := at - t.last; took > t.pause {
		t.pause, t.before = took, id
	}
	t.last = at
}

// late tells whether a stream missed the objectives of its route.
func (t *timing) late(r *routing.Route) bool {
	return (r.Objective > 0 && t.first > r.Objective) || (r.Pause > 0 && t.pause > r.Pause)
}
