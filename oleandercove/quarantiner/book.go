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
	// Weak marks count less: only the connection is known to have ended and not the
	// backend server, or the request had run there for some time.
	Weak bool
	At   time.Time
	// Cleared withdraws the mark, because the request passed its position on
	// another backend server.
	Cleared bool
}

const (
	// enoughCrashes convicts a request that has passed none of them, whoever else ran
	// there: no request may end more backend servers than that.
	enoughCrashes = 3
	// enoughMarks convicts a request with so many marks, weak ones included: a process
	// that is started again at once, or behind a proxy, can't be told from one that lives.
	enoughMarks = 5
	// maxRecords bounds the requests that are remembered. The crash of a large engine
	// leaves some hundred.
	maxRecords = 4096
)

// record holds the marks of one request.
type record struct {
	marks []Mark
	// poison is the time of the crash that convicted the request; it stays also after
	// the marks have expired.
	poison time.Time
}

// tally counts the requests that had two crashes when one of them was this
// crash. It never goes down, so that the last innocent request of a crash
// isn't convicted once the others have been cleared.
type tally struct {
	requests int
	at       time.Time
}

// Book holds the marks by request. It decides without clocks or locks of its
// own.
type Book struct {
	records map[Fingerprint]*record
	tallies map[CrashID]*tally
	pruned  time.Time
}

// NewBook returns a Book without marks.
func NewBook() *Book {
	return &Book{records: map[Fingerprint]*record{}, tallies: map[CrashID]*tally{}}
}

// Add stores a mark once and tells whether it is new. A request that crashed a
// backend server while it was the only suspect there, or enough of them, is convicted.
func (b *Book) Add(m Mark, now time.Time) bool {
	b.prune(now)
	r := b.records[m.Fingerprint]
	if r == nil {
		b.makeRoom()
		r = &record{}
		b.records[m.Fingerprint] = r
	}
	for i, old := range r.marks {
		if old.Crash != m.Crash {
			continue
		}
		if !old.Weak || m.Weak {
			return false
		}
		r.marks = slices.Delete(r.marks, i, i+1)
		break
	}
	r.marks = append(r.marks, m)
	if len(r.marks) >= enoughMarks {
		r.poison = m.At
	}
	ends := len(r.ends())
	if m.Weak || ends < 2 {
		return true
	}
	t := b.tallies[m.Crash]
	if t == nil {
		t = &tally{at: now}
		b.tallies[m.Crash] = t
	}
	t.requests++
	if m.Isolated || ends >= enoughCrashes {
		r.poison = m.At
	}
	return true
}

// ends returns the marks that are not weak.
func (r *record) ends() []Mark {
	return slices.DeleteFunc(slices.Clone(r.marks), func(m Mark) bool { return m.Weak })
}

// makeRoom drops a request that is not convicted once there are too many.
func (b *Book) makeRoom() {
	if len(b.records) < maxRecords {
		return
	}
	for f, r := range b.records {
		if r.poison.IsZero() {
			delete(b.records, f)
			return
		}
	}
}

// Convicted tells whether the request is poison: it was convicted before, or
// it is the only one with two crashes in its last crash. The marks of all
// requests of a crash arrive within SettleDelay.
func (b *Book) Convicted(f Fingerprint, now time.Time) bool {
	b.prune(now)
	r := b.records[f]
	if r == nil {
		return false
	}
	if ends := r.ends(); r.poison.IsZero() && len(ends) >= 2 {
		last := ends[len(ends)-1]
		t := b.tallies[last.Crash]
		if t != nil && t.requests == 1 && now.Sub(last.At) >= SettleDelay {
			r.poison = last.At
		}
	}
	return !r.poison.IsZero()
}

// Suspect tells whether the request must start alone.
func (b *Book) Suspect(f Fingerprint, now time.Time) bool {
	b.prune(now)
	r := b.records[f]
	if r == nil {
		return false
	}
	ends := r.ends()
	if len(ends) >= 2 {
		return true
	}
	for _, m := range ends {
		if !m.Progressed {
			return true
		}
	}
	return false
}

// Ends returns the marks of a request that are not weak, in the order of their arrival.
func (b *Book) Ends(f Fingerprint) []Mark {
	if r := b.records[f]; r != nil {
		return r.ends()
	}
	return nil
}

// Marks returns the marks of a request in the order of their arrival.
func (b *Book) Marks(f Fingerprint) []Mark {
	if r := b.records[f]; r != nil {
		return slices.Clone(r.marks)
	}
	return nil
}

// Convictions returns the requests that are known to be poison.
func (b *Book) Convictions(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f, r := range b.records {
		if len(r.marks) >= 2 && b.Convicted(f, now) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// Passed drops and returns the marks of a request that got beyond all its
// crashes. That lifts a conviction too, because a poison request can't get there.
func (b *Book) Passed(f Fingerprint, position int) []Mark {
	r := b.records[f]
	if r == nil {
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

// Clear drops one mark that a peer has withdrawn.
func (b *Book) Clear(f Fingerprint, c CrashID) {
	r := b.records[f]
	if r == nil {
		return
	}
	r.marks = slices.DeleteFunc(r.marks, func(m Mark) bool { return m.Crash == c })
	if len(r.marks) == 0 {
		delete(b.records, f)
	}
}

// prune drops what is older than the memory, at most once a minute.
func (b *Book) prune(now time.Time) {
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
