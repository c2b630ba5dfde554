package prover_test

import (
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderload/profile"
	"oleandercove.example/oleanderload/scheduler"
	"oleandercove.example/oleanderload/sender"
	"oleandercove.example/oleanderload/tracer"
	"oleandercove.example/prover/launcher"
)

const (
	// recordEnv is the variable that makes TestTraces write the traces instead of replaying
	// them.
	recordEnv = "RECORD_TRACES"
	// traceKillAt is the number of tokens after which an engine is killed.
	traceKillAt = 300
)

// traceProfile returns a load profile with one account that the catalogue doesn't contain.
func traceProfile(r *rig) *profile.Profile {
	p := &profile.Profile{
		Seed: firstSeed, Rate: 15, DurationSeconds: 3, Model: modelName, Layers: layers, DeadlineMs: 30000,
		Prompt: profile.Length{Median: 6, Sigma: 0.3, Min: 4, Max: 10}, Answer: profile.Length{Median: 25, Sigma: 0.4, Min: 10, Max: 60},
		Service: "logbook", ServicePath: "/entries", ServiceShare: 0.25,
		Accounts: []profile.Account{
			{Name: account, Token: launcher.Token(account), Weight: 8},
			{Name: "stranger", Token: launcher.Token("stranger"), Weight: 1},
		},
	}
	for _, d := range r.daemons {
		p.Addresses = append(p.Addresses, d.Address)
	}
	return p
}

// Guards against a change of a request's outcome (completeness, tokens, verdict, reason,
// violations), which shows when a recorded trace is replayed.
func TestTraces(t *testing.T) {
	traces := []struct {
		name, file string
		kill       bool
	}{
		{"outcome changes on a site without faults", "quiet.trace", false},
		{"outcome changes when an engine is killed", "engine-killed.trace", true},
	}
	for _, c := range traces {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 2)
			r.startWorkers(t, 1)
			s := sender.New(traceProfile(r))
			var tokens atomic.Int64
			var once sync.Once
			s.OnToken = func(int, int) {
				if c.kill && tokens.Add(1) >= traceKillAt {
					once.Do(r.engines[2].Kill)
				}
			}
			path := filepath.Join("testdata", c.file)
			if os.Getenv(recordEnv) != "" {
				writeTrace(t, path, s.Run(t.Context(), scheduler.Schedule(traceProfile(r))))
				return
			}
			f, err := os.Open(path)
			is.NoErr(err)
			defer f.Close()
			records, err := tracer.Read(f)
			is.NoErr(err)
			results := s.Run(t.Context(), tracer.Arrivals(records))
			for _, d := range tracer.Compare(records, results) {
				t.Errorf("request %d: want %s; got %s", d.Index, d.Want, d.Got)
			}
			is.True(len(records) > 0)
			is.Equal(r.engines[2].Exited(), c.kill)
			is.NoErr(r.auditJournals())
		})
	}
}

// writeTrace writes a trace. With and without a fault every request must be complete, except
// those of the unknown account, which are refused.
func writeTrace(t *testing.T, path string, results []sender.Result) {
	t.Helper()
	is := is.New(t)
	for _, r := range results {
		is.Equal(r.Outcome.Complete, r.Account == unit.AccountID(account))
	}
	f, err := os.Create(path)
	is.NoErr(err)
	defer f.Close()
	is.NoErr(tracer.Write(f, results))
}
