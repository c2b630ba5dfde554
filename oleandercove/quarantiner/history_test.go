package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/timer"
)

// Guards against a harmless request that is quarantined, and against a poison request
// that is not.
func TestQuarantine(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	newRecord := func(f Fingerprint, c CrashID, progressed, isolated bool) CrashRecord {
		return CrashRecord{Fingerprint: f, Crash: c, Progressed: progressed, Isolated: isolated, At: now}
	}
	const poison, harmless = Fingerprint(1), Fingerprint(2)
	tests := []struct {
		name     string
		give     []CrashRecord
		poison   bool
		harmless bool
		suspect  bool
	}{
		{"one crash quarantines a request", []CrashRecord{newRecord(poison, "a", false, false)}, false, false, true},
		{"a crash after the first token makes a request suspect", []CrashRecord{newRecord(poison, "a", true, false)}, false, false, false},
		{"the same crash is counted twice", []CrashRecord{newRecord(poison, "a", false, false), newRecord(poison, "a", false, true)}, false, false, true},
		{"a second crash as the only suspect is not quarantined", []CrashRecord{newRecord(poison, "a", false, false), newRecord(poison, "b", false, true)}, true, false, true},
		{"one of two requests in both crashes is quarantined", []CrashRecord{
			newRecord(harmless, "a", false, false), newRecord(poison, "a", false, false), newRecord(harmless, "b", true, false), newRecord(poison, "b", true, false),
		}, false, false, true},
		{"a request in one crash hides the only request in both", []CrashRecord{
			newRecord(poison, "a", true, false), newRecord(harmless, "b", true, false), newRecord(poison, "b", true, false),
		}, true, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHistory()
			for _, rec := range test.give {
				h.Add(rec, now)
			}
			is.Equal(h.IsQuarantined(poison, now.Add(SettleDelay)), test.poison)
			is.Equal(h.IsQuarantined(harmless, now.Add(SettleDelay)), test.harmless)
			is.Equal(h.IsSuspect(poison, now), test.suspect)
		})
	}
}

// Guards against a harmless request that stays suspect after two independent host
// failures.
func TestReachedPosition(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	h := NewHistory()
	h.Add(CrashRecord{Fingerprint: 1, Crash: "a", Position: 30, Progressed: true, At: now}, now)
	is.Equal(len(h.ReachedPosition(1, 31)), 0) // a poison request may crash again at the next token
	is.Equal(len(h.ReachedPosition(1, 32)), 1)
	h.Add(CrashRecord{Fingerprint: 1, Crash: "b", Position: 60, Progressed: true, At: now}, now)
	is.Equal(h.IsQuarantined(1, now), false)
}

// Guards against crash records and quarantines that grow without bound.
func TestPrune(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	h := NewHistory()
	for f := range Fingerprint(100) {
		h.Add(CrashRecord{Fingerprint: f, Crash: "a", At: now}, now)
		h.Add(CrashRecord{Fingerprint: f, Crash: "b", Isolated: true, At: now}, now)
	}
	is.Equal(len(h.histories), 100)
	is.Equal(h.IsQuarantined(1, now.Add(2*recordTTL)), false)
	is.Equal(len(h.histories), 0)
}

// Guards against a harmless request that is quarantined because the others of its crash
// have been cleared already.
func TestLastSuspectOfCrash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	h := NewHistory()
	for _, c := range []CrashID{"a", "b"} {
		for f := range Fingerprint(3) {
			h.Add(CrashRecord{Fingerprint: f, Crash: c, Position: 10, Progressed: true, At: now}, now)
		}
	}
	is.Equal(len(h.ReachedPosition(0, 20)), 2)
	is.Equal(len(h.ReachedPosition(1, 20)), 2)
	is.Equal(h.IsQuarantined(2, now.Add(SettleDelay)), false)
	is.Equal(h.IsSuspect(2, now), true)
}

// Guards against a request that is quarantined by a second, independent crash, which
// happens on a daemon without the withdrawal of the record of the first one.
func TestClearedOnPeers(t *testing.T) {
	is := is.New(t)
	now := timer.NewManual(time.Unix(1_000_000, 0))
	peer := New(Options{Timer: now})
	owner := New(Options{Timer: now, Share: peer.Merge})
	first := CrashRecord{Fingerprint: 1, Crash: "a", Position: 30, Progressed: true, At: now.Now()}
	owner.Merge(first)
	peer.Merge(first)
	is.True(owner.ReachedPosition(1, 40))
	peer.Merge(CrashRecord{Fingerprint: 1, Crash: "b", Position: 5, Progressed: true, At: now.Now()})
	now.Advance(SettleDelay)
	is.Equal(peer.isQuarantined(1), false)
}
