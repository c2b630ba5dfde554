package screener

import (
	"context"
	"time"

	"oleandercove.example/oleandercove/quarantiner"
)

// flushDelay is how long crash records are collected before they are sent to peers.
const flushDelay = 5 * time.Millisecond

// isShared reports whether a crash record is sent to peers, for a request that has this
// number of records. Most streams on an engine that crashes are under way and continue
// elsewhere; their weak records are kept local until a second engine crashes. A record with
// parts counts against these, so all daemons need it.
func isShared(rec quarantiner.CrashRecord, records int) bool {
	return records > 1 || !rec.Weak || len(rec.Parts) > 0
}

// withdraw queues the withdrawal of a record for peers. The caller holds the lock.
func (s *Screener) withdraw(rec quarantiner.CrashRecord, now time.Time) {
	rec.Cleared = true
	s.outbox.add(rec, now)
}

// flush sends pending updates to all peers after flushDelay, so that the records of one
// crash are sent together.
func (s *Screener) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flushPending || s.options.FlushNow == nil {
		return
	}
	s.flushPending = true
	go func() {
		_ = s.options.Timer.Sleep(context.Background(), flushDelay)
		s.mu.Lock()
		s.flushPending = false
		s.mu.Unlock()
		s.options.FlushNow()
	}()
}

// Records returns what is sent to peers now: new records and withdrawals for shareTime,
// and the records of quarantined requests as long as the quarantine lasts.
func (s *Screener) Records(now time.Time) []quarantiner.CrashRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := boundParts(s.outbox.pending(now))
	quarantined := s.history.Quarantined(now)
	for _, f := range quarantined[:min(len(quarantined), maxQuarantined)] {
		out = append(out, s.history.Records(f)...)
	}
	return out
}

// Merge applies the records and withdrawals received from a peer. A record of a request
// that has run to its end here within completedTime is withdrawn.
func (s *Screener) Merge(records []quarantiner.CrashRecord) {
	now := s.options.Timer.Now()
	share := false
	s.mu.Lock()
	for _, rec := range records {
		switch {
		case rec.Cleared:
			s.outbox.remember(rec, now)
			s.history.RemoveRecord(rec.Fingerprint, rec.Crash)
			s.parts.Remove(rec.Fingerprint, rec.Crash)
		case s.outbox.isWithdrawn(rec, now):
		case s.hasCompleted(rec.Fingerprint, now):
			s.withdraw(rec, now)
			share = true
		case s.history.Add(withoutParts(rec), now):
			s.partOutbox.add(s.parts.Add(rec, now), now)
			s.options.Log.Info("peer reported a backend server crash under a request", "weak", rec.Weak, "content", rec.Fingerprint, "crash", rec.Crash,
				"age", now.Sub(rec.At), "marks", len(s.history.Records(rec.Fingerprint)))
		}
	}
	s.mu.Unlock()
	if share {
		s.flush()
	}
}
