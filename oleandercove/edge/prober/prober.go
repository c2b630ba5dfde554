// Package prober checks whether an engine answers.
//
//   - A report of a peer that an engine is down only starts a probe by this daemon, so
//     that a daemon with faulty links, or one that is shutting down, can't exclude healthy
//     engines for the others.
//   - A probe without an answer is repeated once, because one lost packet doesn't show
//     that an engine is down.
//   - An engine that the first engine of a chain names as the cause of a stall counts as
//     down without a probe.
//   - An engine that another engine names in a rejection is probed at once, with the usual
//     timeout: a shorter one excludes healthy engines on busy hosts.
//
// Load pattern: an engine in the middle of a chain crashes under some hundred streams. The
// first engine of a chain reports that only some hundred milliseconds later, but it rejects
// the next request at once, and the crashed engine refuses the connection of a probe.
//
// Usage:
//
//	p := prober.New(prober.Options{Engines: e, Directory: d, Judge: j, Timer: t, Log: l})
//	report, err := p.Report(ctx, server.ID, server.Address)
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
	// probeReuse is how long the result of a probe is used for later calls about the same
	// engine. Many streams begin at one engine and stall together.
	probeReuse = 150 * time.Millisecond
	// probeAttempts is how often a report is requested before an engine counts as down.
	probeAttempts = 2
)

// Engines requests reports from engines.
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
	// OnDown is called when this daemon itself detects that an engine is down; nil for
	// none.
	OnDown func(unit.BackendID)
}

// probe is one report of an engine, shared by all callers that wait for it.
type probe struct {
	done   chan struct{}
	at     time.Time
	report backend.Report
	err    error
}

// Prober reads reports of engines and marks engines that do not answer as down in the
// judge. It is safe for concurrent use.
type Prober struct {
	Options
	mu     sync.Mutex
	probes map[backend.Address]*probe
}

// New returns a Prober.
func New(o Options) *Prober {
	return &Prober{Options: o, probes: map[backend.Address]*probe{}}
}

// Report returns a report of an engine that is at most probeReuse old. It blocks until
// the engine answers, the probe fails or ctx is done. An engine that does not answer is
// marked as down; a ctx that is done doesn't change that state. The error is that of the
// last attempt or of ctx.
func (p *Prober) Report(ctx context.Context, id unit.BackendID, a backend.Address) (backend.Report, error) {
	x := p.probeFor(id, a)
	select {
	case <-x.done:
		return x.report, x.err
	case <-ctx.Done():
		return backend.Report{}, ctx.Err()
	}
}

// probeFor returns the current probe of an engine, or starts one.
func (p *Prober) probeFor(id unit.BackendID, a backend.Address) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.probes[a]
	if x == nil || x.expired(time.Now()) {
		x = &probe{done: make(chan struct{})}
		p.probes[a] = x
		go p.run(id, a, x)
	}
	return x
}

// expired reports whether the result of a probe is too old to be used.
func (x *probe) expired(now time.Time) bool {
	select {
	case <-x.done:
		return now.Sub(x.at) > probeReuse
	default:
		return false
	}
}

// run reads the report. It doesn't use the context of one caller, because others may
// wait for the same report.
func (p *Prober) run(id unit.BackendID, a backend.Address, x *probe) {
	defer close(x.done)
	for range probeAttempts {
		x.report, x.err = p.Engines.Report(context.Background(), a)
		if x.err == nil || errors.Is(x.err, syscall.ECONNREFUSED) {
			break
		}
	}
	x.at = time.Now()
	if errors.Is(x.err, syscall.ECONNREFUSED) {
		p.Judge.RecordExit(id, p.Timer.Now())
	}
	if x.err != nil {
		p.ReportDown(id, x.err.Error())
	}
}

// ReportDown marks an engine as down for judge.DownTime, and calls OnDown if it was not
// down before. The text why goes into the log.
func (p *Prober) ReportDown(id unit.BackendID, why string) {
	now := p.Timer.Now()
	if !p.Judge.SetDown(id, now, now.Add(judge.DownTime)) {
		return
	}
	p.Log.Warn("engine does not answer", "engine", id, "why", why)
	if p.OnDown != nil {
		p.OnDown(id)
	}
}

// ReportStalled marks the engines as down that another engine reports as the cause of
// stalls. A chain that begins at the reporting engine stalls on any later one that does
// not answer, so one report can name several. An engine without layers has restarted
// since and is not marked.
func (p *Prober) ReportStalled(list []backend.Stalled) {
	servers := p.Directory.Servers()
	now := p.Timer.Now()
	for _, x := range list {
		id, ok := servers.IDByAddress(x.Engine)
		if !ok || p.Judge.IsDown(id, now) {
			continue
		}
		if s, ok := servers.Get(id); ok && s.Layers.Len() > 0 {
			p.ReportDown(id, "reported as stalled by the first engine of a chain")
		}
	}
}

// ProbeSuspect starts a probe of an engine that a peer considers down, or that another engine
// names in a rejection: that one may be full, or it may be down. Backend servers that are not
// engines have no report; only real requests show whether they answer.
func (p *Prober) ProbeSuspect(id unit.BackendID) {
	x, ok := p.Directory.Servers().Get(id)
	table := p.Directory.Table()
	if !ok || table == nil || p.Judge.IsDown(id, p.Timer.Now()) {
		return
	}
	if s := table.Service(x.Service); s != nil && s.Engine != nil {
		p.probeFor(id, x.Address)
	}
}
