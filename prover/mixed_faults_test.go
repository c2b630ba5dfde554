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
	// minFault and maxFault bound the time for which a fault lasts. The upper
	// limit is longer than the limits for silent engines and daemons.
	minFault, maxFault = 600 * time.Millisecond, 2500 * time.Millisecond
	// maxApart bounds the time between the starts of two faults.
	maxApart = 1200 * time.Millisecond
	// cutDelayMs makes it likely that a cut falls inside a call.
	cutDelayMs = 40
)

// mixedFault is a fault with the things that it can apply to.
type mixedFault struct {
	name string
	// kind selects the targets.
	kind  targetKind
	start func(m *mixed, n int) error
	heal  func(m *mixed, n int) error
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

// target is one thing that a fault applies to; one fault at a time does.
type target struct {
	kind targetKind
	n    int
}

func (k targetKind) number() int {
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

func (m *mixed) links(k targetKind) []*faulter.Proxy {
	switch k {
	case onEngineLink:
		return m.engineLinks
	case onWorkerLink:
		return m.workerLinks
	case onPlatformLink:
		return m.stores
	default:
		return m.peerLinks
	}
}

func (m *mixed) processes(k targetKind) []*launcher.Process {
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
	p := func(m *mixed, n int) *launcher.Process { return m.processes(k)[n] }
	pause := func(m *mixed, n int) error { return p(m, n).Pause() }
	return []mixedFault{
		{
			name + " killed", k, func(m *mixed, n int) error { p(m, n).Kill(); return nil },
			func(m *mixed, n int) error { return p(m, n).Restart() },
		},
		{
			name + " frozen, then killed", k, pause,
			func(m *mixed, n int) error { p(m, n).Kill(); return p(m, n).Restart() },
		},
		{
			name + " frozen and thawed", k, pause,
			func(m *mixed, n int) error { return p(m, n).Resume() },
		},
		{
			name + " stopped gracefully", k, func(m *mixed, n int) error { return p(m, n).Terminate() },
			func(m *mixed, n int) error { return m.awaitExit(p(m, n), true) },
		},
	}
}

// awaitExit checks that a process that was asked to stop exits with 0.
func (m *mixed) awaitExit(p *launcher.Process, restart bool) error {
	code, err := p.WaitExit(exitLimit)
	switch {
	case err != nil:
		m.violate("graceful shutdown: %v", err)
		p.Kill()
	case code != 0:
		m.violate("%s exited with %d after a graceful shutdown", p.Name, code)
	}
	if !restart {
		return nil
	}
	return p.Restart()
}

// linkFaults returns the faults of one kind of link.
func linkFaults(name string, k targetKind) []mixedFault {
	heal := func(m *mixed, n int) error { return m.links(k)[n].Heal() }
	return []mixedFault{
		{name + " cut", k, func(m *mixed, n int) error { m.links(k)[n].Cut(); return nil }, heal},
		{name + " half open, silent", k, func(m *mixed, n int) error { return m.links(k)[n].HalfOpen(faulter.ToClient) }, heal},
		{name + " silent towards the client", k, func(m *mixed, n int) error { return m.links(k)[n].Silence(faulter.ToClient) }, heal},
		{name + " silent towards the server", k, func(m *mixed, n int) error { return m.links(k)[n].Silence(faulter.ToServer) }, heal},
	}
}

// workerFault makes a worker misbehave.
func workerFault(name string, f booker.Faults) mixedFault {
	return mixedFault{
		name, onWorker, func(m *mixed, n int) error { return postFaults(m.workers[n].Address, f) },
		func(m *mixed, n int) error { return postFaults(m.workers[n].Address, booker.Faults{}) },
	}
}

// cutInside closes the connections of a worker while calls run.
func cutInside() mixedFault {
	return mixedFault{"worker's connection cut inside calls", onWorker, func(m *mixed, n int) error {
		if err := postFaults(m.workers[n].Address, booker.Faults{DelayMs: cutDelayMs}); err != nil {
			return err
		}
		<-m.timer.After(cutDelayMs * time.Millisecond)
		m.workerLinks[n].Cut()
		return nil
	}, func(m *mixed, n int) error {
		if err := m.workerLinks[n].Heal(); err != nil {
			return err
		}
		return postFaults(m.workers[n].Address, booker.Faults{})
	}}
}

func platformFault(name string, f storer.Faults) mixedFault {
	return mixedFault{
		name, onPlatform, func(m *mixed, _ int) error { return postFaults(m.platform.Address, f) },
		func(m *mixed, _ int) error { return postFaults(m.platform.Address, storer.Faults{}) },
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
		cutInside(),
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

// step is one fault of a run with its times.
type step struct {
	fault mixedFault
	n     int
	after time.Duration
	lasts time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%s (number %d, after %s, for %s)", s.fault.name, s.n, s.after.Round(time.Millisecond), s.lasts.Round(time.Millisecond))
}

// drawSteps draws two faults that start together, one after the other, or are
// the same one twice.
func drawSteps(rnd *rand.Rand) []step {
	all := mixedFaults()
	// A kind is drawn first, so that links are not half of all faults.
	draw := func() step {
		k := targetKind(rnd.IntN(int(onPeerLink) + 1))
		var of []mixedFault
		for _, f := range all {
			if f.kind == k {
				of = append(of, f)
			}
		}
		return step{of[rnd.IntN(len(of))], rnd.IntN(k.number()), 0, 0}
	}
	a, b := draw(), draw()
	a.lasts = minFault + time.Duration(rnd.Int64N(int64(maxFault-minFault)))
	b.lasts = minFault + time.Duration(rnd.Int64N(int64(maxFault-minFault)))
	a.after = time.Duration(rnd.Int64N(int64(maxApart)))
	switch rnd.IntN(4) {
	case 0:
		b.after = a.after
	case 1:
		b, b.after = a, a.after+a.lasts+time.Duration(rnd.Int64N(int64(maxApart)))
	default:
		b.after = a.after + time.Duration(rnd.Int64N(int64(maxApart)))
	}
	return []step{a, b}
}

// inject runs the steps of a seed and returns when all have ended.
func (m *mixed) inject(ctx context.Context, steps []step) {
	var wg sync.WaitGroup
	for _, s := range steps {
		wg.Go(func() {
			<-m.timer.After(s.after)
			t := m.claim(target{s.fault.kind, s.n})
			defer m.release(t)
			if ctx.Err() != nil {
				return
			}
			m.apply(s, t)
		})
	}
	wg.Wait()
}

// claim reserves a target or the next free one of its kind.
func (m *mixed) claim(t target) target {
	for {
		m.stateMu.Lock()
		for range t.kind.number() {
			if !m.busy[t] {
				m.busy[t] = true
				m.stateMu.Unlock()
				return t
			}
			t.n = (t.n + 1) % t.kind.number()
		}
		m.stateMu.Unlock()
		<-m.timer.After(refreshInterval / 50)
	}
}

func (m *mixed) release(t target) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.busy[t] = false
}

func (m *mixed) apply(s step, t target) {
	at := -1
	if t.kind == onDaemon {
		m.stateMu.Lock()
		at = len(m.spans[t.n])
		m.spans[t.n] = append(m.spans[t.n], span{from: time.Now(), abrupt: s.fault.name != "daemon stopped gracefully"})
		m.stateMu.Unlock()
	}
	if err := s.fault.start(m, t.n); err != nil {
		m.violate("harness: start of %s: %v", s, err)
	}
	<-m.timer.After(s.lasts)
	if err := s.fault.heal(m, t.n); err != nil {
		m.violate("harness: end of %s: %v", s, err)
	}
	if at >= 0 {
		_ = launcher.WaitHTTP("http://"+m.daemons[t.n].Address+"/readyz", settleLimit)
		m.stateMu.Lock()
		m.spans[t.n][at].to = time.Now()
		m.stateMu.Unlock()
	}
}
