// Package quarantiner finds requests that crash every backend server that runs
// them, and keeps such a request to two crashes in the whole fleet.
//
// A request is known by the fingerprint of its model and prompt. When a backend
// server crashes, every request that was running there gets a mark with the
// crash and its own position. A request that had not reached its first token
// there, or that has marks of two crashes, is a suspect: at most one suspect
// starts on one backend server at a time, so that the next crash names it. The
// marks are dropped as soon as the request has passed the positions of its
// crashes elsewhere, since a poison request would have crashed that backend
// server too.
//
// Usage:
//
//	q := quarantiner.New(quarantiner.Options{Timer: t, Recorder: j, Prober: p})
//	leave, isolated, err := q.Enter(ctx, f, chain)
//	defer leave()
//	if q.Passed(f, position) {
//		leave()
//	}
//	q.Failed(ctx, f, crash)
package quarantiner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
)

const (
	// memory is how long marks and convictions last. A caller that sends a
	// poison request again does so within minutes.
	memory = time.Hour
	// SettleDelay holds a suspect back before its next start, so that marks
	// from other daemons arrive first.
	SettleDelay = 150 * time.Millisecond
	// slotPoll is the pause between two looks for a free backend server.
	slotPoll = 10 * time.Millisecond
)

// Fingerprint identifies the content of a request.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Of returns the fingerprint of a model request.
func Of(model unit.EntryName, prompt string) Fingerprint {
	return Fingerprint(xxhash.Sum64String(string(model) + "\x00" + prompt))
}

// Crash describes the failure of a backend server while it ran a request.
type Crash struct {
	Stage engine.Stage
	// Start identifies the run of the backend server's process.
	Start string
	// Position is the number of tokens that the caller had.
	Position int
	// Progressed tells whether the request had a token from this process.
	Progressed bool
	// Isolated tells whether it was the only suspect there.
	Isolated bool
}

// ID identifies the crash in the whole fleet.
func (c Crash) ID() CrashID { return CrashID(string(c.Stage.Backend) + "/" + c.Start) }

// CrashID identifies one crash of a backend server.
type CrashID string

// Prober tells whether the process of a backend server has ended.
type Prober interface {
	// Crashed returns true only if the process with this start has ended.
	Crashed(ctx context.Context, s engine.Stage, start string) bool
}

// Options configures a Quarantiner.
type Options struct {
	Timer    timer.Service
	Recorder recorder.Recorder
	Log      *log.Logger
	Prober   Prober
	// Slots gives out backend servers to suspects; nil keeps them to this
	// daemon.
	Slots Slots
	// Share sends a mark to the peers; nil for a daemon without peers.
	Share func(Mark)
}

// Quarantiner is the filter and the keeper of marks.
type Quarantiner struct {
	options Options

	mu    sync.Mutex
	marks *Book
}

// New returns a Quarantiner without marks.
func New(o Options) *Quarantiner {
	if o.Slots == nil {
		o.Slots = NewLocalSlots(o.Timer)
	}
	return &Quarantiner{options: o, marks: NewBook()}
}

// Handle refuses a request that is known to be poison.
func (q *Quarantiner) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if r.Completion == nil {
		return next(ctx, r)
	}
	if f := Of(r.Name, r.Completion.Prompt); q.convicted(f) {
		return refusal(verdict.NotRun, f)
	}
	return next(ctx, r)
}

func refusal(v verdict.Verdict, f Fingerprint) error {
	return verdict.New(v, verdict.Quarantined, "request %s crashed the backend servers that ran it; do not send it again", f)
}

func (q *Quarantiner) convicted(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.marks.Convicted(f, q.options.Timer.Now())
}

// Enter waits until the request may start on all stages of the chain. A
// request without suspicion enters at once. The caller calls leave when the
// attempt ends or when Passed clears the request.
func (q *Quarantiner) Enter(ctx context.Context, f Fingerprint, stages []engine.Stage) (leave func(), isolated bool, err error) {
	if !q.suspect(f) {
		return func() {}, false, nil
	}
	if err := q.options.Timer.Sleep(ctx, SettleDelay); err != nil {
		return nil, false, err
	}
	for {
		if q.convicted(f) {
			return nil, false, refusal(verdict.MayHaveRun, f)
		}
		if q.take(ctx, f, stages) {
			return func() { q.free(f, stages) }, true, nil
		}
		if err := q.options.Timer.Sleep(ctx, slotPoll); err != nil {
			return nil, false, err
		}
	}
}

func (q *Quarantiner) suspect(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.marks.Suspect(f, q.options.Timer.Now())
}

// take reserves all stages for the suspect, or none.
func (q *Quarantiner) take(ctx context.Context, f Fingerprint, stages []engine.Stage) bool {
	for i, s := range stages {
		if !q.options.Slots.Take(ctx, s.Backend, f) {
			q.free(f, stages[:i])
			return false
		}
	}
	return true
}

func (q *Quarantiner) free(f Fingerprint, stages []engine.Stage) {
	for _, s := range stages {
		q.options.Slots.Free(s.Backend, f)
	}
}

// Passed tells that the caller has received a number of tokens. It returns true
// if the request got beyond the positions of its crashes and is cleared, on the
// peers too; the caller then leaves.
func (q *Quarantiner) Passed(f Fingerprint, position int) bool {
	q.mu.Lock()
	cleared := q.marks.Passed(f, position)
	q.mu.Unlock()
	for _, m := range cleared {
		m.Cleared = true
		q.share(m)
	}
	return len(cleared) > 0
}

func (q *Quarantiner) share(m Mark) {
	if q.options.Share != nil {
		q.options.Share(m)
	}
}

// Failed marks the request if the process of the backend server has ended. It
// returns a final refusal if the request is now known to be poison.
func (q *Quarantiner) Failed(ctx context.Context, r unit.RequestID, f Fingerprint, c Crash) error {
	if !q.options.Prober.Crashed(ctx, c.Stage, c.Start) {
		return nil
	}
	m := Mark{
		Fingerprint: f, Crash: c.ID(), Position: c.Position,
		Progressed: c.Progressed, Isolated: c.Isolated, At: q.options.Timer.Now(),
	}
	q.Merge(m)
	q.share(m)
	q.options.Recorder.Record(recorder.Event{Request: r, Part: "quarantiner", Decision: "Mark", Cause: string(c.ID())})
	if !q.convicted(f) {
		return nil
	}
	q.options.Log.Warn("quarantined a request that crashes backend servers", "fingerprint", f, "request", r, "crash", c.ID())
	return refusal(verdict.MayHaveRun, f)
}

// Merge takes over a mark of this daemon or a peer, or its withdrawal.
func (q *Quarantiner) Merge(m Mark) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.Cleared {
		q.marks.Clear(m.Fingerprint, m.Crash)
		return
	}
	q.marks.Add(m, q.options.Timer.Now())
}
