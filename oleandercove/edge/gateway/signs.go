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
)

// noteSigns takes over what a backend server says of itself in a response.
func (j *job) noteSigns(id unit.BackendID, a backend.Answer) {
	if !a.Leaving && a.Backoff == 0 {
		return
	}
	s, ok := j.Directory.Servers().Get(id)
	if !ok {
		return
	}
	now := j.Timer.Now()
	if a.Leaving && j.Directory.NoteLeaving(directory.LeavingNotice{Server: id, Born: s.Born, At: now}, true, now) {
		j.Left()
	}
	if a.Backoff > 0 {
		j.Judge.Backoff(s, a.Backoff, rand.Float64(), now)
		j.Log.Info("backend server wants no requests", "id", j.call.Request, "server", id, "for", a.Backoff)
	}
}

// exclusions are why a request is not sent to backend servers that live.
type exclusions struct {
	// backoff is the server that wants requests again first, until the time at which it
	// does, and since when it asked for none.
	backoff      unit.BackendID
	since, until time.Time
	// leaving is a server that says that it leaves.
	leaving      unit.BackendID
	leavingSince time.Time
}

// note takes over that a server is out.
func (k *exclusions) note(s backend.Server, r judge.Reason, since, until time.Time) {
	switch {
	case r == judge.Leaving:
		k.leaving, k.leavingSince = s.ID, s.LeavingSince
	case r == judge.Backoff && (k.backoff == "" || until.Before(k.until)):
		k.backoff, k.since, k.until = s.ID, since, until
	}
}

// explain adds to a refusal what servers said of themselves, and lets the caller come
// back when the first of them wants requests again.
func (k *exclusions) explain(err *verdict.Error, now time.Time) *verdict.Error {
	e := *err
	if k.leaving != "" {
		e.Detail += fmt.Sprintf("; %s said %s ago that it leaves", k.leaving, now.Sub(k.leavingSince).Round(time.Millisecond))
	}
	if k.backoff != "" {
		e.Detail += fmt.Sprintf("; %s asked %s ago for no requests, for %s more", k.backoff,
			now.Sub(k.since).Round(time.Millisecond), k.until.Sub(now).Round(time.Millisecond))
		e.RetryAfter = k.until.Sub(now)
	}
	return &e
}
