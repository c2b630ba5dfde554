package announcer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/wire/peer"
)

// Guards against crash records that change in transit, and against ages that are lost
// where the clocks of two hosts differ.
func TestCrashRecordEncoding(t *testing.T) {
	is := is.New(t)
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	give := []quarantiner.CrashRecord{
		{Fingerprint: 1 << 63, Crash: "i-1/17", Position: 12, Progressed: true, At: sent.Add(-90 * time.Second), Parts: []quarantiner.PartKey{3, 1 << 63}},
		{Fingerprint: 2, Crash: "i-2/18", Cleared: true, Weak: true, At: sent},
	}
	got := decodeCrashes(encodeCrashes(give, sent), received)
	is.Equal(len(got), 2)
	is.Equal(got[0].At, received.Add(-90*time.Second))
	is.Equal(got[1].At, received)
	for i := range got {
		got[i].At = give[i].At
	}
	is.Equal(got, give)
}

// Guards against passes and poison sets of parts that change in transit, and against parts
// that are not sorted, which a faulty peer may send.
func TestPartEncoding(t *testing.T) {
	is := is.New(t)
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	give := screener.PartUpdate{
		Passes: []quarantiner.PartPass{{Part: 1 << 63, At: sent.Add(-3 * time.Second)}},
		Sets:   []quarantiner.PoisonSet{{Parts: []quarantiner.PartKey{7, 5, 5}, Weight: 15, At: sent.Add(-2 * time.Second)}},
	}
	b := peer.Beacon{Passes: encodePasses(give.Passes, sent), PoisonSets: encodeSets(give.Sets, sent)}
	got := decodePassesAndSets(&b, received)
	is.Equal(got, screener.PartUpdate{
		Passes: []quarantiner.PartPass{{Part: 1 << 63, At: received.Add(-3 * time.Second)}},
		Sets:   []quarantiner.PoisonSet{{Parts: []quarantiner.PartKey{5, 7}, Weight: 15, At: received.Add(-2 * time.Second)}},
	})
}
