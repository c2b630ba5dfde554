// Package prober finds out whether an engine answers.
//
// An engine counts as down only after this daemon has asked it itself: a daemon
// whose own links are harmed, or that is shutting down, must not talk the others
// out of sound engines. An answer that does not come in time is asked for once
// more, because a lost packet alone is no reason.
//
// Usage:
//
//	p := prober.New(prober.Options{Engines: e, Directory: d, Judge: j, Timer: t, Log: l})
//	report, err := p.Report(ctx, server)
package prober

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/judge"
)

const (
	// reuse is how long the result of a probe answers for later questions about
	// the same engine. Many streams begin at one engine and stall together.
	reuse = 150 * time.Millisecond
	// tries is how often an engine is asked before it counts as down.
	tries = 2
)

// Engines are the calls to engines.
type Engines interface {
	Report(ctx context.Context, a backend.Address) (backend.Report, error)
}

// Options configures a Prober.
type Options struct {
	Engines   Engines
	Directory *directory.Directory
	Judge     *judge.Judge
	Timer     timer.Service
	Log       *log.Logger
	// Found is called when this daemon finds out by itself that an engine is down.
	Found func(unit.BackendID)
}

// probe is one report of an engine, shared by all that ask meanwhile.
type probe struct {
	done   chan struct{}
	at     time.Time
	report backend.Report
	err    error
}

// Prober reads reports of engines and tells the judge which ones are down.
type Prober struct {
	Options
	mu     sync.Mutex
	probes map[backend.Address]*probe
}

// New returns a Prober.
func New(o Options) *Prober {
	return &Prober{Options: o, probes: map[backend.Address]*probe{}}
}

// Report returns a recent report of an engine. An engine that does not answer is
// marked as down.
func (p *Prober) Report(ctx context.Context, id unit.BackendID, a backend.Address) (backend.Report, error) {
	x := p.start(id, a)
	select {
	case <-x.done:
		return x.report, x.err
	case <-ctx.Done():
		return backend.Report{}, ctx.Err()
	}
}

// start returns the probe that answers a question asked now.
func (p *Prober) start(id unit.BackendID, a backend.Address) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.probes[a]
	if x == nil || x.over(time.Now()) {
		x = &probe{done: make(chan struct{})}
		p.probes[a] = x
		go p.run(id, a, x)
	}
	return x
}

// over tells whether a probe is too old to answer.
func (x *probe) over(now time.Time) bool {
	select {
	case <-x.done:
		return now.Sub(x.at) > reuse
	default:
		return false
	}
}

// run reads the report. The context is not that of a request, because others may
// wait for the same report.
func (p *Prober) run(id unit.BackendID, a backend.Address, x *probe) {
	defer close(x.done)
	for range tries {
		x.report, x.err = p.Engines.Report(context.Background(), a)
		if x.err == nil || errors.Is(x.err, syscall.ECONNREFUSED) {
			break
		}
	}
	x.at = time.Now()
	if errors.Is(x.err, syscall.ECONNREFUSED) {
		p.Judge.Ended(id, p.Timer.Now())
	}
	if x.err != nil {
		p.Down(id, x.err.Error())
	}
}

// Down marks an engine as down for its usual time, and tells peers if that is news.
func (p *Prober) Down(id unit.BackendID, why string) {
	now := p.Timer.Now()
	if !p.Judge.Down(id, now, now.Add(judge.DownTime)) {
		return
	}
	p.Log.Warn("engine does not answer", "engine", id, "why", why)
	if p.Found != nil {
		p.Found(id)
	}
}

// Stalled marks the engines down that an engine names as the cause of stalls. A
// chain that begins at this engine stalls on any later one that does not answer, so
// one report can name several. An engine without layers has started anew since.
func (p *Prober) Stalled(list []backend.Stalled) {
	servers := p.Directory.Servers()
	now := p.Timer.Now()
	for _, x := range list {
		id, ok := servers.At(x.Engine)
		if !ok || p.Judge.IsDown(id, now) {
			continue
		}
		if s, ok := servers.Get(id); ok && s.Layers.Len() > 0 {
			p.Down(id, "named by the first engine of a chain")
		}
	}
}

// Suspect checks an engine that a peer holds to be down. Other backend servers
// have no report; real requests show how they do.
func (p *Prober) Suspect(id unit.BackendID) {
	x, ok := p.Directory.Servers().Get(id)
	table := p.Directory.Table()
	if !ok || table == nil || p.Judge.IsDown(id, p.Timer.Now()) {
		return
	}
	if s := table.Service(x.Service); s != nil && s.Engine != nil {
		p.start(id, x.Address)
	}
}
