package quarantiner

import (
	"slices"
	"time"
)

// Mark is a crash record: a request was running on a backend server that crashed.
type Mark struct {
	Fingerprint Fingerprint
	Crash       CrashID
	// Position, Progressed and Isolated are as in Crash.
	Position   int
	Progressed bool
	Isolated   bool
	// Weak records count less: only the connection is known to have broken, or the
	// request had run on the backend server for some time.
	Weak bool
	At   time.Time
	// Cleared withdraws the record, because the request passed its position on
	// another backend server.
	Cleared bool
}

const (
	// quarantineCrashes is the number of strong records that quarantine a request,
	// whichever other requests ran there: no request may crash more backend servers.
	quarantineCrashes = 3
	// quarantineRecords is the number of records, weak ones included, that quarantine a
	// request. A crashed process that restarts at once, or that is behind a proxy, can't
	// be distinguished from a running one.
	quarantineRecords = 5
	// maxRequests bounds the requests with records. The crash of a large engine adds
	// several hundred.
	maxRequests = 4096
)

// requestHistory holds the crash records of one request.
type requestHistory struct {
	records []Mark
	// quarantinedAt is the time of the crash that quarantined the request. It stays set
	// after the records have expired.
	quarantinedAt time.Time
}

// tally counts the requests for which this crash was the second strong record or a later
// one. It never decreases, so that the last harmless request of a crash isn't
// quarantined once the others have been cleared.
type tally struct {
	requests int
	at       time.Time
}

// Book holds the crash records by request and decides which requests are quarantined. It
// has no clock and no lock: the caller passes the time and synchronises calls.
type Book struct {
	histories map[Fingerprint]*requestHistory
	tallies   map[CrashID]*tally
	prunedAt  time.Time
}

// NewBook returns a Book without records.
func NewBook() *Book {
	return &Book{histories: map[Fingerprint]*requestHistory{}, tallies: map[CrashID]*tally{}}
}

// Add stores a record and reports whether it is new. There is one record for each request
// and crash; a strong record replaces a weak one. Add quarantines a request that crashed
// a backend server while it was the only suspect there, or that has enough records.
func (b *Book) Add(rec Mark, now time.Time) bool {
	b.prune(now)
	r := b.histories[rec.Fingerprint]
	if r == nil {
		b.evictOne()
		r = &requestHistory{}
		b.histories[rec.Fingerprint] = r
	}
	for i, old := range r.records {
		if old.Crash != rec.Crash {
			continue
		}
		if !old.Weak || rec.Weak {
			return false
		}
		r.records = slices.Delete(r.records, i, i+1)
		break
	}
	r.records = append(r.records, rec)
	if len(r.records) >= quarantineRecords {
		r.quarantinedAt = rec.At
	}
	strong := len(r.strong())
	if rec.Weak || strong < 2 {
		return true
	}
	t := b.tallies[rec.Crash]
	if t == nil {
		t = &tally{at: now}
		b.tallies[rec.Crash] = t
	}
	t.requests++
	if rec.Isolated || strong >= quarantineCrashes {
		r.quarantinedAt = rec.At
	}
	return true
}

// strong returns the records that are not weak.
func (r *requestHistory) strong() []Mark {
	return slices.DeleteFunc(slices.Clone(r.records), func(m Mark) bool { return m.Weak })
}

// evictOne removes a request that is not quarantined if maxRequests is reached.
func (b *Book) evictOne() {
	if len(b.histories) < maxRequests {
		return
	}
	for f, r := range b.histories {
		if r.quarantinedAt.IsZero() {
			delete(b.histories, f)
			return
		}
	}
}

// Convicted reports whether the request is quarantined as poison: it was quarantined
// before, or it is the only request with two strong records in its last crash. The
// records of all requests of a crash arrive within SettleDelay.
func (b *Book) Convicted(f Fingerprint, now time.Time) bool {
	b.prune(now)
	r := b.histories[f]
	if r == nil {
		return false
	}
	if strong := r.strong(); r.quarantinedAt.IsZero() && len(strong) >= 2 {
		last := strong[len(strong)-1]
		t := b.tallies[last.Crash]
		if t != nil && t.requests == 1 && now.Sub(last.At) >= SettleDelay {
			r.quarantinedAt = last.At
		}
	}
	return !r.quarantinedAt.IsZero()
}

// Suspect reports whether the request must start as the only suspect on its backend
// servers.
func (b *Book) Suspect(f Fingerprint, now time.Time) bool {
	b.prune(now)
	r := b.histories[f]
	if r == nil {
		return false
	}
	strong := r.strong()
	if len(strong) >= 2 {
		return true
	}
	for _, m := range strong {
		if !m.Progressed {
			return true
		}
	}
	return false
}

// Ends returns the strong records of a request in the order of their arrival.
func (b *Book) Ends(f Fingerprint) []Mark {
	if r := b.histories[f]; r != nil {
		return r.strong()
	}
	return nil
}

// Marks returns the records of a request in the order of their arrival.
func (b *Book) Marks(f Fingerprint) []Mark {
	if r := b.histories[f]; r != nil {
		return slices.Clone(r.records)
	}
	return nil
}

// Convictions returns the quarantined requests that have two records or more.
func (b *Book) Convictions(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f, r := range b.histories {
		if len(r.records) >= 2 && b.Convicted(f, now) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// Passed removes and returns the records of a request that got beyond the positions of
// all its crashes. That ends a quarantine too, because a poison request can't get there.
func (b *Book) Passed(f Fingerprint, position int) []Mark {
	r := b.histories[f]
	if r == nil {
		return nil
	}
	for _, m := range r.records {
		if position <= m.Position+1 {
			return nil
		}
	}
	delete(b.histories, f)
	return r.records
}

// Clear removes one record that a peer has withdrawn.
func (b *Book) Clear(f Fingerprint, c CrashID) {
	r := b.histories[f]
	if r == nil {
		return
	}
	r.records = slices.DeleteFunc(r.records, func(m Mark) bool { return m.Crash == c })
	if len(r.records) == 0 {
		delete(b.histories, f)
	}
}

// prune removes what is older than recordTTL, at most once a minute.
func (b *Book) prune(now time.Time) {
	if now.Sub(b.prunedAt) < time.Minute {
		return
	}
	b.prunedAt = now
	for f, r := range b.histories {
		kept := r.records[:0]
		for _, m := range r.records {
			if now.Sub(m.At) < recordTTL {
				kept = append(kept, m)
			}
		}
		r.records = kept
		if len(kept) == 0 && now.Sub(r.quarantinedAt) >= recordTTL {
			delete(b.histories, f)
		}
	}
	for c, t := range b.tallies {
		if now.Sub(t.at) >= recordTTL {
			delete(b.tallies, c)
		}
	}
}
