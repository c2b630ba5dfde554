package quarantiner

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/retainer"
)

// PartKey identifies a part of prompts for one service. The same part may crash the engines of
// one service and not those of another.
type PartKey uint64

// String returns the key in hexadecimal.
func (k PartKey) String() string { return strconv.FormatUint(uint64(k), 16) }

// PartKeys returns the keys of parts, sorted and each once.
func PartKeys(service string, parts []unit.PartID) []PartKey {
	out := make([]PartKey, len(parts))
	for i, p := range parts {
		out[i] = PartKey(xxhash.Sum64String(service + "\x00" + p.String()))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// PartPass clears a part of the crashes before a time: an engine had kept running since it began
// to answer a request with the part, or a poison set explains the crashes. A poison part never
// passes.
type PartPass struct {
	Part PartKey
	At   time.Time
}

// PoisonSet is a set of parts that different requests of several crashes have in common, one of
// which crashes engines. Requests that contain all of them are refused; one that contains only some
// still runs, and clears the harmless parts.
type PoisonSet struct {
	// Parts are sorted.
	Parts []PartKey
	// Weight is that of the crashes.
	Weight int
	// At is the time of the last crash.
	At time.Time
}

// extend records a later crash under a request that contains the set.
func (s *PoisonSet) extend(at time.Time) {
	if at.After(s.At) {
		s.At = at
	}
}

const (
	// passedTime is how long a pass of a part counts for it: the requests of a crash include
	// harmless ones, whose parts are in steady use.
	passedTime = 30 * time.Second

	// maxPartRecords, maxHistoryParts and maxPoisonSets bound the records, the parts in all of
	// them, and the poison sets of a PartHistory, maxPasses the parts in each generation of
	// passes.
	maxPartRecords  = 256
	maxHistoryParts = 32 << 10
	maxPoisonSets   = 16
	maxPasses       = 8192
	// MaxRecordParts bounds the parts of one record. The headers of a request have room for
	// less.
	MaxRecordParts = 2048
)

// PartHistory finds the parts of prompts that crash engines, from the crash records of the
// requests that had not passed when an engine crashed, and from the passes of parts.
//
// A part is poison if it has enough crashes without a pass between. Crashes that a poison set
// explains do not count for other parts. Parts that cannot be distinguished from each other,
// because the same requests contain them, form one poison set.
//
// Load pattern: requests that are all different and have a poison part in common arrive at any
// daemon, several times a second, beside harmless ones that share their other parts.
//
// It has no clock and no lock: the caller passes the time, synchronises calls, and calls
// Evaluate when Due reports true.
type PartHistory struct {
	// records are the crash records with parts, in order of arrival.
	records []CrashRecord
	// pending are the crashes whose records have not been evaluated since they changed.
	pending []pendingCrash
	passes  *retainer.Retainer[PartKey, time.Time]
	// shared holds the passes that peers know.
	shared *retainer.Retainer[PartKey, time.Time]
	sets   []PoisonSet
	// guess is the poison set of the pending crashes as of guessedAt.
	guess     PoisonSet
	guessedAt time.Time
}

// NewPartHistory returns a PartHistory without records.
func NewPartHistory() *PartHistory {
	return &PartHistory{
		passes: retainer.New[PartKey, time.Time](passedTime, maxPasses),
		shared: retainer.New[PartKey, time.Time](recordTTL, maxPasses),
	}
}

// Add stores the crash record of a request that had not passed, and returns the passes of the
// request's parts that peers need to know.
func (h *PartHistory) Add(rec CrashRecord, now time.Time) (share []PartPass) {
	if len(rec.Parts) == 0 {
		return nil
	}
	h.prune(now)
	if i := h.indexOf(rec); i >= 0 {
		if rec.Weak || !h.records[i].Weak {
			return nil
		}
		h.records = slices.Delete(h.records, i, i+1)
	}
	rec.Parts = rec.Parts[:min(len(rec.Parts), MaxRecordParts)]
	h.records = append(h.records, rec)
	h.dropOldest()
	h.addPending(rec)
	return h.passesToShare(rec.Parts, now)
}

// indexOf returns the index of the stored record of the same request and crash, or -1.
func (h *PartHistory) indexOf(rec CrashRecord) int {
	return slices.IndexFunc(h.records, func(x CrashRecord) bool {
		return x.Fingerprint == rec.Fingerprint && x.Crash == rec.Crash
	})
}

// dropOldest removes the oldest records beyond the bounds.
func (h *PartHistory) dropOldest() {
	first, parts := len(h.records), 0
	for first > 0 && len(h.records)-first < maxPartRecords && parts+len(h.records[first-1].Parts) <= maxHistoryParts {
		first--
		parts += len(h.records[first].Parts)
	}
	h.records = slices.Delete(h.records, 0, first)
}

// Remove removes the record of a request and a crash.
func (h *PartHistory) Remove(f Fingerprint, c CrashID) {
	h.records = slices.DeleteFunc(h.records, func(rec CrashRecord) bool { return rec.Fingerprint == f && rec.Crash == c })
}

// lastPass returns the time of the last known pass of a part, or the zero time.
func (h *PartHistory) lastPass(p PartKey, now time.Time) time.Time {
	own, _ := h.passes.Get(p, now)
	shared, _ := h.shared.Get(p, now)
	if shared.After(own) {
		return shared
	}
	return own
}

// addSet adds a poison set and removes those that it makes needless. It reports whether the set
// is new.
func (h *PartHistory) addSet(set PoisonSet) bool {
	for i, s := range h.sets {
		if containsAll(set.Parts, s.Parts) {
			h.sets[i].Weight = max(s.Weight, set.Weight)
			h.sets[i].extend(set.At)
			return false
		}
	}
	h.sets = slices.DeleteFunc(h.sets, func(s PoisonSet) bool { return containsAll(s.Parts, set.Parts) })
	h.sets = append(h.sets, set)
	h.sets = h.sets[max(0, len(h.sets)-maxPoisonSets):]
	return true
}

// Pass records that parts have passed, and returns the passes that peers need to know.
func (h *PartHistory) Pass(parts []PartKey, now time.Time) []PartPass {
	for _, p := range parts {
		h.passes.Set(p, now, now)
	}
	share := h.passesToShare(parts, now)
	h.clearPassed(now)
	return share
}

// passesToShare returns the passes of parts without which peers may count too much against
// them: those of poison sets, and of parts with two records since the last pass that peers know.
func (h *PartHistory) passesToShare(parts []PartKey, now time.Time) []PartPass {
	if len(h.records) == 0 && len(h.sets) == 0 {
		return nil
	}
	var out []PartPass
	for _, p := range parts {
		at, ok := h.passes.Get(p, now)
		known, _ := h.shared.Get(p, now)
		if !ok || !at.After(known) || !(h.inSet(p) || h.countCrashes(p, known) >= 2) {
			continue
		}
		h.shared.Set(p, at, now)
		out = append(out, PartPass{Part: p, At: at})
	}
	return out
}

func (h *PartHistory) inSet(p PartKey) bool {
	return slices.ContainsFunc(h.sets, func(s PoisonSet) bool { return containsPart(s.Parts, p) })
}

// countCrashes returns the number of crashes with a part since a time.
func (h *PartHistory) countCrashes(p PartKey, since time.Time) int {
	crashes := map[CrashID]bool{}
	for _, rec := range h.records {
		if rec.At.After(since) && containsPart(rec.Parts, p) {
			crashes[rec.Crash] = true
		}
	}
	return len(crashes)
}

// MergePass applies a pass that a peer has recorded, and reports whether it was not known.
func (h *PartHistory) MergePass(p PartPass, now time.Time) bool {
	if known, ok := h.shared.Get(p.Part, now); ok && !p.At.After(known) {
		return false
	}
	h.shared.Set(p.Part, p.At, now)
	h.clearPassed(now)
	return true
}

// clearPassed removes the parts that have passed from the poison sets.
func (h *PartHistory) clearPassed(now time.Time) {
	for i, s := range h.sets {
		h.sets[i].Parts = h.withoutPassed(s, now)
	}
	h.sets = slices.DeleteFunc(h.sets, func(s PoisonSet) bool { return len(s.Parts) == 0 })
}

// withoutPassed returns the parts of a poison set that have not passed since its last crash,
// nor shortly before a few crashes.
func (h *PartHistory) withoutPassed(s PoisonSet, now time.Time) []PartKey {
	var out []PartKey
	for _, p := range s.Parts {
		at := h.lastPass(p, now)
		recent := !at.IsZero() && s.At.Sub(at) <= passedTime && s.Weight < passedPoisonWeight
		if !at.After(s.At) && !recent {
			out = append(out, p)
		}
	}
	return out
}

// MergeSet applies a poison set of a peer. It reports whether the set is new, and returns the
// passes that the peer does not know.
func (h *PartHistory) MergeSet(s PoisonSet, now time.Time) (added bool, share []PartPass) {
	if now.Sub(s.At) >= recordTTL {
		return false, nil
	}
	all := s.Parts
	s.Parts = h.withoutPassed(s, now)
	for _, p := range all {
		if !containsPart(s.Parts, p) {
			share = append(share, PartPass{Part: p, At: h.lastPass(p, now)})
		}
	}
	return len(s.Parts) > 0 && h.addSet(s), share
}

// Match returns the poison set that a request with these parts contains, if there is one.
func (h *PartHistory) Match(parts []PartKey, now time.Time) (PoisonSet, bool) {
	if len(h.sets) == 0 {
		return PoisonSet{}, false
	}
	h.prune(now)
	if s := h.match(parts); s != nil {
		return *s, true
	}
	return PoisonSet{}, false
}

func (h *PartHistory) match(parts []PartKey) *PoisonSet {
	for i, s := range h.sets {
		if containsAll(parts, s.Parts) {
			return &h.sets[i]
		}
	}
	return nil
}

// Sets returns the poison sets.
func (h *PartHistory) Sets(now time.Time) []PoisonSet {
	h.prune(now)
	return slices.Clone(h.sets)
}

// prune removes records and poison sets that are older than recordTTL.
func (h *PartHistory) prune(now time.Time) {
	h.records = slices.DeleteFunc(h.records, func(rec CrashRecord) bool { return now.Sub(rec.At) >= recordTTL })
	h.sets = slices.DeleteFunc(h.sets, func(s PoisonSet) bool { return now.Sub(s.At) >= recordTTL })
}

// containsPart reports whether sorted parts contain one.
func containsPart(parts []PartKey, p PartKey) bool {
	_, ok := slices.BinarySearch(parts, p)
	return ok
}

// containsAll reports whether a sorted list contains all elements of another sorted one.
func containsAll[T cmp.Ordered](list, wanted []T) bool {
	for _, x := range wanted {
		if _, ok := slices.BinarySearch(list, x); !ok {
			return false
		}
	}
	return true
}
