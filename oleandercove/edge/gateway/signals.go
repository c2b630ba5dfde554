package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/throttler"
)

// handleSignals records the signals of a backend server in the response to a request that was
// sent at a time: that it is leaving, that it requests a backoff, and the limit that it names.
func (j *job) handleSignals(id unit.BackendID, a backend.ResponseMetadata, sentAt time.Time) {
	s, ok := j.Directory.Servers().Get(id)
	if !ok {
		return
	}
	if a.Limited || a.Signed {
		j.Throttler.Observe(s, throttler.Observation{Limited: a.Limited, Limit: a.Limit, SentAt: sentAt})
	}
	now := j.Timer.Now()
	if a.Leaving && j.Directory.RecordLeaving(directory.LeavingNotice{Server: id, Born: s.Born, At: now}, true, now) {
		j.OnLeaving()
	}
	if a.Backoff > 0 {
		j.Judge.SetBackoff(s, a.Backoff, rand.Float64(), now)
		j.Log.Info("backend server wants no requests", "id", j.call.Request, "server", id, "for", a.Backoff)
	}
}

// exclusions records why live backend servers were not chosen for a request.
type exclusions struct {
	// backoff is the server whose backoff ends first, at backoffUntil; it requested the
	// backoff at backoffSince.
	backoff                    unit.BackendID
	backoffSince, backoffUntil time.Time
	// limited is a server that names a limit, of which this daemon has its next share at
	// limitedUntil; a zero time if it has none.
	limited      unit.BackendID
	limitedUntil time.Time
	// leaving is a server that has given notice that it is leaving.
	leaving      unit.BackendID
	leavingSince time.Time
}

// add records that a server was not chosen.
func (x *exclusions) add(s backend.Server, r judge.Reason, since, until time.Time) {
	switch {
	case r == judge.Leaving:
		x.leaving, x.leavingSince = s.ID, s.LeavingSince
	case r == judge.Backoff && (x.backoff == "" || until.Before(x.backoffUntil)):
		x.backoff, x.backoffSince, x.backoffUntil = s.ID, since, until
	}
}

// addLimited records that a server was not chosen because of the limit that it names.
func (x *exclusions) addLimited(s backend.Server, until time.Time) {
	if x.limited == "" || x.limitedUntil.IsZero() || (!until.IsZero() && until.Before(x.limitedUntil)) {
		x.limited, x.limitedUntil = s.ID, until
	}
}

// explain returns the refusal with the signals of the excluded servers added to its
// detail. Its RetryAfter is the time until the first backoff ends or the next request may be
// sent to a limited server, if that is known.
func (x *exclusions) explain(err *verdict.Error, now time.Time) *verdict.Error {
	e := *err
	if x.leaving != "" {
		e.Detail += fmt.Sprintf("; %s said %s ago that it leaves", x.leaving, now.Sub(x.leavingSince).Round(time.Millisecond))
	}
	if x.backoff != "" {
		e.Detail += fmt.Sprintf("; %s asked %s ago for no requests, for %s more", x.backoff,
			now.Sub(x.backoffSince).Round(time.Millisecond), x.backoffUntil.Sub(now).Round(time.Millisecond))
		e.RetryAfter = x.backoffUntil.Sub(now)
	}
	if x.limited != "" {
		e.Detail += fmt.Sprintf("; %s names a limit of requests, which is used up", x.limited)
		if wait := x.limitedUntil.Sub(now); !x.limitedUntil.IsZero() && (x.backoff == "" || wait < e.RetryAfter) {
			e.RetryAfter = wait
		}
	}
	return &e
}
