package prover_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

// imports counts the imports of KV state in all journals.
func (r *rig) imports() (n int, err error) {
	for _, e := range r.engines {
		records, err := readJournal[engine.JournalRecord](r.Journal(e.Name))
		if err != nil {
			return n, err
		}
		for _, j := range records {
			if j.Imported {
				n++
			}
		}
	}
	return n, nil
}

// moves counts the moves of running streams in the logs of all daemons.
func (r *rig) moves() (n int, err error) {
	for _, d := range r.daemons {
		b, err := os.ReadFile(filepath.Join(r.Dir, d.Name+".log"))
		if err != nil {
			return n, err
		}
		n += strings.Count(string(b), "stage moves")
	}
	return n, nil
}

// gaps collects times between tokens, by the time since a fault.
type gaps struct {
	mu                    sync.Mutex
	fault                 time.Time
	before, during, after []time.Duration
}

// settled is when moves after a fault should have ended.
const settled = 2500 * time.Millisecond

func (g *gaps) add(now time.Time, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.fault.IsZero():
		g.before = append(g.before, d)
	case now.Sub(g.fault) < settled:
		g.during = append(g.during, d)
	default:
		g.after = append(g.after, d)
	}
}

func quantiles(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	slices.Sort(d)
	at := func(q float64) time.Duration { return d[int(q*float64(len(d)-1))].Round(100 * time.Microsecond) }
	return fmt.Sprintf("p50 %s p95 %s p99 %s (n=%d)", at(0.5), at(0.95), at(0.99), len(d))
}

// measured runs streams and calls fault in the middle of them.
func (r *rig) measured(ctx context.Context, n, tokens int, fault func()) ([]*job, *gaps) {
	g := &gaps{}
	jobs := make([]*job, n)
	var once sync.Once
	var wg sync.WaitGroup
	for i := range jobs {
		j := &job{text: fmt.Sprintf("draft %d", i), tokens: tokens, temperature: float64(i % 2)}
		jobs[i] = j
		var last time.Time
		wg.Go(func() {
			j.answer, j.err = r.client.Complete(ctx, r.daemons[i%len(r.daemons)].Address, invoker.Prompt{
				Model: modelName, Text: j.text, MaxTokens: j.tokens, Temperature: j.temperature,
				OnToken: func(k int) {
					now := time.Now()
					if k > 1 {
						g.add(now, now.Sub(last))
					}
					if last = now; k == tokens/4 {
						once.Do(func() {
							fault()
							g.mu.Lock()
							g.fault = time.Now()
							g.mu.Unlock()
						})
					}
				},
			})
		})
	}
	wg.Wait()
	return jobs, g
}

// TestSlowStageMoves guards against streams that stay on a slow engine or
// behind a slow link, and against moves that break their answers.
func TestSlowStageMoves(t *testing.T) {
	t.Parallel() // most of its time is waiting
	for _, row := range []struct {
		name   string
		faults runner.Faults
		// moved and imported tell whether streams move, and with KV state.
		moved, imported bool
	}{
		{"slow engine keeps its streams", runner.Faults{Slow: 100}, true, true},
		{"slow link keeps its streams", runner.Faults{LinkSlow: 100}, true, true},
		{"slow engine without export keeps its streams", runner.Faults{Slow: 100, NoExport: true}, true, false},
		{"setting does not keep streams where they are", runner.Faults{LinkSlow: 100}, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			r := newRigWith(t, fmt.Sprintf("\n[Streams]\nMove = %t\n", row.moved), 2, "--link-latency", "1ms")
			jobs, g := r.measured(t.Context(), 40, 240, func() {
				if err := r.inject(t.Context(), 2, row.faults); err != nil {
					t.Error(err)
				}
			})
			for _, err := range violations(jobs) {
				t.Error(err)
			}
			is.NoErr(r.auditJournals())
			n, err := r.imports()
			is.NoErr(err)
			is.Equal(n > 0, row.imported)
			moves, err := r.moves()
			is.NoErr(err)
			is.Equal(moves > 0, row.moved)
			t.Logf("moves %d, imports %d, before %s, during %s, after %s", moves, n, quantiles(g.before), quantiles(g.during), quantiles(g.after))
		})
	}
}

// patientAdmission lets requests wait as long as their engines take. Tests that check
// streams under faults count each refusal as a violation, and on a busy machine engines
// take longer than the usual bound on the wait.
const patientAdmission = "\n[Admission]\nMaxWait = \"60s\"\n"

// newRigWith is newRig with settings for the daemons.
func newRigWith(t *testing.T, settings string, n int, engineFlags ...string) *rig {
	t.Helper()
	r := &rig{Launcher: launcher.New("../bin", t.TempDir())}
	r.DaemonSettings = settings
	r.startUp(t, n, engineFlags...)
	return r
}
