package announcer

import (
	"time"

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
			Progressed: rec.Progressed, Cleared: rec.Cleared, Weak: rec.Weak, AgeMs: uint32(max(0, now.Sub(rec.At).Milliseconds())),
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
			Progressed: c.Progressed, Cleared: c.Cleared, Weak: c.Weak, At: now.Add(-time.Duration(c.AgeMs) * time.Millisecond),
		})
	}
	return out
}
