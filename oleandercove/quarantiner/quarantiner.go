// Package quarantiner finds requests that crash every backend server that runs
// them, and limits such a request to two crashes in the whole fleet.
//
// A request is identified by the fingerprint of its model and prompt. When a backend
// server crashes, every request that was running there gets a crash record with the
// crash and its own position.
//
//   - A request that had not reached its first token there, or that has records of two
//     crashes, is a suspect. At most one suspect starts on a backend server at a time,
//     so that the next crash identifies the poison request.
//   - A suspect that crashes a backend server as the only suspect there is quarantined:
//     the request is refused. History has the whole rule.
//   - The records are removed as soon as the request has passed the positions of its
//     crashes elsewhere, since a poison request would have crashed that backend server
//     too.
//
// PartHistory does the same for parts of prompts that different requests have in common. The
// daemons that route on the platform use it; see package screener.
//
// Usage:
//
//	q := quarantiner.New(quarantiner.Options{Timer: t, Recorder: j, Log: l, Prober: p})
//	release, isolated, err := q.Enter(ctx, f, stages)
//	defer release()
//	if q.ReachedPosition(f, position) {
//		release()
//	}
//	err = q.RecordFailure(ctx, id, f, crash)
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
	// recordTTL is how long crash records and quarantines last. A caller that sends a
	// poison request again does so within minutes.
	recordTTL = time.Hour
	// SettleDelay delays the next start of a suspect, so that crash records from other
	// daemons arrive first.
	SettleDelay = 150 * time.Millisecond
	// slotPollInterval is the time between two attempts to reserve the slots of a chain.
	slotPollInterval = 10 * time.Millisecond
)

// Fingerprint identifies the content of a request.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// FingerprintOf returns the fingerprint of a model request.
func FingerprintOf(model unit.EntryName, prompt string) Fingerprint {
	return Fingerprint(xxhash.Sum64String(string(model) + "\x00" + prompt))
}

// Crash describes the failure of a backend server while it ran a request.
type Crash struct {
	Stage engine.Stage
	// Start identifies the instance of the backend server.
	Start string
	// Position is the number of tokens that the caller had received.
	Position int
	// Progressed is set if the request had received a token from this instance.
	Progressed bool
	// Isolated is set if the request was the only suspect there.
	Isolated bool
}

// ID returns the fleet-wide id of the crash.
func (c Crash) ID() CrashID { return CrashID(string(c.Stage.Backend) + "/" + c.Start) }

// CrashID identifies one crash of a backend server.
type CrashID string

// Prober checks whether an instance of a backend server has crashed.
type Prober interface {
	// Crashed reports whether the instance with this start is known to have crashed.
	Crashed(ctx context.Context, s engine.Stage, start string) bool
}

// Options configures a Quarantiner.
type Options struct {
	Timer    timer.Service
	Recorder recorder.Recorder
	Log      *log.Logger
	Prober   Prober
	// Slots reserves backend servers for suspects; nil for slots of this daemon only.
	Slots Slots
	// Share sends a crash record to the peers; nil for a daemon without peers.
	Share func(CrashRecord)
}

// Quarantiner refuses poison requests and holds the crash records. It is safe for
// concurrent use.
type Quarantiner struct {
	options Options

	mu      sync.Mutex
	history *History
}

// New returns a Quarantiner without crash records.
func New(o Options) *Quarantiner {
	if o.Slots == nil {
		o.Slots = NewLocalSlots(o.Timer)
	}
	return &Quarantiner{options: o, history: NewHistory()}
}

// Handle refuses a quarantined request before it is sent.
func (q *Quarantiner) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if r.Completion == nil {
		return next(ctx, r)
	}
	if f := FingerprintOf(r.Name, r.Completion.Prompt); q.isQuarantined(f) {
		return refusal(verdict.NotRun, f)
	}
	return next(ctx, r)
}

func refusal(v verdict.Verdict, f Fingerprint) error {
	return verdict.New(v, verdict.Quarantined, "request %s crashed the backend servers that ran it; do not send it again", f)
}

func (q *Quarantiner) isQuarantined(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.history.IsQuarantined(f, q.options.Timer.Now())
}

// Enter blocks until the request may start on all stages of the chain, or until ctx is
// done; a request that is not a suspect may start at once. The caller calls release when
// the attempt ends or when ReachedPosition clears the request. The error is that of ctx,
// or a refusal if the request is quarantined in the meantime.
func (q *Quarantiner) Enter(ctx context.Context, f Fingerprint, stages []engine.Stage) (release func(), isolated bool, err error) {
	if !q.isSuspect(f) {
		return func() {}, false, nil
	}
	if err := q.options.Timer.Sleep(ctx, SettleDelay); err != nil {
		return nil, false, err
	}
	for {
		if q.isQuarantined(f) {
			return nil, false, refusal(verdict.MayHaveRun, f)
		}
		if q.reserveSlots(ctx, f, stages) {
			return func() { q.releaseSlots(f, stages) }, true, nil
		}
		if err := q.options.Timer.Sleep(ctx, slotPollInterval); err != nil {
			return nil, false, err
		}
	}
}

func (q *Quarantiner) isSuspect(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.history.IsSuspect(f, q.options.Timer.Now())
}

// reserveSlots reserves the slots of all stages for the suspect, or none.
func (q *Quarantiner) reserveSlots(ctx context.Context, f Fingerprint, stages []engine.Stage) bool {
	for i, s := range stages {
		if !q.options.Slots.Acquire(ctx, s.Backend, f) {
			q.releaseSlots(f, stages[:i])
			return false
		}
	}
	return true
}

func (q *Quarantiner) releaseSlots(f Fingerprint, stages []engine.Stage) {
	for _, s := range stages {
		q.options.Slots.Release(s.Backend, f)
	}
}

// ReachedPosition records that the caller has received position tokens. It reports
// whether the request got beyond the positions of its crashes and is cleared, on the
// peers too; the caller then calls release.
func (q *Quarantiner) ReachedPosition(f Fingerprint, position int) bool {
	q.mu.Lock()
	cleared := q.history.ReachedPosition(f, position)
	q.mu.Unlock()
	for _, rec := range cleared {
		rec.Cleared = true
		q.share(rec)
	}
	return len(cleared) > 0
}

func (q *Quarantiner) share(rec CrashRecord) {
	if q.options.Share != nil {
		q.options.Share(rec)
	}
}

// RecordFailure adds a crash record for the request if the backend server has crashed. It
// returns a final refusal if the request is quarantined now.
func (q *Quarantiner) RecordFailure(ctx context.Context, r unit.RequestID, f Fingerprint, c Crash) error {
	if !q.options.Prober.Crashed(ctx, c.Stage, c.Start) {
		return nil
	}
	rec := CrashRecord{
		Fingerprint: f, Crash: c.ID(), Position: c.Position,
		Progressed: c.Progressed, Isolated: c.Isolated, At: q.options.Timer.Now(),
	}
	q.Merge(rec)
	q.share(rec)
	q.options.Recorder.Record(recorder.Event{Request: r, Part: "quarantiner", Decision: "Mark", Cause: string(c.ID())})
	if !q.isQuarantined(f) {
		return nil
	}
	q.options.Log.Warn("quarantined a request that crashes backend servers", "fingerprint", f, "request", r, "crash", c.ID())
	return refusal(verdict.MayHaveRun, f)
}

// Merge applies a crash record of this daemon or a peer, or its withdrawal.
func (q *Quarantiner) Merge(rec CrashRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if rec.Cleared {
		q.history.RemoveRecord(rec.Fingerprint, rec.Crash)
		return
	}
	q.history.Add(rec, q.options.Timer.Now())
}
