// Package streamer runs model streams on chains of engines: it chooses a chain, passes
// tokens to the caller in order and recovers from failed stages. Its inputs are a request
// and the statuses of the backend servers.
//
//   - Each attempt has its own epoch; events of other epochs are dropped.
//   - A token is emitted only at the next position, so that late, duplicate or out-of-order
//     responses can't reach the caller.
//   - After a failure only the failed stage is replaced; the other stages keep their KV
//     state and are not run again.
//
// Usage:
//
//	s := streamer.New(streamer.Options{
//		Backends: w, Tracker: k, Dispatcher: d, Quarantine: q, Recorder: j, Timer: t, Log: l,
//	})
//	err := s.Serve(ctx, r)
package streamer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/classifier"
	"oleandercove.example/oleandercove/dispatcher"
	"oleandercove.example/oleandercove/mover"
	"oleandercove.example/oleandercove/planner"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// maxAttempts bounds the failed attempts of one stream.
	maxAttempts = 12
	// replanDelay is the delay before the next plan when no chain covers all layers.
	replanDelay = 100 * time.Millisecond
	// retryAfter is the delay after which a caller may retry a failed request.
	retryAfter = time.Second
)

// Options configures a Streamer.
type Options struct {
	Backends   watcher.Backends
	Tracker    *tracker.Tracker
	Dispatcher dispatcher.Dispatcher
	// Policy compares chains; nil means planner.LeastDelay.
	Policy planner.Policy
	// Quarantine isolates requests that may crash backend servers.
	Quarantine *quarantiner.Quarantiner
	Recorder   recorder.Recorder
	Timer      timer.Service
	Log        *log.Logger
	// Signals is notified of engines that refuse work because they are leaving; nil is
	// valid.
	Signals watcher.LeavingSignals
	// MoveLimiter bounds the moves of running streams; nil disables moves.
	MoveLimiter *mover.Limiter
	// MoveLateStreams also moves late streams, not only those on leaving engines.
	MoveLateStreams bool
	// OnRecovery is called for each replacement of a stage; nil is valid.
	OnRecovery func(engine.FailureCause)
}

// Streamer serves model requests.
type Streamer struct {
	options    Options
	background sync.WaitGroup
}

// New returns a Streamer.
func New(o Options) *Streamer {
	if o.Policy == nil {
		o.Policy = planner.NewPolicy(planner.LeastDelay)
	}
	return &Streamer{options: o}
}

// tokenStream is the state of one stream at the daemon that owns it.
type tokenStream struct {
	*Streamer
	r           *request.Request
	id          unit.StreamID
	fingerprint quarantiner.Fingerprint
	epoch       unit.Epoch
	// attempts counts failed attempts; an attempt that ended with a move is not counted, nor is
	// one that a full engine refused after the caller had received tokens.
	attempts int
	// firstPosition is the position of the first token after the prompt.
	firstPosition unit.Position
	emitted       []unit.Token
	chain         []engine.Stage
	excluded      map[unit.BackendID]bool
	// stateless holds draining engines without KV state of the stream.
	stateless map[unit.BackendID]bool
	// mayHaveRun is true once an engine may have run a part of the request.
	mayHaveRun bool
	// holders holds all stages that may have KV state of the stream.
	holders map[unit.BackendID]engine.Stage
	// instances holds the start time of each engine's process at the last plan.
	instances map[unit.BackendID]string
	// emittedAtStart is the number of emitted tokens at the start of the attempt.
	emittedAtStart int
	isolated       bool
	// lastProgress is the time of the last token or of the start of the attempt,
	// lastCheck that of the last check for a stalled stage.
	lastProgress, lastCheck time.Time
	move                    moveState
	// suspected is true once the request ran during a possible crash or in isolation.
	suspected bool
	// endIsolation frees the engines that an isolated attempt reserved.
	endIsolation func()
}

// Serve runs the request and blocks until the stream ends, the request fails or ctx is
// done. An error is a *verdict.Error that states whether an engine may have run the request.
func (s *Streamer) Serve(ctx context.Context, r *request.Request) error {
	t := &tokenStream{
		Streamer: s, r: r, id: unit.StreamID(uuid.NewString()), fingerprint: quarantiner.FingerprintOf(r.Name, r.Completion.Prompt),
		excluded: map[unit.BackendID]bool{}, stateless: map[unit.BackendID]bool{}, holders: map[unit.BackendID]engine.Stage{}, instances: map[unit.BackendID]string{},
		move: moveState{importers: map[unit.BackendID]engine.Stage{}},
	}
	defer t.releaseState(ctx)
	for ; t.attempts < maxAttempts; t.attempts++ {
		if err := t.plan(ctx); err != nil {
			return err
		}
		done, err := t.attempt(ctx)
		if done || err != nil {
			return err
		}
	}
	return t.verdictError(verdict.BackendFailed, "gave up after %d attempts", maxAttempts)
}

// verdictError returns an error whose verdict states whether an engine may have run the
// request.
func (t *tokenStream) verdictError(reason verdict.Reason, format string, args ...any) error {
	v := verdict.NotRun
	if t.mayHaveRun {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, reason, format, args...).WithRetryAfter(retryAfter)
}

// attempt opens the stream with the next epoch and reads its events until the stream ends,
// a stage fails or a move is complete. It returns false without an error if another attempt
// is needed.
func (t *tokenStream) attempt(ctx context.Context) (done bool, err error) {
	endIsolation, isolated, err := t.options.Quarantine.Enter(ctx, t.fingerprint, t.chain)
	if err != nil {
		return false, t.quarantineError(ctx, err)
	}
	t.endIsolation = sync.OnceFunc(endIsolation)
	defer t.endIsolation()
	t.isolated, t.emittedAtStart = isolated, len(t.emitted)
	t.suspected = t.suspected || isolated
	t.epoch++
	t.lastProgress = t.options.Timer.Now()
	finish := t.trackLoad()
	defer finish()
	s, err := t.options.Dispatcher.Open(ctx, engine.StreamRequest{
		Stream: t.id, Epoch: t.epoch, Model: t.r.Name, Prompt: t.r.Completion.Prompt,
		Emitted: t.emitted, MaxTokens: t.r.Completion.MaxTokens, Priority: t.r.Priority, Chain: t.chain,
		Sampling: t.sampling(),
	})
	t.mayHaveRun = t.mayHaveRun || openMayHaveRun(err)
	if err != nil {
		return false, t.connectionLost(ctx, err)
	}
	defer s.Close()
	for e, err := range s.Events() {
		if err != nil {
			return false, t.connectionLost(ctx, err)
		}
		if f := t.checkProgress(e); f != nil {
			return false, t.stageFailed(ctx, f)
		}
		if f := t.checkMissing(e); f != nil {
			return false, t.stageFailed(ctx, f)
		}
		done, err := t.handleEvent(ctx, e)
		if done || err != nil || e.Kind == engine.EventFailed {
			return done, err
		}
		if t.advanceMove(ctx, e) {
			return false, nil
		}
	}
	return false, nil
}

// openMayHaveRun reports whether an engine may have run a part of the request, given the
// error of the call that opened the stream.
func openMayHaveRun(err error) bool {
	var e *dispatcher.OpenError
	return !errors.As(err, &e) || classifier.Classify(e.Outcome) != verdict.NotRun
}

// trackLoad counts the stream as in flight on every stage of its chain until finish is
// called.
func (t *tokenStream) trackLoad() (finish func()) {
	var stops []func()
	for _, s := range t.chain {
		t.holders[s.Backend] = s
		stops = append(stops, t.options.Tracker.Start(s.Backend))
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// handleEvent handles one event of the stream; events of other epochs or streams are
// dropped.
func (t *tokenStream) handleEvent(ctx context.Context, e engine.Event) (done bool, err error) {
	if e.Epoch != t.epoch || e.Stream != t.id {
		return false, nil
	}
	switch e.Kind {
	case engine.EventToken:
		if e.Load != nil {
			t.options.Tracker.SetReported(t.chain[0].Backend, e.Load.Running, t.options.Timer.Now())
		}
		return false, t.emit(e)
	case engine.EventEnd:
		t.r.Completion.Finish, t.r.Completion.Tokens = e.Finish, len(t.emitted)
		return true, nil
	case engine.EventFailed:
		return false, t.stageFailed(ctx, e.Failure)
	default:
		return false, nil
	}
}

// emit sends a token to the caller if it is at the next position. Tokens that the caller
// received before it resumed are not sent again.
func (t *tokenStream) emit(e engine.Event) error {
	if len(t.emitted) == 0 {
		t.firstPosition = e.Position
	}
	next := t.firstPosition + unit.Position(len(t.emitted))
	if e.Position != next {
		return nil
	}
	t.emitted = append(t.emitted, e.Token)
	if t.suspected {
		if t.options.Quarantine.ReachedPosition(t.fingerprint, len(t.emitted)) {
			t.endIsolation()
		}
	}
	if len(t.emitted) <= t.r.Completion.Resume {
		return nil
	}
	if err := t.r.Completion.Emit(e.Text); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.Canceled, "caller went away: %v", err)
	}
	return nil
}

// quarantineError returns the caller's error for a wait in quarantine that failed or was
// ended by ctx.
func (t *tokenStream) quarantineError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return t.contextError(ctx)
	}
	return err
}

// connectionLost handles a broken or silent connection to the first stage as a failure of
// that stage.
func (t *tokenStream) connectionLost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return t.contextError(ctx)
	}
	return t.stageFailed(ctx, &engine.Failure{Backend: t.chain[0].Backend, Cause: causeOf(err), Detail: err.Error()})
}

func (t *tokenStream) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return t.verdictError(verdict.DeadlineExceeded, "deadline passed after %d tokens", len(t.emitted))
	}
	return t.verdictError(verdict.Canceled, "caller went away after %d tokens", len(t.emitted))
}

// stageFailed records the failure of a stage and excludes the stage from the next plan,
// unless the failure concerns an old epoch. A broken connection counts as a possible crash;
// stageFailed returns an error if that crash puts the request into quarantine.
func (t *tokenStream) stageFailed(ctx context.Context, f *engine.Failure) error {
	if f == nil {
		return t.verdictError(verdict.Internal, "engine reported a failure without a cause")
	}
	t.options.Log.Warn("stage failed", "request", t.r.ID, "stream", t.id, "backend", f.Backend, "cause", f.Cause, "detail", f.Detail)
	t.options.Recorder.Record(recorder.Event{
		Request: t.r.ID, Part: "streamer", Decision: "ReplaceStage",
		Cause: string(f.Backend) + ": " + string(f.Cause) + ": " + f.Detail,
	})
	if t.options.OnRecovery != nil {
		t.options.OnRecovery(f.Cause)
	}
	if f.Cause == engine.CauseOldEpoch {
		return nil
	}
	t.excluded[f.Backend] = true
	switch f.Cause {
	case engine.CauseOverloaded:
		if len(t.emitted) > 0 {
			t.attempts--
		}
	case engine.CauseUnreachable, engine.CauseBroken:
		t.options.Backends.Suspect(f.Backend)
	case engine.CauseDraining:
		t.stateless[f.Backend] = true
		if t.options.Signals != nil {
			t.options.Signals.ReportLeaving(f.Backend, f.Detail)
		}
	}
	if f.Cause != engine.CauseBroken {
		return nil
	}
	t.suspected = true
	return t.options.Quarantine.RecordFailure(ctx, t.r.ID, t.fingerprint, quarantiner.Crash{
		Stage: t.holders[f.Backend], Start: t.instances[f.Backend], Position: len(t.emitted),
		Progressed: len(t.emitted) > t.emittedAtStart, Isolated: t.isolated,
	})
}

// releaseState cancels the stream in the background on all engines that may hold its state.
func (t *tokenStream) releaseState(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	holders, c := t.holders, engine.CancelRequest{Stream: t.id, Epoch: t.epoch}
	t.background.Go(func() {
		for _, s := range holders {
			t.options.Dispatcher.Cancel(ctx, s, c)
		}
	})
}
