package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/timer"
)

func TestConviction(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	mark := func(f Fingerprint, c CrashID, progressed, isolated bool) Mark {
		return Mark{Fingerprint: f, Crash: c, Progressed: progressed, Isolated: isolated, At: now}
	}
	const poison, innocent = Fingerprint(1), Fingerprint(2)
	tests := []struct {
		name     string
		give     []Mark
		poison   bool
		innocent bool
		suspect  bool
	}{
		{"one crash convicts a request", []Mark{mark(poison, "a", false, false)}, false, false, true},
		{"a crash after the first token isolates a request", []Mark{mark(poison, "a", true, false)}, false, false, false},
		{"the same crash is counted twice", []Mark{mark(poison, "a", false, false), mark(poison, "a", false, true)}, false, false, true},
		{"a second crash alone under suspicion is forgiven", []Mark{mark(poison, "a", false, false), mark(poison, "b", false, true)}, true, false, true},
		{"a bystander of the second crash is convicted", []Mark{
			mark(innocent, "a", false, false), mark(poison, "a", false, false), mark(innocent, "b", true, false), mark(poison, "b", true, false),
		}, false, false, true},
		{"a bystander of one crash hides the only request in both", []Mark{
			mark(poison, "a", true, false), mark(innocent, "b", true, false), mark(poison, "b", true, false),
		}, true, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBook()
			for _, m := range test.give {
				b.Add(m, now)
			}
			is.Equal(b.Convicted(poison, now.Add(SettleDelay)), test.poison)
			is.Equal(b.Convicted(innocent, now.Add(SettleDelay)), test.innocent)
			is.Equal(b.Suspect(poison, now), test.suspect)
		})
	}
}

// TestPassed guards against an innocent request that stays under suspicion
// after two independent host failures.
func TestPassed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	b := NewBook()
	b.Add(Mark{Fingerprint: 1, Crash: "a", Position: 30, Progressed: true, At: now}, now)
	is.Equal(len(b.Passed(1, 31)), 0) // a poison request may crash again at the next token
	is.Equal(len(b.Passed(1, 32)), 1)
	b.Add(Mark{Fingerprint: 1, Crash: "b", Position: 60, Progressed: true, At: now}, now)
	is.Equal(b.Convicted(1, now), false)
}

// TestPrune guards against marks and convictions that grow without bound.
func TestPrune(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	b := NewBook()
	for f := range Fingerprint(100) {
		b.Add(Mark{Fingerprint: f, Crash: "a", At: now}, now)
		b.Add(Mark{Fingerprint: f, Crash: "b", Isolated: true, At: now}, now)
	}
	is.Equal(len(b.records), 100)
	is.Equal(b.Convicted(1, now.Add(2*memory)), false)
	is.Equal(len(b.records), 0)
}

// TestLastOfCrash guards against an innocent request that is convicted because
// the others of its crash have been cleared already.
func TestLastOfCrash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	b := NewBook()
	for _, c := range []CrashID{"a", "b"} {
		for f := range Fingerprint(3) {
			b.Add(Mark{Fingerprint: f, Crash: c, Position: 10, Progressed: true, At: now}, now)
		}
	}
	is.Equal(len(b.Passed(0, 20)), 2)
	is.Equal(len(b.Passed(1, 20)), 2)
	is.Equal(b.Convicted(2, now.Add(SettleDelay)), false)
	is.Equal(b.Suspect(2, now), true)
}

// TestClearedOnPeers guards against a request that is convicted by a second,
// independent crash on a daemon that was never told that it had passed the first.
func TestClearedOnPeers(t *testing.T) {
	is := is.New(t)
	now := timer.NewManual(time.Unix(1_000_000, 0))
	peer := New(Options{Timer: now})
	owner := New(Options{Timer: now, Share: peer.Merge})
	first := Mark{Fingerprint: 1, Crash: "a", Position: 30, Progressed: true, At: now.Now()}
	owner.Merge(first)
	peer.Merge(first)
	is.True(owner.Passed(1, 40))
	peer.Merge(Mark{Fingerprint: 1, Crash: "b", Position: 5, Progressed: true, At: now.Now()})
	now.Advance(SettleDelay)
	is.Equal(peer.convicted(1), false)
}
