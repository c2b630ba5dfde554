// Package streamer owns model streams: it chooses a chain, passes tokens to
// the caller in order, and recovers from failed stages.
//
// Each attempt has its own epoch. Events of other epochs are dropped, and a
// token is emitted only at the next position, so that late, doubled or crossed
// answers can't reach the caller. After a failure only the failed stage is
// replaced; the other stages keep their KV state and are not run again.
//
// Usage:
//
//	s := streamer.New(streamer.Options{Backends: w, Dispatcher: d})
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
	// maxAttempts bounds the recoveries of one stream.
	maxAttempts = 12
	// replanDelay is the pause before a new plan when no chain is left.
	replanDelay = 100 * time.Millisecond
	// comeBack is when a caller should try again after a refusal.
	comeBack = time.Second
)

// Options configures a Streamer.
type Options struct {
	Backends   watcher.Backends
	Tracker    *tracker.Tracker
	Dispatcher dispatcher.Dispatcher
	// Policy compares chains; nil is the default.
	Policy planner.Policy
	// Quarantine isolates requests that may crash backend servers.
	Quarantine *quarantiner.Quarantiner
	Recorder   recorder.Recorder
	Timer      timer.Service
	Log        *log.Logger
	// Signs learns of engines that refuse work because they leave; nil is valid.
	Signs watcher.Signs
	// Gate bounds the moves of running streams; nil leaves all of them where
	// they are.
	Gate *mover.Gate
	// MoveLate lets late streams move, not only those on leaving engines.
	MoveLate bool
	// OnRecovery is called for each replacement of a stage; nil is valid.
	OnRecovery func(engine.FailureCause)
}

// Streamer serves model requests.
type Streamer struct {
	options  Options
	releases sync.WaitGroup
}

// New returns a Streamer.
func New(o Options) *Streamer {
	if o.Policy == nil {
		o.Policy = planner.NewPolicy(planner.LeastDelay)
	}
	return &Streamer{options: o}
}

// run is the state of one stream at its owner.
type run struct {
	*Streamer
	r     *request.Request
	id    unit.StreamID
	print quarantiner.Fingerprint
	epoch unit.Epoch
	// attempts counts those that failed, not those that ended with a move.
	attempts int
	prompt   unit.Position
	emitted  []unit.Token
	chain    []engine.Stage
	excluded map[unit.BackendID]bool
	// lacks lists draining engines that hold no state of the stream.
	lacks map[unit.BackendID]bool
	// started is true once an engine may have run a part of the request.
	started bool
	// held lists all stages that may hold state of the stream.
	held map[unit.BackendID]engine.Stage
	// starts holds the process of each engine at the time of the plan.
	starts map[unit.BackendID]string
	// touched is the number of emitted tokens when the attempt began.
	touched  int
	isolated bool
	// progressed is the time of the last token or the begin of the attempt,
	// checked that of the last look for a stalled stage.
	progressed, checked time.Time
	move                moving
	// marked is true once the request was in a crash or under suspicion.
	marked bool
	// leave ends the isolation of the attempt.
	leave func()
}

// Serve runs the request to its end or returns a *verdict.Error.
func (s *Streamer) Serve(ctx context.Context, r *request.Request) error {
	t := &run{
		Streamer: s, r: r, id: unit.StreamID(uuid.NewString()), print: quarantiner.Of(r.Name, r.Completion.Prompt),
		excluded: map[unit.BackendID]bool{}, lacks: map[unit.BackendID]bool{}, held: map[unit.BackendID]engine.Stage{}, starts: map[unit.BackendID]string{},
		move: moving{holds: map[unit.BackendID]engine.Stage{}},
	}
	defer t.release(ctx)
	for ; t.attempts < maxAttempts; t.attempts++ {
		if err := t.plan(ctx); err != nil {
			return err
		}
		done, err := t.attempt(ctx)
		if done || err != nil {
			return err
		}
	}
	return t.failure(verdict.BackendFailed, "gave up after %d attempts", maxAttempts)
}

// failure returns an error whose verdict says whether an engine ran.
func (t *run) failure(reason verdict.Reason, format string, args ...any) error {
	v := verdict.NotRun
	if t.started {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, reason, format, args...).After(comeBack)
}

// attempt opens the stream with the next epoch and reads it until it ends.
func (t *run) attempt(ctx context.Context) (done bool, err error) {
	leave, isolated, err := t.options.Quarantine.Enter(ctx, t.print, t.chain)
	if err != nil {
		return false, t.refused(ctx, err)
	}
	t.leave = sync.OnceFunc(leave)
	defer t.leave()
	t.isolated, t.touched = isolated, len(t.emitted)
	t.marked = t.marked || isolated
	t.epoch++
	t.progressed = t.options.Timer.Now()
	finish := t.track()
	defer finish()
	s, err := t.options.Dispatcher.Open(ctx, engine.StreamRequest{
		Stream: t.id, Epoch: t.epoch, Model: t.r.Name, Prompt: t.r.Completion.Prompt,
		Emitted: t.emitted, MaxTokens: t.r.Completion.MaxTokens, Priority: t.r.Priority, Chain: t.chain,
		Sampling: t.sampling(),
	})
	t.started = t.started || mayHaveRun(err)
	if err != nil {
		return false, t.lost(ctx, err)
	}
	defer s.Close()
	for e, err := range s.Events() {
		if err != nil {
			return false, t.lost(ctx, err)
		}
		if f := t.stalled(e); f != nil {
			return false, t.failed(ctx, f)
		}
		done, err := t.apply(ctx, e)
		if done || err != nil || e.Kind == engine.EventFailed {
			return done, err
		}
		if t.moves(ctx, e) {
			return false, nil
		}
	}
	return false, nil
}

// mayHaveRun tells whether an engine may have run a part of the request after
// the call that opened the stream.
func mayHaveRun(err error) bool {
	var e *dispatcher.OpenError
	return !errors.As(err, &e) || classifier.Classify(e.Outcome) != verdict.NotRun
}

// track counts the stream on every stage of its chain.
func (t *run) track() (finish func()) {
	var ends []func()
	for _, s := range t.chain {
		t.held[s.Backend] = s
		ends = append(ends, t.options.Tracker.Start(s.Backend))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// apply handles one event of the current attempt.
func (t *run) apply(ctx context.Context, e engine.Event) (done bool, err error) {
	if e.Epoch != t.epoch || e.Stream != t.id {
		return false, nil
	}
	switch e.Kind {
	case engine.EventToken:
		if e.Load != nil {
			t.options.Tracker.Report(t.chain[0].Backend, e.Load.Running, t.options.Timer.Now())
		}
		return false, t.emit(e)
	case engine.EventEnd:
		t.r.Completion.Finish, t.r.Completion.Tokens = e.Finish, len(t.emitted)
		return true, nil
	case engine.EventFailed:
		return false, t.failed(ctx, e.Failure)
	default:
		return false, nil
	}
}

// emit passes a token on if it is the next one.
func (t *run) emit(e engine.Event) error {
	if len(t.emitted) == 0 {
		t.prompt = e.Position
	}
	next := t.prompt + unit.Position(len(t.emitted))
	if e.Position != next {
		return nil
	}
	t.emitted = append(t.emitted, e.Token)
	if t.marked {
		if t.options.Quarantine.Passed(t.print, len(t.emitted)) {
			t.leave()
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

// refused turns the end of a wait for quarantine into the caller's error.
func (t *run) refused(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return t.ended(ctx)
	}
	return err
}

// lost handles a broken or silent connection to the first stage.
func (t *run) lost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return t.ended(ctx)
	}
	return t.failed(ctx, &engine.Failure{Backend: t.chain[0].Backend, Cause: causeOf(err), Detail: err.Error()})
}

func (t *run) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return t.failure(verdict.DeadlineExceeded, "deadline passed after %d tokens", len(t.emitted))
	}
	return t.failure(verdict.Canceled, "caller went away after %d tokens", len(t.emitted))
}

// failed excludes the failed stage from the next plan.
func (t *run) failed(ctx context.Context, f *engine.Failure) error {
	if f == nil {
		return t.failure(verdict.Internal, "engine reported a failure without a cause")
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
	case engine.CauseUnreachable, engine.CauseBroken:
		t.options.Backends.Suspect(f.Backend)
	case engine.CauseDraining:
		t.lacks[f.Backend] = true
		if t.options.Signs != nil {
			t.options.Signs.Leaving(f.Backend, f.Detail)
		}
	}
	if f.Cause != engine.CauseBroken {
		return nil
	}
	t.marked = true
	return t.options.Quarantine.Failed(ctx, t.r.ID, t.print, quarantiner.Crash{
		Stage: t.held[f.Backend], Start: t.starts[f.Backend], Position: len(t.emitted),
		Progressed: len(t.emitted) > t.touched, Isolated: t.isolated,
	})
}

// release drops the stream's state on all engines that may hold it.
func (t *run) release(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	held, c := t.held, engine.CancelRequest{Stream: t.id, Epoch: t.epoch}
	t.releases.Go(func() {
		for _, s := range held {
			t.options.Dispatcher.Cancel(ctx, s, c)
		}
	})
}
