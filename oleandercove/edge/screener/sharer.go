package screener

import (
	"context"
	"time"

	"oleandercove.example/oleandercove/quarantiner"
)

// gatherTime is how long marks are gathered before peers are told of them.
const gatherTime = 5 * time.Millisecond

// shared tells whether peers hear of a mark of a request with a number of marks. Most
// streams on an engine that ends are under way and go on elsewhere; they don't count
// until a second engine ends under them.
func shared(m quarantiner.Mark, marks int) bool { return marks > 1 || !m.Weak }

// withdraw lets peers drop a mark. The caller holds the lock.
func (s *Screener) withdraw(m quarantiner.Mark, now time.Time) {
	m.Cleared = true
	s.outbox.add(m, now)
}

// urge tells all peers at once, after the marks of one crash have been gathered.
func (s *Screener) urge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.urging || s.options.Urge == nil {
		return
	}
	s.urging = true
	go func() {
		_ = s.options.Timer.Sleep(context.Background(), gatherTime)
		s.mu.Lock()
		s.urging = false
		s.mu.Unlock()
		s.options.Urge()
	}()
}

// Marks returns what peers are told now: new marks and withdrawals for some time, and
// the marks of convicted requests as long as they last.
func (s *Screener) Marks(now time.Time) []quarantiner.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.outbox.current(now)
	convictions := s.marks.Convictions(now)
	for _, f := range convictions[:min(len(convictions), maxConvictions)] {
		out = append(out, s.marks.Marks(f)...)
	}
	return out
}

// Merge takes over marks and withdrawals of a peer. A mark of a request that has run
// to its end here lately is withdrawn.
func (s *Screener) Merge(marks []quarantiner.Mark) {
	now := s.options.Timer.Now()
	tell := false
	s.mu.Lock()
	for _, m := range marks {
		switch {
		case m.Cleared:
			s.outbox.remember(m, now)
			s.marks.Clear(m.Fingerprint, m.Crash)
		case s.outbox.withdrawn(m, now):
		case s.recent.has(m.Fingerprint, now):
			s.withdraw(m, now)
			tell = true
		case s.marks.Add(m, now):
			s.options.Log.Info("peer saw a backend server end under a request", "weak", m.Weak, "content", m.Fingerprint, "crash", m.Crash,
				"age", now.Sub(m.At), "marks", len(s.marks.Marks(m.Fingerprint)))
		}
	}
	s.mu.Unlock()
	if tell {
		s.urge()
	}
}
