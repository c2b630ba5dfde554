package prover_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"oleandercove.example/oleanderfake/booker"
	"oleandercove.example/oleanderfake/storer"
	"oleandercove.example/prover/faulter"
	"oleandercove.example/prover/launcher"
)

const (
	// exitLimit bounds a graceful shutdown.
	exitLimit = 20 * time.Second
	// minFault and maxFault bound the duration of a fault. maxFault is longer than the time
	// after which silent engines and daemons are considered down.
	minFault, maxFault = 600 * time.Millisecond, 2500 * time.Millisecond
	// maxFaultSpacing bounds the random delays before the first and before the second fault.
	maxFaultSpacing = 1200 * time.Millisecond
	// cutDelayMs slows calls down, so that a cut is likely to fall inside one.
	cutDelayMs = 40
)

// mixedFault is a fault with the kind of target that it applies to.
type mixedFault struct {
	name string
	// kind is the kind of target; n selects one of them.
	kind  targetKind
	start func(m *mixedSite, n int) error
	heal  func(m *mixedSite, n int) error
}

type targetKind int

const (
	onEngine targetKind = iota
	onDaemon
	onWorker
	onPlatform
	onEngineLink
	onWorkerLink
	onPlatformLink
	onPeerLink
)

// target is one process or link; at most one fault at a time applies to it.
type target struct {
	kind  targetKind
	index int
}

func (k targetKind) count() int {
	switch k {
	case onEngine, onEngineLink:
		return mixedEngines
	case onWorker, onWorkerLink:
		return mixedWorkers
	case onPlatform:
		return 1
	default:
		return mixedDaemons
	}
}

func (m *mixedSite) proxies(k targetKind) []*faulter.Proxy {
	switch k {
	case onEngineLink:
		return m.engineLinks
	case onWorkerLink:
		return m.workerLinks
	case onPlatformLink:
		return m.platformLinks
	default:
		return m.peerLinks
	}
}

func (m *mixedSite) processes(k targetKind) []*launcher.Process {
	switch k {
	case onEngine:
		return m.engines
	case onDaemon:
		return m.daemons
	default:
		return m.workers
	}
}

// processFaults returns the faults of one kind of process.
func processFaults(name string, k targetKind) []mixedFault {
	p := func(m *mixedSite, n int) *launcher.Process { return m.processes(k)[n] }
	pause := func(m *mixedSite, n int) error { return p(m, n).Pause() }
	return []mixedFault{
		{
			name + " killed", k, func(m *mixedSite, n int) error { p(m, n).Kill(); return nil },
			func(m *mixedSite, n int) error { return p(m, n).Restart() },
		},
		{
			name + " paused, then killed", k, pause,
			func(m *mixedSite, n int) error { p(m, n).Kill(); return p(m, n).Restart() },
		},
		{
			name + " paused and resumed", k, pause,
			func(m *mixedSite, n int) error { return p(m, n).Resume() },
		},
		{
			name + " stopped gracefully", k, func(m *mixedSite, n int) error { return p(m, n).Terminate() },
			func(m *mixedSite, n int) error { return m.awaitExit(p(m, n), true) },
		},
	}
}

// awaitExit records a violation unless a terminated process exits with 0 within exitLimit,
// and then restarts it if restart is set.
func (m *mixedSite) awaitExit(p *launcher.Process, restart bool) error {
	code, err := p.WaitExit(exitLimit)
	switch {
	case err != nil:
		m.recordViolation("graceful shutdown: %v", err)
		p.Kill()
	case code != 0:
		m.recordViolation("%s exited with %d after a graceful shutdown", p.Name, code)
	}
	if !restart {
		return nil
	}
	return p.Restart()
}

// linkFaults returns the faults of one kind of link.
func linkFaults(name string, k targetKind) []mixedFault {
	heal := func(m *mixedSite, n int) error { return m.proxies(k)[n].Heal() }
	return []mixedFault{
		{name + " cut", k, func(m *mixedSite, n int) error { m.proxies(k)[n].Cut(); return nil }, heal},
		{name + " half open, silent", k, func(m *mixedSite, n int) error { return m.proxies(k)[n].HalfOpen(faulter.ToClient) }, heal},
		{name + " silent towards the client", k, func(m *mixedSite, n int) error { return m.proxies(k)[n].Silence(faulter.ToClient) }, heal},
		{name + " silent towards the server", k, func(m *mixedSite, n int) error { return m.proxies(k)[n].Silence(faulter.ToServer) }, heal},
	}
}

// workerFault returns a fault that a worker injects itself.
func workerFault(name string, f booker.Faults) mixedFault {
	return mixedFault{
		name, onWorker, func(m *mixedSite, n int) error { return postFaults(m.workers[n].Address, f) },
		func(m *mixedSite, n int) error { return postFaults(m.workers[n].Address, booker.Faults{}) },
	}
}

// cutDuringCalls returns a fault that closes the connections of a worker while calls run.
func cutDuringCalls() mixedFault {
	return mixedFault{"worker's connections cut during calls", onWorker, func(m *mixedSite, n int) error {
		if err := postFaults(m.workers[n].Address, booker.Faults{DelayMs: cutDelayMs}); err != nil {
			return err
		}
		<-m.timer.After(cutDelayMs * time.Millisecond)
		m.workerLinks[n].Cut()
		return nil
	}, func(m *mixedSite, n int) error {
		if err := m.workerLinks[n].Heal(); err != nil {
			return err
		}
		return postFaults(m.workers[n].Address, booker.Faults{})
	}}
}

func platformFault(name string, f storer.Faults) mixedFault {
	return mixedFault{
		name, onPlatform, func(m *mixedSite, _ int) error { return postFaults(m.platform.Address, f) },
		func(m *mixedSite, _ int) error { return postFaults(m.platform.Address, storer.Faults{}) },
	}
}

// mixedFaults returns every fault that a seed can draw.
func mixedFaults() []mixedFault {
	out := processFaults("engine", onEngine)
	out = append(out, processFaults("daemon", onDaemon)...)
	out = append(out, processFaults("worker", onWorker)...)
	out = append(out,
		workerFault("worker cuts connections before calls", booker.Faults{CutBefore: true}),
		workerFault("worker cuts connections after calls", booker.Faults{CutAfter: true}),
		cutDuringCalls(),
		platformFault("platform down", storer.Faults{Down: true}),
		platformFault("platform hangs", storer.Faults{Hang: true}),
		platformFault("platform slow", storer.Faults{SlowMs: 400}),
		platformFault("platform loses answers", storer.Faults{LoseAnswers: 0.4}),
		platformFault("platform loses writes", storer.Faults{LoseWrites: 0.4}))
	out = append(out, linkFaults("link to an engine", onEngineLink)...)
	out = append(out, linkFaults("link to a worker", onWorkerLink)...)
	out = append(out, linkFaults("link to the platform", onPlatformLink)...)
	return append(out, linkFaults("link to a daemon", onPeerLink)...)
}

// scheduledFault is one fault of a run with its target, start time and duration.
type scheduledFault struct {
	fault      mixedFault
	index      int
	startAfter time.Duration
	duration   time.Duration
}

func (s scheduledFault) String() string {
	return fmt.Sprintf("%s (number %d, after %s, for %s)", s.fault.name, s.index, s.startAfter.Round(time.Millisecond), s.duration.Round(time.Millisecond))
}

// drawFaults draws two faults: both start together, the same one comes twice in a row, or the
// second one starts a random time after the first.
func drawFaults(rnd *rand.Rand) []scheduledFault {
	all := mixedFaults()
	// The kind is drawn first, because link faults would otherwise be half of all faults.
	draw := func() scheduledFault {
		k := targetKind(rnd.IntN(int(onPeerLink) + 1))
		var candidates []mixedFault
		for _, f := range all {
			if f.kind == k {
				candidates = append(candidates, f)
			}
		}
		return scheduledFault{candidates[rnd.IntN(len(candidates))], rnd.IntN(k.count()), 0, 0}
	}
	a, b := draw(), draw()
	a.duration = minFault + time.Duration(rnd.Int64N(int64(maxFault-minFault)))
	b.duration = minFault + time.Duration(rnd.Int64N(int64(maxFault-minFault)))
	a.startAfter = time.Duration(rnd.Int64N(int64(maxFaultSpacing)))
	switch rnd.IntN(4) {
	case 0:
		b.startAfter = a.startAfter
	case 1:
		b, b.startAfter = a, a.startAfter+a.duration+time.Duration(rnd.Int64N(int64(maxFaultSpacing)))
	default:
		b.startAfter = a.startAfter + time.Duration(rnd.Int64N(int64(maxFaultSpacing)))
	}
	return []scheduledFault{a, b}
}

// injectFaults runs the faults of a seed and blocks until all have ended.
func (m *mixedSite) injectFaults(ctx context.Context, faults []scheduledFault) {
	var wg sync.WaitGroup
	for _, s := range faults {
		wg.Go(func() {
			<-m.timer.After(s.startAfter)
			t := m.claimTarget(target{s.fault.kind, s.index})
			defer m.releaseTarget(t)
			if ctx.Err() != nil {
				return
			}
			m.applyFault(s, t)
		})
	}
	wg.Wait()
}

// claimTarget reserves a target or the next free one of its kind; it blocks until one is
// free.
func (m *mixedSite) claimTarget(t target) target {
	for {
		m.stateMu.Lock()
		for range t.kind.count() {
			if !m.busy[t] {
				m.busy[t] = true
				m.stateMu.Unlock()
				return t
			}
			t.index = (t.index + 1) % t.kind.count()
		}
		m.stateMu.Unlock()
		<-m.timer.After(refreshInterval / 50)
	}
}

func (m *mixedSite) releaseTarget(t target) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.busy[t] = false
}

func (m *mixedSite) applyFault(s scheduledFault, t target) {
	outageIndex := -1
	if t.kind == onDaemon {
		m.stateMu.Lock()
		outageIndex = len(m.outages[t.index])
		m.outages[t.index] = append(m.outages[t.index], outage{from: time.Now(), abrupt: s.fault.name != "daemon stopped gracefully"})
		m.stateMu.Unlock()
	}
	if err := s.fault.start(m, t.index); err != nil {
		m.recordViolation("harness: start of %s: %v", s, err)
	}
	<-m.timer.After(s.duration)
	if err := s.fault.heal(m, t.index); err != nil {
		m.recordViolation("harness: end of %s: %v", s, err)
	}
	if outageIndex >= 0 {
		_ = launcher.WaitHTTP("http://"+m.daemons[t.index].Address+"/readyz", settleLimit)
		m.stateMu.Lock()
		m.outages[t.index][outageIndex].to = time.Now()
		m.stateMu.Unlock()
	}
}
