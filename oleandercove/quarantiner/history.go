package quarantiner

import (
	"slices"
	"time"
)

// CrashRecord records that a request was running on a backend server when that crashed
// or its connection to it broke.
type CrashRecord struct {
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
	// Parts are the shared parts of the prompt, sorted, if the request had not passed on that
	// backend server; see PartHistory.
	Parts []PartKey
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
	records []CrashRecord
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

// History holds the crash records by request and decides which requests are quarantined.
// It has no clock and no lock: the caller passes the time and synchronises calls.
type History struct {
	histories map[Fingerprint]*requestHistory
	tallies   map[CrashID]*tally
	prunedAt  time.Time
}

// NewHistory returns a History without records.
func NewHistory() *History {
	return &History{histories: map[Fingerprint]*requestHistory{}, tallies: map[CrashID]*tally{}}
}

// Add stores a record and reports whether it is new. There is one record for each request
// and crash; a strong record replaces a weak one. Add quarantines a request that crashed
// a backend server while it was the only suspect there, or that has enough records.
func (h *History) Add(rec CrashRecord, now time.Time) bool {
	h.prune(now)
	r := h.histories[rec.Fingerprint]
	if r == nil {
		h.evictOne()
		r = &requestHistory{}
		h.histories[rec.Fingerprint] = r
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
	t := h.tallies[rec.Crash]
	if t == nil {
		t = &tally{at: now}
		h.tallies[rec.Crash] = t
	}
	t.requests++
	if rec.Isolated || strong >= quarantineCrashes {
		r.quarantinedAt = rec.At
	}
	return true
}

// strong returns the records that are not weak.
func (r *requestHistory) strong() []CrashRecord {
	return slices.DeleteFunc(slices.Clone(r.records), func(rec CrashRecord) bool { return rec.Weak })
}

// evictOne removes a request that is not quarantined if maxRequests is reached.
func (h *History) evictOne() {
	if len(h.histories) < maxRequests {
		return
	}
	for f, r := range h.histories {
		if r.quarantinedAt.IsZero() {
			delete(h.histories, f)
			return
		}
	}
}

// IsQuarantined reports whether the request is quarantined as poison: it was quarantined
// before, or it is the only request with two strong records in its last crash. The
// records of all requests of a crash arrive within SettleDelay.
func (h *History) IsQuarantined(f Fingerprint, now time.Time) bool {
	h.prune(now)
	r := h.histories[f]
	if r == nil {
		return false
	}
	if strong := r.strong(); r.quarantinedAt.IsZero() && len(strong) >= 2 {
		last := strong[len(strong)-1]
		t := h.tallies[last.Crash]
		if t != nil && t.requests == 1 && now.Sub(last.At) >= SettleDelay {
			r.quarantinedAt = last.At
		}
	}
	return !r.quarantinedAt.IsZero()
}

// IsSuspect reports whether the request must start as the only suspect on its backend
// servers.
func (h *History) IsSuspect(f Fingerprint, now time.Time) bool {
	h.prune(now)
	r := h.histories[f]
	if r == nil {
		return false
	}
	strong := r.strong()
	if len(strong) >= 2 {
		return true
	}
	for _, rec := range strong {
		if !rec.Progressed {
			return true
		}
	}
	return false
}

// StrongRecords returns the strong records of a request in the order of their arrival.
func (h *History) StrongRecords(f Fingerprint) []CrashRecord {
	if r := h.histories[f]; r != nil {
		return r.strong()
	}
	return nil
}

// Records returns the records of a request in the order of their arrival.
func (h *History) Records(f Fingerprint) []CrashRecord {
	if r := h.histories[f]; r != nil {
		return slices.Clone(r.records)
	}
	return nil
}

// Quarantined returns the quarantined requests that have two records or more.
func (h *History) Quarantined(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f, r := range h.histories {
		if len(r.records) >= 2 && h.IsQuarantined(f, now) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// ReachedPosition removes and returns the records of a request whose position is more
// than one beyond those of all its crashes; nil if it isn't. That ends a quarantine too,
// because a poison request can't get there.
func (h *History) ReachedPosition(f Fingerprint, position int) []CrashRecord {
	r := h.histories[f]
	if r == nil {
		return nil
	}
	for _, rec := range r.records {
		if position <= rec.Position+1 {
			return nil
		}
	}
	delete(h.histories, f)
	return r.records
}

// RemoveRecord applies the withdrawal of one record by a peer.
func (h *History) RemoveRecord(f Fingerprint, c CrashID) {
	r := h.histories[f]
	if r == nil {
		return
	}
	r.records = slices.DeleteFunc(r.records, func(rec CrashRecord) bool { return rec.Crash == c })
	if len(r.records) == 0 {
		delete(h.histories, f)
	}
}

// prune removes records, quarantines and tallies that are older than recordTTL, at most
// once a minute.
func (h *History) prune(now time.Time) {
	if now.Sub(h.prunedAt) < time.Minute {
		return
	}
	h.prunedAt = now
	for f, r := range h.histories {
		kept := r.records[:0]
		for _, rec := range r.records {
			if now.Sub(rec.At) < recordTTL {
				kept = append(kept, rec)
			}
		}
		r.records = kept
		if len(kept) == 0 && now.Sub(r.quarantinedAt) >= recordTTL {
			delete(h.histories, f)
		}
	}
	for c, t := range h.tallies {
		if now.Sub(t.at) >= recordTTL {
			delete(h.tallies, c)
		}
	}
}
