package streamer

import (
	"context"
	"slices"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/mover"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// moveCheck is the time between two decisions on one stream.
	moveCheck = 500 * time.Millisecond
	// maxMoves bounds the moves of one stream.
	maxMoves = 3
	// importLimit bounds the import of a stream's state; afterwards the stage
	// before it sends the kept activations instead.
	importLimit = 2 * time.Second
	// paceWeight is the share of the newest interval in the measured one.
	paceWeight = 0.25
	// moveShare of an engine's batch may be filled by moves at the same time.
	moveShare = 2
	// leaveBatches of streams that have to leave an engine may move at the same
	// time.
	leaveBatches = 2
)

// moving is the state of a stream's moves.
type moving struct {
	interval time.Duration
	last     time.Time
	decided  time.Time
	count    int
	// current is the move in progress and imported its outcome.
	current  mover.Move
	imported chan error
	// holds lists engines that imported the state of the stream.
	holds map[unit.BackendID]engine.Stage
	// left lists engines that still hold state after a move.
	left []engine.Stage
}

// pace measures the time between tokens.
func (m *moving) pace(now time.Time) {
	if !m.last.IsZero() {
		d := float64(now.Sub(m.last))
		m.interval = time.Duration(paceWeight*d + (1-paceWeight)*float64(m.interval))
	}
	m.last = now
}

// moves tells whether the attempt ends because a stage has moved. While the
// state is copied the stream goes on.
func (t *run) moves(ctx context.Context, e engine.Event) bool {
	now := t.options.Timer.Now()
	if e.Kind == engine.EventToken && e.Epoch == t.epoch {
		t.move.pace(now)
		t.forget(ctx)
	}
	if t.move.imported != nil {
		select {
		case err := <-t.move.imported:
			return t.arrive(err)
		default:
			return false
		}
	}
	if t.options.Gate == nil || t.move.last.IsZero() || now.Sub(t.move.decided) < moveCheck {
		return false
	}
	t.move.decided = now
	if m, ok := t.decide(now); ok {
		t.depart(ctx, m)
	}
	return false
}

// decide looks for a move off a leaving engine, then for one that pays.
func (t *run) decide(now time.Time) (mover.Move, bool) {
	all := t.options.Backends.Backends()
	stages := stagesOf(t.chain, all)
	interval := max(t.move.interval, now.Sub(t.move.last))
	late := t.options.MoveLate && t.move.count < maxMoves && interval >= mover.LateInterval
	if !late && !leaving(stages) {
		return mover.Move{}, false
	}
	s := mover.Snapshot{
		Interval: interval, Remaining: t.r.Completion.MaxTokens - len(t.emitted),
		Positions: int(t.prompt) + len(t.emitted),
	}
	batch := map[unit.BackendID]int{}
	for _, b := range all {
		if t.accepts(b) {
			s.Alternatives = append(s.Alternatives, option(b, 1))
			batch[b.ID] = b.Engine.MaxBatch
		}
	}
	for _, b := range stages {
		o := option(b, 0)
		s.Chain = append(s.Chain, o)
		if left := timeLeft(b, now); left > 0 {
			m, ok := mover.Leave(s, o.Stage, left)
			if ok && t.options.Gate.Enter(m.To.Backend, batch[m.To.Backend]*leaveBatches) {
				return m, true
			}
		}
	}
	m, ok := mover.Decide(s)
	if !late || !ok || t.excluded[m.To.Backend] || !t.options.Gate.Enter(m.To.Backend, batch[m.To.Backend]/moveShare) {
		return mover.Move{}, false
	}
	t.move.count++
	return m, true
}

// leaving tells whether one of the engines names the time until it stops.
func leaving(stages []watcher.Backend) bool {
	return slices.ContainsFunc(stages, func(b watcher.Backend) bool { return b.Draining && b.Engine.DrainLeftMillis > 0 })
}

// timeLeft is the time until a draining engine stops, or 0 if it names none.
func timeLeft(b watcher.Backend, now time.Time) time.Duration {
	if !b.Draining || b.Engine.DrainLeftMillis == 0 {
		return 0
	}
	return max(1, time.Duration(b.Engine.DrainLeftMillis)*time.Millisecond-now.Sub(b.Seen))
}

// accepts tells whether the stream can move to a backend server.
func (t *run) accepts(b watcher.Backend) bool {
	if b.Role != platform.RoleEngine || b.Engine == nil || !b.Usable() {
		return false
	}
	for _, s := range t.chain {
		if s.Backend == b.ID {
			return false
		}
	}
	return b.Engine.Model == t.r.Name && (b.Engine.MaxStreams == 0 || b.Engine.Load.Running < b.Engine.MaxStreams)
}

func option(b watcher.Backend, more int) mover.Option {
	return mover.Option{
		Stage: engine.Stage{Backend: b.ID, Address: b.Address, From: b.Engine.From, To: b.Engine.To},
		Time:  tokenTime(b, more),
	}
}

// depart starts to copy the state of a stage.
func (t *run) depart(ctx context.Context, m mover.Move) {
	t.move.current, t.move.imported = m, make(chan error, 1)
	t.held[m.To.Backend] = m.To
	t.options.Recorder.Record(recorder.Event{
		Request: t.r.ID, Part: "streamer", Decision: "MoveStage", Cause: string(m.From.Backend) + " to " + string(m.To.Backend),
	})
	k := engine.KVState{Stream: t.id, Epoch: t.epoch, Model: t.r.Name, Source: m.From.Address, From: m.To.From, To: m.To.To}
	done := t.move.imported
	t.releases.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, importLimit)
		defer cancel()
		done <- t.options.Dispatcher.Import(ctx, m.To, k)
	})
}

// arrive ends the attempt after a copy. Without a copy the stage before the
// new one sends the kept activations.
func (t *run) arrive(err error) bool {
	m := t.move.current
	t.move.imported = nil
	stays := false
	for _, s := range t.chain {
		stays = stays || s.Backend == m.From.Backend
	}
	if !stays {
		return false // a recovery has replaced the stage meanwhile
	}
	if err == nil {
		t.move.holds[m.To.Backend] = m.To
	}
	t.options.Log.Info("stage moves", "request", t.r.ID, "stream", t.id, "from", m.From.Backend, "to", m.To.Backend, "imported", err == nil, "err", err)
	// An engine that leaves is usable again after its restart, a slow one is not.
	if t.drains(m.From.Backend) {
		t.lacks[m.From.Backend] = true
	} else {
		t.excluded[m.From.Backend] = true
	}
	delete(t.excluded, m.To.Backend)
	t.attempts--
	t.move.left = append(t.move.left, m.From)
	t.move.interval, t.move.last = 0, time.Time{}
	return true
}

// drains tells whether an engine takes no new streams.
func (t *run) drains(id unit.BackendID) bool {
	return slices.ContainsFunc(t.options.Backends.Backends(), func(b watcher.Backend) bool { return b.ID == id && b.Draining })
}

// forget ends the stream on engines that it has left. It is called after the
// first token of the new chain, when no step to the old one is on its way.
func (t *run) forget(ctx context.Context) {
	left, c := t.move.left, engine.CancelRequest{Stream: t.id, Epoch: t.epoch}
	t.move.left = nil
	ctx = context.WithoutCancel(ctx)
	for _, s := range left {
		delete(t.held, s.Backend)
		t.releases.Go(func() { t.options.Dispatcher.Cancel(ctx, s, c) })
	}
}
