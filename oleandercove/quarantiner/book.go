package quarantiner

import (
	"slices"
	"time"
)

// Mark says that a request was running on a backend server that crashed.
type Mark struct {
	Fingerprint Fingerprint
	Crash       CrashID
	Position    int
	Progressed  bool
	Isolated    bool
	At          time.Time
	// Cleared withdraws the mark, because the request passed its position on
	// another backend server.
	Cleared bool
}

// record holds the marks of one request.
type record struct {
	marks []Mark
	// poison stays once it is set, also after the marks have expired.
	poison time.Time
}

// tally counts the requests that had two crashes when one of them was this
// crash. It never goes down, so that the last innocent request of a crash
// isn't convicted once the others have been cleared.
type tally struct {
	requests int
	at       time.Time
}

// book holds the marks by request. It decides without clocks or locks of its
// own.
type book struct {
	records map[Fingerprint]*record
	tallies map[CrashID]*tally
	pruned  time.Time
}

func newBook() *book {
	return &book{records: map[Fingerprint]*record{}, tallies: map[CrashID]*tally{}}
}

// add stores a mark once. A request that crashed a backend server while it was
// the only suspect there is convicted.
func (b *book) add(m Mark, now time.Time) {
	b.prune(now)
	r := b.records[m.Fingerprint]
	if r == nil {
		r = &record{}
		b.records[m.Fingerprint] = r
	}
	for _, old := range r.marks {
		if old.Crash == m.Crash {
			return
		}
	}
	r.marks = append(r.marks, m)
	if len(r.marks) < 2 {
		return
	}
	t := b.tallies[m.Crash]
	if t == nil {
		t = &tally{at: now}
		b.tallies[m.Crash] = t
	}
	t.requests++
	if m.Isolated {
		r.poison = now
	}
}

// convicted tells whether the request is poison: it was convicted before, or
// it is the only one with two crashes in its last crash. The marks of all
// requests of a crash arrive within settleDelay.
func (b *book) convicted(f Fingerprint, now time.Time) bool {
	b.prune(now)
	r := b.records[f]
	if r == nil {
		return false
	}
	if r.poison.IsZero() && len(r.marks) >= 2 {
		last := r.marks[len(r.marks)-1]
		t := b.tallies[last.Crash]
		if t != nil && t.requests == 1 && now.Sub(last.At) >= settleDelay {
			r.poison = now
		}
	}
	return !r.poison.IsZero()
}

// suspect tells whether the request must start alone.
func (b *book) suspect(f Fingerprint, now time.Time) bool {
	b.prune(now)
	r := b.records[f]
	if r == nil {
		return false
	}
	if len(r.marks) >= 2 {
		return true
	}
	for _, m := range r.marks {
		if !m.Progressed {
			return true
		}
	}
	return false
}

// passed drops and returns the marks of a request that got beyond all its
// crashes.
func (b *book) passed(f Fingerprint, position int) []Mark {
	r := b.records[f]
	if r == nil || !r.poison.IsZero() {
		return nil
	}
	for _, m := range r.marks {
		if position <= m.Position+1 {
			return nil
		}
	}
	delete(b.records, f)
	return r.marks
}

// clear drops one mark that a peer has withdrawn.
func (b *book) clear(f Fingerprint, c CrashID) {
	r := b.records[f]
	if r == nil {
		return
	}
	r.marks = slices.DeleteFunc(r.marks, func(m Mark) bool { return m.Crash == c })
	if len(r.marks) == 0 && r.poison.IsZero() {
		delete(b.records, f)
	}
}

// prune drops what is older than the memory, at most once a minute.
func (b *book) prune(now time.Time) {
	if now.Sub(b.pruned) < time.Minute {
		return
	}
	b.pruned = now
	for f, r := range b.records {
		kept := r.marks[:0]
		for _, m := range r.marks {
			if now.Sub(m.At) < memory {
				kept = append(kept, m)
			}
		}
		r.marks = kept
		if len(kept) == 0 && now.Sub(r.poison) >= memory {
			delete(b.records, f)
		}
	}
	for c, t := range b.tallies {
		if now.Sub(t.at) >= memory {
			delete(b.tallies, c)
		}
	}
}
