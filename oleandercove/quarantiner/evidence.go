package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// strongWeight and weakWeight are the weights of a crash, and poisonWeight is the weight at
	// which a part counts as poison: three crashes, or five that may be broken connections.
	strongWeight = 5
	weakWeight   = 3
	poisonWeight = 3 * strongWeight
	// passedPoisonWeight is that of a part that passed within passedTime before its crashes.
	passedPoisonWeight = 8 * strongWeight
	// maxContentCrashes is how many crashes of the same content count. A harmless request is
	// sent again after each crash and may meet several.
	maxContentCrashes = 2
	// sameCauseTime is the time within which crashes count once: engines of one rack crash
	// together, whatever they run.
	sameCauseTime = 50 * time.Millisecond
	// guessInterval is the time between two searches for the poison set of crashes that are not
	// due, unless a record is added.
	guessInterval = 20 * time.Millisecond
	// firstPassTime is how long crashes are not evaluated while nothing has passed, as after
	// the start of a whole fleet. The absence of passes says nothing then.
	firstPassTime = 3 * time.Second
)

// pendingCrash is a crash whose records are evaluated at a time, when those of all daemons have
// arrived.
type pendingCrash struct {
	crash CrashID
	at    time.Time
}

// addPending plans the evaluation of the crash of a record.
func (h *PartHistory) addPending(rec CrashRecord) {
	h.guessedAt = time.Time{}
	if !slices.ContainsFunc(h.pending, func(x pendingCrash) bool { return x.crash == rec.Crash }) {
		h.pending = append(h.pending, pendingCrash{rec.Crash, rec.At.Add(SettleDelay)})
		h.pending = h.pending[max(0, len(h.pending)-maxPartRecords):]
	}
}

// Due reports whether crashes are to be evaluated.
func (h *PartHistory) Due(now time.Time) bool {
	return slices.ContainsFunc(h.pending, func(x pendingCrash) bool { return h.isDue(x, now) })
}

func (h *PartHistory) isDue(x pendingCrash, now time.Time) bool {
	if h.isCold() {
		return !now.Before(x.at.Add(firstPassTime))
	}
	return !now.Before(x.at)
}

// isCold reports whether no part is known to have passed lately.
func (h *PartHistory) isCold() bool { return h.passes.Len()+h.shared.Len() == 0 }

// Evaluate looks for poison sets in the crashes that are due. It returns the sets that it has
// added, and the passes that peers need to know: those of parts that a new set clears.
func (h *PartHistory) Evaluate(now time.Time) (added []PoisonSet, share []PartPass) {
	var due, later []pendingCrash
	for _, x := range h.pending {
		if h.isDue(x, now) {
			due = append(due, x)
		} else {
			later = append(later, x)
		}
	}
	h.pending = later
	for len(added) < maxPoisonSets {
		set, ok := h.findSet(due, now)
		if !ok || !h.addSet(set) {
			break
		}
		added = append(added, set)
		share = append(share, h.clearExplained(set, now)...)
	}
	h.extendSets(due)
	return added, share
}

// Undecided reports whether a request with these parts would be refused if all records of the
// crashes that are not due yet had arrived.
func (h *PartHistory) Undecided(parts []PartKey, now time.Time) bool {
	if len(parts) == 0 || len(h.pending) == 0 || h.isCold() {
		return false
	}
	if now.Sub(h.guessedAt) >= guessInterval {
		h.guess, _ = h.findSet(h.pending, now)
		h.guessedAt = now
	}
	return len(h.guess.Parts) > 0 && containsAll(parts, h.guess.Parts)
}

// evidence is what speaks against a part.
type evidence struct {
	part PartKey
	// suspects are the indices of the records that contain the part.
	suspects []int
	weight   int
	// needed is the weight at which the part counts as poison.
	needed int
}

func (e evidence) isEnough() bool { return e.weight >= e.needed }

// score compares parts that have enough crashes: many crashes speak for a part, and many
// suspects of each crash against it. Each crash has one culprit, and a part that is in many
// requests is in several that wait at the engine.
func (e evidence) score() float64 {
	return float64(e.weight) * float64(e.weight) / float64(max(1, len(e.suspects)))
}

// findSet returns the poison set that explains most of some crashes. It may explain crashes that
// a known set explains too, if it does so better: that set was found before all records had
// arrived.
func (h *PartHistory) findSet(crashes []pendingCrash, now time.Time) (PoisonSet, bool) {
	explained := h.explainedCrashes(h.sets)
	var enough []evidence
	for _, p := range h.suspectParts(crashes) {
		if e := h.collect(p, explained, now); e.isEnough() {
			enough = append(enough, e)
		} else if e = h.collect(p, nil, now); e.isEnough() && h.isBetter(e, explained, now) {
			enough = append(enough, e)
		}
	}
	if len(enough) == 0 {
		return PoisonSet{}, false
	}
	best := slices.MaxFunc(enough, func(a, b evidence) int { return cmp.Compare(a.score(), b.score()) })
	set := PoisonSet{Weight: best.weight}
	for _, i := range best.suspects {
		set.extend(h.records[i].At)
	}
	for _, e := range enough {
		if slices.Equal(e.suspects, best.suspects) {
			set.Parts = append(set.Parts, e.part)
		}
	}
	return set, true
}

// isBetter reports whether a part explains crashes better than the known sets that do.
func (h *PartHistory) isBetter(e evidence, explained map[CrashID]PoisonSet, now time.Time) bool {
	for _, i := range e.suspects {
		s, ok := explained[h.records[i].Crash]
		if ok && (containsPart(s.Parts, e.part) || h.collect(s.Parts[0], nil, now).score() >= e.score()) {
			return false
		}
	}
	return true
}

// suspectParts returns the parts of all records of some crashes, sorted.
func (h *PartHistory) suspectParts(crashes []pendingCrash) []PartKey {
	wanted := map[CrashID]bool{}
	for _, x := range crashes {
		wanted[x.crash] = true
	}
	var parts []PartKey
	for _, rec := range h.records {
		if wanted[rec.Crash] {
			parts = append(parts, rec.Parts...)
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// explainedCrashes returns the poison set that a request of a crash contains, for each crash of
// which one does.
func (h *PartHistory) explainedCrashes(sets []PoisonSet) map[CrashID]PoisonSet {
	out := map[CrashID]PoisonSet{}
	for _, rec := range h.records {
		for _, s := range sets {
			if containsAll(rec.Parts, s.Parts) {
				out[rec.Crash] = s
			}
		}
	}
	return out
}

// extendSets records the crashes that poison sets explain.
func (h *PartHistory) extendSets(crashes []pendingCrash) {
	for _, x := range crashes {
		for _, rec := range h.records {
			if s := h.match(rec.Parts); s != nil && rec.Crash == x.crash {
				s.extend(rec.At)
			}
		}
	}
}

// collect returns the evidence against a part since its last pass, without the crashes that a
// poison set of other parts explains.
func (h *PartHistory) collect(p PartKey, explained map[CrashID]PoisonSet, now time.Time) evidence {
	e := evidence{part: p}
	passedAt := h.lastPass(p, now)
	contents := map[Fingerprint]int{}
	var counted []CrashRecord
	for i, rec := range h.records {
		if !containsPart(rec.Parts, p) || !rec.At.After(passedAt) || contents[rec.Fingerprint] >= maxContentCrashes {
			continue
		}
		if s, ok := explained[rec.Crash]; ok && !containsPart(s.Parts, p) {
			continue
		}
		contents[rec.Fingerprint]++
		e.suspects, counted = append(e.suspects, i), append(counted, rec)
	}
	e.weight = weigh(counted)
	e.needed = neededWeight(passedAt, counted)
	return e
}

// weigh returns the weight of the crashes of some records. Each crash counts once, and so do
// those within sameCauseTime. It sorts the records by time.
func weigh(records []CrashRecord) int {
	slices.SortStableFunc(records, func(a, b CrashRecord) int { return a.At.Compare(b.At) })
	weights := map[CrashID]int{}
	var crashes []CrashRecord
	for _, rec := range records {
		if weights[rec.Crash] == 0 {
			crashes = append(crashes, rec)
		}
		weights[rec.Crash] = max(weights[rec.Crash], weightOf(rec))
	}
	total, current := 0, 0
	var began time.Time
	for _, rec := range crashes {
		if began.IsZero() || rec.At.Sub(began) >= sameCauseTime {
			total, current, began = total+current, 0, rec.At
		}
		current = max(current, weights[rec.Crash])
	}
	return total + current
}

func weightOf(rec CrashRecord) int {
	if rec.Weak {
		return weakWeight
	}
	return strongWeight
}

// neededWeight returns the weight at which a part counts as poison that passed at a time and has
// these records since, sorted by time.
func neededWeight(passedAt time.Time, records []CrashRecord) int {
	if len(records) > 0 && !passedAt.IsZero() && records[0].At.Sub(passedAt) <= passedTime {
		return passedPoisonWeight
	}
	return poisonWeight
}

// clearExplained clears the parts of other poison sets that lack the needed crashes without those
// that a new set explains, and returns their passes for peers.
func (h *PartHistory) clearExplained(added PoisonSet, now time.Time) []PartPass {
	explained := h.explainedCrashes([]PoisonSet{added})
	var share []PartPass
	for _, s := range h.sets {
		for _, p := range s.Parts {
			if containsPart(added.Parts, p) || !h.collect(p, nil, now).isEnough() || h.collect(p, explained, now).isEnough() {
				continue
			}
			share = append(share, PartPass{Part: p, At: s.At.Add(time.Millisecond)})
		}
	}
	for _, pass := range share {
		h.shared.Set(pass.Part, pass.At, now)
	}
	h.clearPassed(now)
	return share
}
