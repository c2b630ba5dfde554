// Package prober checks whether an engine answers.
//
//   - A report of a peer that an engine is down only starts a probe by this daemon, so
//     that a daemon with faulty links, or one that is shutting down, can't exclude healthy
//     engines for the others.
//   - A probe without an answer is repeated once, because one lost packet doesn't show
//     that an engine is down.
//   - An engine that the first engine of a chain names as the cause of a stall counts as
//     down without a probe.
//   - An engine that another engine names in a rejection, or that a peer considers down, is
//     probed with a short timeout.
//
// Load pattern: an engine in the middle of a chain falls silent under some hundred
// streams. The first engine of a chain reports that only some hundred milliseconds later,
// but it rejects the next request at once. Events of the streams pause for longer than
// their routes allow if the engine is only then probed for as long as any other one.
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
	// suspectTimeout bounds one request to an engine that is already suspected of being
	// down. Engines respond within milliseconds; the rest allows for a busy host.
	suspectTimeout = 30 * time.Millisecond
	// reportedAttempts is how often a report is requested from an engine that a peer
	// considers down. The peer itself has made several attempts.
	reportedAttempts = 1
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

// limits bounds a probe.
type limits struct {
	attempts int
	// timeout bounds one attempt; 0 means that of Engines.
	timeout time.Duration
}

var (
	usualLimits = limits{attempts: probeAttempts}
	// suspectLimits is for an engine that another engine names in a rejection, and
	// reportedLimits for one that a peer considers down.
	suspectLimits  = limits{attempts: probeAttempts, timeout: suspectTimeout}
	reportedLimits = limits{attempts: reportedAttempts, timeout: suspectTimeout}
)

// target is an engine that is probed within some limits.
type target struct {
	address backend.Address
	limits  limits
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
	probes map[target]*probe
}

// New returns a Prober.
func New(o Options) *Prober {
	return &Prober{Options: o, probes: map[target]*probe{}}
}

// Report returns a report of an engine that is at most probeReuse old. It blocks until
// the engine answers, the probe fails or ctx is done. An engine that does not answer is
// marked as down; a ctx that is done doesn't change that state. The error is that of the
// last attempt or of ctx.
func (p *Prober) Report(ctx context.Context, id unit.BackendID, a backend.Address) (backend.Report, error) {
	x := p.probeFor(id, target{address: a, limits: usualLimits})
	select {
	case <-x.done:
		return x.report, x.err
	case <-ctx.Done():
		return backend.Report{}, ctx.Err()
	}
}

// probeFor returns the current probe of an engine, or starts one.
func (p *Prober) probeFor(id unit.BackendID, t target) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.probes[t]
	if x == nil || x.expired(time.Now()) {
		x = &probe{done: make(chan struct{})}
		p.probes[t] = x
		go p.run(id, t, x)
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
func (p *Prober) run(id unit.BackendID, t target, x *probe) {
	defer close(x.done)
	for range t.limits.attempts {
		x.report, x.err = p.request(t)
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

// request requests one report.
func (p *Prober) request(t target) (backend.Report, error) {
	ctx := context.Background()
	if d := t.limits.timeout; d > 0 {
		bounded, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		ctx = bounded
	}
	return p.Engines.Report(ctx, t.address)
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

// ProbeSuspect starts a probe of an engine that another engine names in a rejection: it
// may be full, or it may be down.
func (p *Prober) ProbeSuspect(id unit.BackendID) { p.probeEngine(id, suspectLimits) }

// ProbeReported starts a probe of an engine that a peer considers down.
func (p *Prober) ProbeReported(id unit.BackendID) { p.probeEngine(id, reportedLimits) }

// probeEngine starts a probe of an engine that is not down. Backend servers that are not
// engines have no report; only real requests show whether they answer.
func (p *Prober) probeEngine(id unit.BackendID, l limits) {
	x, ok := p.Directory.Servers().Get(id)
	table := p.Directory.Table()
	if !ok || table == nil || p.Judge.IsDown(id, p.Timer.Now()) {
		return
	}
	if s := table.Service(x.Service); s != nil && s.Engine != nil {
		p.probeFor(id, target{address: x.Address, limits: l})
	}
}
