package announcer

import (
	"slices"
	"time"

	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/wire/peer"
)

// encodeCrashes encodes crash records with their age instead of a time, because clocks
// of hosts are not compared.
func encodeCrashes(records []quarantiner.CrashRecord, now time.Time) []*peer.CrashMark {
	out := make([]*peer.CrashMark, 0, len(records))
	for _, rec := range records {
		out = append(out, &peer.CrashMark{
			Fingerprint: uint64(rec.Fingerprint), Crash: string(rec.Crash), Position: uint32(max(0, rec.Position)),
			Progressed: rec.Progressed, Cleared: rec.Cleared, Weak: rec.Weak, AgeMs: ageMs(rec.At, now),
			Parts: encodeParts(rec.Parts),
		})
	}
	return out
}

// decodeCrashes returns the crash records with times on the clock of this daemon.
func decodeCrashes(list []*peer.CrashMark, now time.Time) []quarantiner.CrashRecord {
	out := make([]quarantiner.CrashRecord, 0, len(list))
	for _, c := range list {
		out = append(out, quarantiner.CrashRecord{
			Fingerprint: quarantiner.Fingerprint(c.Fingerprint), Crash: quarantiner.CrashID(c.Crash), Position: int(c.Position),
			Progressed: c.Progressed, Cleared: c.Cleared, Weak: c.Weak, At: timeOf(c.AgeMs, now),
			Parts: decodeParts(c.Parts),
		})
	}
	return out
}

// encodePasses encodes the passes of parts with their age.
func encodePasses(passes []quarantiner.PartPass, now time.Time) []*peer.PartPass {
	out := make([]*peer.PartPass, 0, len(passes))
	for _, p := range passes {
		out = append(out, &peer.PartPass{Part: uint64(p.Part), AgeMs: ageMs(p.At, now)})
	}
	return out
}

// encodeSets encodes poison sets with their age.
func encodeSets(sets []quarantiner.PoisonSet, now time.Time) []*peer.PoisonSet {
	out := make([]*peer.PoisonSet, 0, len(sets))
	for _, s := range sets {
		out = append(out, &peer.PoisonSet{Parts: encodeParts(s.Parts), Weight: uint32(s.Weight), AgeMs: ageMs(s.At, now)})
	}
	return out
}

// decodePassesAndSets returns the passes and poison sets in a beacon.
func decodePassesAndSets(b *peer.Beacon, now time.Time) screener.PartUpdate {
	var u screener.PartUpdate
	for _, p := range b.Passes {
		u.Passes = append(u.Passes, quarantiner.PartPass{Part: quarantiner.PartKey(p.Part), At: timeOf(p.AgeMs, now)})
	}
	for _, s := range b.PoisonSets {
		u.Sets = append(u.Sets, quarantiner.PoisonSet{Parts: decodeParts(s.Parts), Weight: int(s.Weight), At: timeOf(s.AgeMs, now)})
	}
	return u
}

func encodeParts(parts []quarantiner.PartKey) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = uint64(p)
	}
	return out
}

// decodeParts returns the parts sorted and each once, whatever the order in the message.
func decodeParts(parts []uint64) []quarantiner.PartKey {
	var out []quarantiner.PartKey
	for _, p := range parts {
		out = append(out, quarantiner.PartKey(p))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ageMs returns the age of an event in milliseconds, and timeOf the time of an event of this
// age.
func ageMs(at, now time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

func timeOf(ageMs uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}
