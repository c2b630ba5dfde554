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
	// moveCheckInterval is the time between two decisions on a move of one stream.
	moveCheckInterval = 500 * time.Millisecond
	// maxMoves bounds the moves of one stream for being late.
	maxMoves = 3
	// importTimeout bounds the import of a stream's state; after it the preceding stage
	// sends its kept activations instead.
	importTimeout = 2 * time.Second
	// intervalWeight is the weight of the newest interval in the moving average.
	intervalWeight = 0.25
	// moveBatchDivisor is the inverse of the share of an engine's batch that concurrent
	// moves of late streams may fill.
	moveBatchDivisor = 2
	// maxLeavingBatches is how many batches of an engine concurrent moves off leaving
	// engines may fill.
	maxLeavingBatches = 2
)

// moveState is the state of a stream's moves.
type moveState struct {
	// interval is the moving average of the time between tokens.
	interval     time.Duration
	lastToken    time.Time
	lastDecision time.Time
	// lateMoves counts the moves that were made because the stream was late.
	lateMoves int
	// current is the move in progress; importDone receives the result of its import.
	current    mover.Move
	importDone chan error
	// importers holds engines that imported the KV state of the stream.
	importers map[unit.BackendID]engine.Stage
	// oldStages holds stages that still have KV state after a move off them.
	oldStages []engine.Stage
}

// observeToken adds a token to the moving average of the time between tokens.
func (m *moveState) observeToken(now time.Time) {
	if !m.lastToken.IsZero() {
		d := float64(now.Sub(m.lastToken))
		m.interval = time.Duration(intervalWeight*d + (1-intervalWeight)*float64(m.interval))
	}
	m.lastToken = now
}

// advanceMove starts a move or completes the one in progress, and reports whether the
// attempt ends because a stage has moved. The stream continues while its state is copied.
func (t *tokenStream) advanceMove(ctx context.Context, e engine.Event) bool {
	now := t.options.Timer.Now()
	if e.Kind == engine.EventToken && e.Epoch == t.epoch {
		t.move.observeToken(now)
		t.releaseOldStages(ctx)
	}
	if t.move.importDone != nil {
		select {
		case err := <-t.move.importDone:
			return t.finishMove(err)
		default:
			return false
		}
	}
	if t.options.MoveLimiter == nil || t.move.lastToken.IsZero() || now.Sub(t.move.lastDecision) < moveCheckInterval {
		return false
	}
	t.move.lastDecision = now
	if m, ok := t.chooseMove(now); ok {
		t.startMove(ctx, m)
	}
	return false
}

// chooseMove returns a move off a leaving engine, else one that makes a late stream faster.
func (t *tokenStream) chooseMove(now time.Time) (mover.Move, bool) {
	all := t.options.Backends.Backends()
	stages := chainBackends(t.chain, all)
	interval := max(t.move.interval, now.Sub(t.move.lastToken))
	late := t.options.MoveLateStreams && t.move.lateMoves < maxMoves && interval >= mover.LateInterval
	if !late && !anyLeaving(stages) {
		return mover.Move{}, false
	}
	s := mover.Snapshot{
		Interval: interval, Remaining: t.r.Completion.MaxTokens - len(t.emitted),
		Positions: int(t.firstPosition) + len(t.emitted),
	}
	batch := map[unit.BackendID]int{}
	for _, b := range all {
		if t.canMoveTo(b) {
			s.Alternatives = append(s.Alternatives, moveCandidate(b, 1))
			batch[b.ID] = b.Engine.MaxBatch
		}
	}
	for _, b := range stages {
		o := moveCandidate(b, 0)
		s.Chain = append(s.Chain, o)
		if left := timeUntilStop(b, now); left > 0 {
			m, ok := mover.DecideLeaving(s, o.Stage, left)
			if ok && t.options.MoveLimiter.Allow(m.To.Backend, batch[m.To.Backend]*maxLeavingBatches) {
				return m, true
			}
		}
	}
	m, ok := mover.Decide(s)
	if !late || !ok || t.excluded[m.To.Backend] || !t.options.MoveLimiter.Allow(m.To.Backend, batch[m.To.Backend]/moveBatchDivisor) {
		return mover.Move{}, false
	}
	t.move.lateMoves++
	return m, true
}

// anyLeaving reports whether one of the engines drains and reports the time until it stops.
func anyLeaving(stages []watcher.Backend) bool {
	return slices.ContainsFunc(stages, func(b watcher.Backend) bool { return b.Draining && b.Engine.DrainLeftMillis > 0 })
}

// timeUntilStop returns the time until a draining engine stops, or 0 if it reports none.
func timeUntilStop(b watcher.Backend, now time.Time) time.Duration {
	if !b.Draining || b.Engine.DrainLeftMillis == 0 {
		return 0
	}
	return max(1, time.Duration(b.Engine.DrainLeftMillis)*time.Millisecond-now.Sub(b.Seen))
}

// canMoveTo reports whether the stream can move to a backend server.
func (t *tokenStream) canMoveTo(b watcher.Backend) bool {
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

func moveCandidate(b watcher.Backend, extraStreams int) mover.Candidate {
	return mover.Candidate{
		Stage:     engine.Stage{Backend: b.ID, Address: b.Address, From: b.Engine.From, To: b.Engine.To},
		TokenTime: tokenTime(b, extraStreams),
	}
}

// startMove starts the import of a stage's state by the new engine.
func (t *tokenStream) startMove(ctx context.Context, m mover.Move) {
	t.move.current, t.move.importDone = m, make(chan error, 1)
	t.holders[m.To.Backend] = m.To
	t.options.Recorder.Record(recorder.Event{
		Request: t.r.ID, Part: "streamer", Decision: "MoveStage", Cause: string(m.From.Backend) + " to " + string(m.To.Backend),
	})
	k := engine.KVState{Stream: t.id, Epoch: t.epoch, Model: t.r.Name, Source: m.From.Address, From: m.To.From, To: m.To.To}
	done := t.move.importDone
	t.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, importTimeout)
		defer cancel()
		done <- t.options.Dispatcher.Import(ctx, m.To, k)
	})
}

// finishMove completes a move after its import and reports whether the attempt ends. After
// a failed import the preceding stage sends its kept activations.
func (t *tokenStream) finishMove(err error) bool {
	m := t.move.current
	t.move.importDone = nil
	inChain := false
	for _, s := range t.chain {
		inChain = inChain || s.Backend == m.From.Backend
	}
	if !inChain {
		return false // a recovery replaced the stage during the import
	}
	if err == nil {
		t.move.importers[m.To.Backend] = m.To
	}
	t.options.Log.Info("stage moves", "request", t.r.ID, "stream", t.id, "from", m.From.Backend, "to", m.To.Backend, "imported", err == nil, "err", err)
	// A leaving engine is usable again after its restart; a slow one stays excluded.
	if t.isDraining(m.From.Backend) {
		t.stateless[m.From.Backend] = true
	} else {
		t.excluded[m.From.Backend] = true
	}
	delete(t.excluded, m.To.Backend)
	t.attempts--
	t.move.oldStages = append(t.move.oldStages, m.From)
	t.move.interval, t.move.lastToken = 0, time.Time{}
	return true
}

// isDraining reports whether an engine is draining and accepts no new streams.
func (t *tokenStream) isDraining(id unit.BackendID) bool {
	return slices.ContainsFunc(t.options.Backends.Backends(), func(b watcher.Backend) bool { return b.ID == id && b.Draining })
}

// releaseOldStages cancels the stream on engines that it moved off. It is called after the
// first token of the new chain, when no step to the old chain is in flight.
func (t *tokenStream) releaseOldStages(ctx context.Context) {
	oldStages, c := t.move.oldStages, engine.CancelRequest{Stream: t.id, Epoch: t.epoch}
	t.move.oldStages = nil
	ctx = context.WithoutCancel(ctx)
	for _, s := range oldStages {
		delete(t.holders, s.Backend)
		t.background.Go(func() { t.options.Dispatcher.Cancel(ctx, s, c) })
	}
}
