package prover_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/booker"
	"oleandercove.example/oleanderfake/storer"
	"oleandercove.example/prover/launcher"
)

const (
	// quietBefore and quietAfter are times of load without a fault.
	quietBefore, quietAfter = 500 * time.Millisecond, time.Second
	// observeInterval is the time between two reads of a daemon's catalogue.
	observeInterval = 30 * time.Millisecond
	// mixedRunEnv sets the number of seeds, and mixedFirstEnv the first one.
	mixedRunEnv, mixedFirstEnv = "MIXED_SEEDS", "MIXED_FIRST"
	// mixedKeepEnv names a folder that keeps the logs of failed seeds.
	mixedKeepEnv = "MIXED_KEEP"
)

// fixedSeeds run in CI.
var fixedSeeds = []uint64{1, 2, 3}

func mixedSeeds(t *testing.T) []uint64 {
	n, err := strconv.Atoi(os.Getenv(mixedRunEnv))
	if err != nil {
		return fixedSeeds
	}
	first := uint64(1)
	if s := os.Getenv(mixedFirstEnv); s != "" {
		first, err = strconv.ParseUint(s, 10, 64)
		is.New(t).NoErr(err)
	}
	var out []uint64
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}

// TestMixedFaults guards against every broken promise that the callers' own
// records and the journals of the fakes can show, while two faults of any kind
// hit a site under load. MIXED_SEEDS sets the number of seeds.
func TestMixedFaults(t *testing.T) {
	for _, seed := range mixedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			steps := drawSteps(rand.New(rand.NewPCG(seed, 0)))
			m := newMixed(t, seed)
			out := &tally{counts: map[string]int{}}
			m.run(seed, steps, out)
			t.Logf("seed %d: faults %q; %v; engines used %d; edits accepted %d, refused %v; violations %d; %s", seed, steps, out.counts,
				m.enginesUsed(), len(m.accepted), m.refused, len(m.violated), time.Since(start).Round(time.Millisecond))
			for _, v := range m.violated {
				t.Errorf("seed %d: %s", seed, v)
			}
			m.keep(seed)
		})
	}
}

// enginesUsed counts the engines that ran a part of a stream.
func (m *mixed) enginesUsed() (n int) {
	for _, e := range m.engines {
		if records, err := readJournal[engine.JournalRecord](m.Journal(e.Name)); err == nil && len(records) > 0 {
			n++
		}
	}
	return n
}

// keep copies the logs and journals of a failed run.
func (m *mixed) keep(seed uint64) {
	if dir := os.Getenv(mixedKeepEnv); dir != "" && m.t.Failed() {
		to := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		if err := os.CopyFS(to, os.DirFS(m.Dir)); err != nil {
			m.t.Logf("keep logs: %v", err)
		}
	}
}

func (m *mixed) run(seed uint64, steps []step, out *tally) {
	ctx := m.t.Context()
	p := platform.NewClient(platform.Options{Address: m.platform.Address})
	loading, calm := context.WithCancel(ctx)
	watching, stop := context.WithCancel(ctx)
	var load, watch sync.WaitGroup
	m.watch(watching, &watch, p)
	load.Go(func() { m.crowd(loading, seed, out) })
	<-m.timer.After(quietBefore)
	m.inject(ctx, steps)
	<-m.timer.After(quietAfter)
	calm()
	load.Wait()
	for i := range m.daemons {
		if err := launcher.Wait(settleLimit, "recovery", func() bool { return m.fresh(ctx, i) }); err != nil {
			m.violate("daemon %d: no fresh stream, booking and edit within %s after the faults", i, settleLimit)
		}
	}
	if err := launcher.Wait(settleLimit, "agreement", func() bool { return m.agree(ctx, p) }); err != nil {
		m.violate("daemons disagree %s after the faults", settleLimit)
	}
	stop()
	watch.Wait()
	for _, k := range []catalogue.Key{patched, replaced} {
		m.remember(ctx, p, k)
	}
	m.checkEdits(p, out)
	m.end()
	m.checkBookings(out)
	if err := (&rig{Launcher: m.Launcher, engines: m.engines}).auditJournals(); err != nil {
		m.violate("engine journals: %v", err)
	}
}

// watch reads the catalogue of each daemon and the history of the platform.
func (m *mixed) watch(ctx context.Context, wg *sync.WaitGroup, p platform.Client) {
	every := func(interval time.Duration, f func()) {
		wg.Go(func() {
			for ctx.Err() == nil {
				f()
				<-m.timer.After(interval)
			}
		})
	}
	for i := range m.daemons {
		c, seen := m.operator(i, ""), map[catalogue.Key]unit.Version{}
		every(observeInterval, func() {
			for k, v := range m.versions(ctx, c) {
				if v < seen[k] {
					m.violate("daemon %d went from version %d of %v to %d", i, seen[k], k, v)
				}
				seen[k] = v
			}
		})
	}
	for _, k := range []catalogue.Key{patched, replaced} {
		every(observeInterval, func() { m.remember(ctx, p, k) })
	}
}

func (m *mixed) checkEdits(p platform.Client, out *tally) {
	m.checkAccepted()
	var editors []*editor
	for _, e := range out.editors {
		e.possible = slices.Concat(e.possible, e.unknown)
		editors = append(editors, &e.editor)
	}
	m.checkOperators(m.t, p, editors)
}

// end stops all daemons and workers gracefully.
func (m *mixed) end() {
	is := is.New(m.t)
	all := slices.Concat(m.daemons, m.workers)
	is.NoErr(postFaults(m.platform.Address, storer.Faults{}))
	for _, p := range all {
		is.NoErr(p.Terminate())
	}
	for _, p := range all {
		is.NoErr(m.awaitExit(p, false))
	}
}

// checkBookings compares the answers of all bookings with the journals.
func (m *mixed) checkBookings(out *tally) {
	runs, keys := map[string]int{}, map[string]int{}
	for _, w := range m.workers {
		records, err := readJournal[booker.Record](m.Journal(w.Name))
		is.New(m.t).NoErr(err)
		for _, r := range records {
			runs[r.Body]++
			if r.Key != "" {
				keys[r.Key]++
			}
		}
	}
	for _, b := range out.bookings {
		if err := b.check(runs[b.body]); err != nil {
			m.violate("%v", err)
		}
	}
	for k, n := range keys {
		if n > 1 {
			m.violate("key %s ran %d times", k, n)
		}
	}
}
