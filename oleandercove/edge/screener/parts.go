package screener

import (
	"fmt"
	"time"

	"oleandercove.example/oleandercove/quarantiner"
)

const (
	// PassTime is how long a backend server must keep running after it has begun to answer a
	// request, until the parts of its prompt have passed.
	PassTime = 500 * time.Millisecond
	// setInterval is the time between two beacons with the poison sets.
	setInterval = time.Second
	// maxPasses bounds the passes in one beacon, maxBeaconParts the parts of crash records.
	maxPasses      = 64
	maxBeaconParts = quarantiner.MaxRecordParts
)

// PartUpdate is what daemons exchange of parts, beside the crash records that have them.
type PartUpdate struct {
	Passes []quarantiner.PartPass
	Sets   []quarantiner.PoisonSet
}

// partOutbox holds the passes to send to peers.
type partOutbox struct {
	passes []sharedPass
	// setsSentAt is when the poison sets were last sent. They are sent in each beacon until
	// setsNewUntil.
	setsSentAt, setsNewUntil time.Time
}

// sharedPass is a pass that is sent to peers until a time.
type sharedPass struct {
	pass  quarantiner.PartPass
	until time.Time
}

func (o *partOutbox) add(passes []quarantiner.PartPass, now time.Time) {
	for _, p := range passes {
		o.passes = append(o.passes, sharedPass{p, now.Add(shareTime)})
	}
	o.passes = o.passes[max(0, len(o.passes)-maxPasses):]
}

// pending returns the passes to send now.
func (o *partOutbox) pending(now time.Time) []quarantiner.PartPass {
	kept, out := o.passes[:0], []quarantiner.PartPass(nil)
	for _, p := range o.passes {
		if now.Before(p.until) {
			kept, out = append(kept, p), append(out, p.pass)
		}
	}
	o.passes = kept
	return out
}

// Pass records that a backend server has kept running since it began to answer a request: for
// PassTime, or until the answer was complete.
func (s *Screener) Pass(id Identity) {
	if len(id.Parts) == 0 {
		return
	}
	now := s.options.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partOutbox.add(s.parts.Pass(id.Parts, now), now)
}

// HasPoisonPart reports whether the parts of the request's prompt contain a poison set.
func (s *Screener) HasPoisonPart(id Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.parts.Match(id.Parts, s.options.Timer.Now())
	return ok
}

// evaluateParts looks for poison parts if crashes are due for that. The caller holds the lock.
func (s *Screener) evaluateParts(now time.Time) {
	if !s.parts.Due(now) {
		return
	}
	added, share := s.parts.Evaluate(now)
	s.partOutbox.add(share, now)
	for _, set := range added {
		s.options.Log.Warn("prompt parts quarantined", "parts", fmt.Sprint(set.Parts), "weight", set.Weight)
	}
	if len(added) > 0 {
		s.setsChanged(now)
	}
}

// setsChanged sends the poison sets with the next beacons, and reports them to OnPoison. The
// caller holds the lock.
func (s *Screener) setsChanged(now time.Time) {
	s.partOutbox.setsNewUntil = now.Add(shareTime)
	if s.options.OnPoison != nil {
		go s.options.OnPoison()
	}
}

// PartUpdate returns what is sent to peers now about parts: new passes for shareTime, and the
// poison sets every setInterval as long as they last.
func (s *Screener) PartUpdate(now time.Time) PartUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluateParts(now)
	u := PartUpdate{Passes: s.partOutbox.pending(now)}
	if o := &s.partOutbox; now.Before(o.setsNewUntil) || now.Sub(o.setsSentAt) >= setInterval {
		u.Sets = s.parts.Sets(now)
		o.setsSentAt = now
	}
	return u
}

// MergeParts applies the update of a peer. What is new is passed on, because a daemon of a
// large fleet sends each beacon to some of its peers only.
func (s *Screener) MergeParts(u PartUpdate) {
	now := s.options.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range u.Passes {
		if s.parts.MergePass(p, now) {
			s.partOutbox.add([]quarantiner.PartPass{p}, now)
		}
	}
	for _, set := range u.Sets {
		added, share := s.parts.MergeSet(set, now)
		s.partOutbox.add(share, now)
		if added {
			s.options.Log.Info("peer quarantined prompt parts", "parts", fmt.Sprint(set.Parts), "weight", set.Weight)
			s.setsChanged(now)
		}
	}
}

// PartCase is a set of parts of prompts that is quarantined.
type PartCase struct {
	// Parts are the keys of the parts in hexadecimal.
	Parts []string
	// Age is the time since the last crash, in nanoseconds.
	Age time.Duration
}

// PartCases returns the parts of prompts that are quarantined.
func (s *Screener) PartCases() []PartCase {
	now := s.options.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []PartCase
	for _, set := range s.parts.Sets(now) {
		c := PartCase{Age: now.Sub(set.At)}
		for _, p := range set.Parts {
			c.Parts = append(c.Parts, p.String())
		}
		out = append(out, c)
	}
	return out
}

// withoutParts returns the record as it is kept for the content alone.
func withoutParts(rec quarantiner.CrashRecord) quarantiner.CrashRecord {
	rec.Parts = nil
	return rec
}

// boundParts removes the parts of records beyond maxBeaconParts.
func boundParts(records []quarantiner.CrashRecord) []quarantiner.CrashRecord {
	left := maxBeaconParts
	for i := len(records) - 1; i >= 0; i-- {
		if n := len(records[i].Parts); n > left {
			records[i].Parts = nil
		} else {
			left -= n
		}
	}
	return records
}

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 8

// loggedParts returns the first parts in hexadecimal.
func loggedParts(parts []quarantiner.PartKey) string {
	return fmt.Sprint(parts[:min(len(parts), maxLoggedParts)])
}
