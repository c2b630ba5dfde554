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

// countImports counts the imports of KV state in the journals of all engines.
func (r *rig) countImports() (n int, err error) {
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

// countMoves counts the moves of running streams in the logs of all daemons.
func (r *rig) countMoves() (n int, err error) {
	for _, d := range r.daemons {
		b, err := os.ReadFile(filepath.Join(r.Dir, d.Name+".log"))
		if err != nil {
			return n, err
		}
		n += strings.Count(string(b), "stage moves")
	}
	return n, nil
}

// gaps collects the times between tokens before a fault, within moveWindow after it, and
// later.
type gaps struct {
	mu                    sync.Mutex
	faultAt               time.Time
	before, during, after []time.Duration
}

// moveWindow is the time after a fault within which the moves should have ended.
const moveWindow = 2500 * time.Millisecond

func (g *gaps) add(now time.Time, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.faultAt.IsZero():
		g.before = append(g.before, d)
	case now.Sub(g.faultAt) < moveWindow:
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

// runMeasured runs n streams and calls fault when the first one has a quarter of its
// tokens. It returns the streams and the times between their tokens.
func (r *rig) runMeasured(ctx context.Context, n, tokens int, fault func()) ([]*job, *gaps) {
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
							g.faultAt = time.Now()
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

// Guards against streams that stay on a slow engine or behind a slow link, and against wrong
// answers after a move.
func TestSlowStageMoves(t *testing.T) {
	t.Parallel() // most of its time is waiting
	for _, row := range []struct {
		name   string
		faults runner.Faults
		// moved is the value of the setting Move, and whether streams are expected to move;
		// imported is whether their KV state is expected to move with them.
		moved, imported bool
	}{
		{"slow engine keeps its streams", runner.Faults{Slow: 100}, true, true},
		{"slow link keeps its streams", runner.Faults{LinkSlow: 100}, true, true},
		{"slow engine without export keeps its streams", runner.Faults{Slow: 100, NoExport: true}, true, false},
		{"streams move although the setting forbids it", runner.Faults{LinkSlow: 100}, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			r := newRigWith(t, fmt.Sprintf("\n[Streams]\nMove = %t\n", row.moved), 2, "--link-latency", "1ms")
			jobs, g := r.runMeasured(t.Context(), 40, 240, func() {
				if err := r.setFaults(t.Context(), 2, row.faults); err != nil {
					t.Error(err)
				}
			})
			for _, err := range violations(jobs) {
				t.Error(err)
			}
			is.NoErr(r.auditJournals())
			n, err := r.countImports()
			is.NoErr(err)
			is.Equal(n > 0, row.imported)
			moves, err := r.countMoves()
			is.NoErr(err)
			is.Equal(moves > 0, row.moved)
			t.Logf("moves %d, imports %d, before %s, during %s, after %s", moves, n, quantiles(g.before), quantiles(g.during), quantiles(g.after))
		})
	}
}

// longAdmissionWait lets requests wait as long as their engines take. Tests that check
// streams under faults count each refusal as a violation, and on a busy machine engines
// take longer than the default limit of the wait.
const longAdmissionWait = "\n[Admission]\nMaxWait = \"60s\"\n"

// newRigWith is newRig with settings for the daemons.
func newRigWith(t *testing.T, settings string, n int, engineFlags ...string) *rig {
	t.Helper()
	r := &rig{Launcher: launcher.New("../bin", t.TempDir())}
	r.DaemonSettings = settings
	r.startUp(t, n, engineFlags...)
	return r
}
