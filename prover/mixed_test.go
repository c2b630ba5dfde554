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
	// faultFreeBefore and faultFreeAfter are the times of load without a fault, before and
	// after the faults.
	faultFreeBefore, faultFreeAfter = 500 * time.Millisecond, time.Second
	// observeInterval is the time between two reads of a daemon's catalogue or of the history.
	observeInterval = 30 * time.Millisecond
	// mixedSeedsEnv sets the number of seeds, and mixedFirstEnv the first one.
	mixedSeedsEnv, mixedFirstEnv = "MIXED_SEEDS", "MIXED_FIRST"
	// mixedKeepEnv names a folder to which the logs and journals of failed seeds are copied.
	mixedKeepEnv = "MIXED_KEEP"
)

// fixedSeeds are the seeds of a run without mixedSeedsEnv, as in CI.
var fixedSeeds = []uint64{1, 2, 3}

func mixedSeeds(t *testing.T) []uint64 {
	n, err := strconv.Atoi(os.Getenv(mixedSeedsEnv))
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

// Guards against every broken guarantee that the callers' records and the fakes' journals
// can show, which happens when two faults of any kind hit a site under load. MIXED_SEEDS
// sets the number of seeds.
func TestMixedFaults(t *testing.T) {
	for _, seed := range mixedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			faults := drawFaults(rand.New(rand.NewPCG(seed, 0)))
			m := newMixedSite(t, seed)
			out := &tally{counts: map[string]int{}}
			m.run(seed, faults, out)
			t.Logf("seed %d: faults %q; %v; engines used %d; edits accepted %d, refused %v; violations %d; %s", seed, faults, out.counts,
				m.enginesUsed(), len(m.accepted), m.refusals, len(m.violations), time.Since(start).Round(time.Millisecond))
			for _, v := range m.violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			m.keepLogs(seed)
		})
	}
}

// enginesUsed counts the engines that ran a stage of a stream.
func (m *mixedSite) enginesUsed() (n int) {
	for _, e := range m.engines {
		if records, err := readJournal[engine.JournalRecord](m.Journal(e.Name)); err == nil && len(records) > 0 {
			n++
		}
	}
	return n
}

// keepLogs copies the logs and journals of a failed run to the folder that mixedKeepEnv names.
func (m *mixedSite) keepLogs(seed uint64) {
	if dir := os.Getenv(mixedKeepEnv); dir != "" && m.t.Failed() {
		to := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		if err := os.CopyFS(to, os.DirFS(m.Dir)); err != nil {
			m.t.Logf("keep logs: %v", err)
		}
	}
}

// run applies load and faults, waits for the recovery, stops the site, and records every
// violation.
func (m *mixedSite) run(seed uint64, faults []scheduledFault, out *tally) {
	ctx := m.t.Context()
	p := platform.NewClient(platform.Options{Address: m.platform.Address})
	loadCtx, stopLoad := context.WithCancel(ctx)
	watchCtx, stopWatching := context.WithCancel(ctx)
	var load, watch sync.WaitGroup
	m.startWatching(watchCtx, &watch, p)
	load.Go(func() { m.runCallers(loadCtx, seed, out) })
	<-m.timer.After(faultFreeBefore)
	m.injectFaults(ctx, faults)
	<-m.timer.After(faultFreeAfter)
	stopLoad()
	load.Wait()
	for i := range m.daemons {
		if err := launcher.Wait(settleLimit, "recovery", func() bool { return m.serves(ctx, i) }); err != nil {
			m.recordViolation("daemon %d: no new stream, booking and edit succeeded within %s after the faults", i, settleLimit)
		}
	}
	if err := launcher.Wait(settleLimit, "agreement", func() bool { return m.agree(ctx, p) }); err != nil {
		m.recordViolation("daemons apply different versions %s after the faults", settleLimit)
	}
	stopWatching()
	watch.Wait()
	for _, k := range []catalogue.Key{patchedKey, replacedKey} {
		m.recordHistory(ctx, p, k)
	}
	m.checkEdits(p, out)
	m.stopAll()
	m.checkBookings(out)
	if err := (&rig{Launcher: m.Launcher, engines: m.engines}).auditJournals(); err != nil {
		m.recordViolation("engine journals: %v", err)
	}
}

// startWatching reads the catalogue of each daemon and the history on the platform repeatedly
// until ctx is done.
func (m *mixedSite) startWatching(ctx context.Context, wg *sync.WaitGroup, p platform.Client) {
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
			for k, v := range m.appliedVersions(ctx, c) {
				if v < seen[k] {
					m.recordViolation("daemon %d went from version %d of %v to %d", i, seen[k], k, v)
				}
				seen[k] = v
			}
		})
	}
	for _, k := range []catalogue.Key{patchedKey, replacedKey} {
		every(observeInterval, func() { m.recordHistory(ctx, p, k) })
	}
}

func (m *mixedSite) checkEdits(p platform.Client, out *tally) {
	m.checkAccepted()
	var editors []*editor
	for _, e := range out.editors {
		e.possibleValues = slices.Concat(e.possibleValues, e.unknownValues)
		editors = append(editors, &e.editor)
	}
	m.checkEditors(m.t, p, editors)
}

// stopAll stops all daemons and workers gracefully, without faults of the platform.
func (m *mixedSite) stopAll() {
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

// checkBookings compares the answers of all bookings with the workers' journals.
func (m *mixedSite) checkBookings(out *tally) {
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
			m.recordViolation("%v", err)
		}
	}
	for k, n := range keys {
		if n > 1 {
			m.recordViolation("key %s ran %d times", k, n)
		}
	}
}
