package prover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
)

// Guards against a planned stop of an engine that lasts until its limit or cuts streams,
// which happens when long streams stay on the engine.
func TestLongStreamsLeave(t *testing.T) {
	t.Parallel() // most of its time is waiting
	const limit = 8 * time.Second
	is := is.New(t)
	r := newRigWith(t, "\n[Streams]\nMove = false\n", 2, "--drain-limit", limit.String(), "--leave-delay", "1s")
	var terminatedAt time.Time
	stopped := make(chan time.Duration, 1)
	jobs, g := r.runMeasured(t.Context(), 40, 1200, func() {
		terminatedAt = time.Now()
		if err := r.engines[2].Terminate(); err != nil {
			t.Error(err)
		}
		go func() {
			code, err := r.engines[2].WaitExit(2 * limit)
			if err != nil || code != 0 {
				t.Errorf("engine exited with code %d: %v", code, err)
			}
			stopped <- time.Since(terminatedAt)
		}()
	})
	for _, err := range violations(jobs) {
		t.Error(err)
	}
	took := <-stopped
	is.True(took < limit)
	is.NoErr(r.auditJournals())
	records, err := readJournal[engine.JournalRecord](r.Journal(r.engines[2].Name))
	is.NoErr(err)
	leftAfter := records[len(records)-1].At.Sub(terminatedAt)
	is.True(leftAfter < limit/2) // the exit itself waits up to 5 s for idle connections
	n, err := r.countImports()
	is.NoErr(err)
	is.True(n > 0)
	for d := range r.daemons {
		for _, cause := range []string{"Broken", "Unreachable"} {
			cut, err := r.countedRecovery(t.Context(), d, cause)
			is.NoErr(err)
			is.True(!cut) // a stream was on the engine when it stopped
		}
	}
	t.Logf("streams left after %s, stop took %s of %s, imports %d, longest gap %s, before %s, during %s, after %s", leftAfter.Round(time.Millisecond), took.Round(time.Millisecond), limit, n,
		longestGap(jobs).Round(time.Millisecond), quantiles(g.before), quantiles(g.during), quantiles(g.after))
}
