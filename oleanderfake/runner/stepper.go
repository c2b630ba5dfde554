package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// Step runs the inputs that the stage has not run yet and forwards the outputs to the next
// stage of the chain; the last stage samples the next token. It blocks until the chain has
// answered or a stage has failed; a cancelled ctx counts as a failure.
func (e *Engine) Step(ctx context.Context, r engine.StepRequest) engine.StepReply {
	s, failure := e.openStream(r)
	if failure != nil {
		return engine.StepReply{Code: engine.StepFailed, Failure: failure}
	}
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	if !s.isCurrentEpoch(r.Epoch) {
		return engine.StepReply{Code: engine.StepFailed, Failure: e.newFailure(engine.CauseOldEpoch, "superseded while waiting")}
	}
	if failure := e.execute(ctx, s, r); failure != nil {
		return engine.StepReply{Code: engine.StepFailed, Failure: failure}
	}
	executed := s.length()
	if r.From > executed {
		return engine.StepReply{Code: engine.StepNeedFrom, NeedFrom: executed}
	}
	last := r.From + unit.Position(len(r.Inputs)) - 1
	if r.Index == len(r.Chain)-1 {
		out := s.outputsFrom(last)
		return engine.StepReply{Code: engine.StepOk, Token: sample(out[0], r.Sampling, last)}
	}
	return e.forward(ctx, s, r, last)
}

// openStream returns the stream of a step, or creates it. It fails if the stage, the
// sampling or the epoch doesn't match, or if the engine accepts no new streams.
func (e *Engine) openStream(r engine.StepRequest) (*stream, *engine.Failure) {
	from, to, draining := e.heldLayers()
	if r.Index < 0 || r.Index >= len(r.Chain) || len(r.Inputs) == 0 || r.From < 0 {
		return nil, e.newFailure(engine.CauseRefused, "malformed step")
	}
	stage := r.Chain[r.Index]
	if stage.From != from || stage.To != to || stage.Backend != e.options.Backend {
		return nil, e.newFailure(engine.CauseRefused, fmt.Sprintf("holds layers %d to %d", from, to))
	}
	s, found := e.streams.find(r.Stream)
	if !found && draining {
		return nil, e.newFailure(engine.CauseDraining, "takes no new streams")
	}
	if !found {
		var hasCapacity bool
		if s, hasCapacity = e.streams.getOrCreate(r.Stream, int(to-from), e.options.MaxStreams); !hasCapacity {
			return nil, e.newFailure(engine.CauseOverloaded, "no memory for another stream")
		}
	}
	if !s.matchesSampling(r.Sampling) {
		return nil, e.newFailure(engine.CauseRefused, "sampling differs from earlier steps of the stream")
	}
	if !s.acceptEpoch(r.Epoch) {
		return nil, e.newFailure(engine.CauseOldEpoch, "has seen a newer epoch")
	}
	return s, nil
}

// execute runs the positions that are new to this stage.
func (e *Engine) execute(ctx context.Context, s *stream, r engine.StepRequest) *engine.Failure {
	executed := s.length()
	end := r.From + unit.Position(len(r.Inputs))
	if r.From > executed || end <= executed {
		return nil
	}
	inputs := r.Inputs[executed-r.From:]
	cached := 0
	if executed == 0 {
		cached = e.cache.lookupAndStore(inputs)
	}
	if err := e.batch.waitForUnits(ctx, r.Priority, batchUnits(max(1, len(inputs)-cached))); err != nil {
		return e.newFailure(engine.CauseUnreachable, "step canceled")
	}
	if !s.isCurrentEpoch(r.Epoch) {
		return e.newFailure(engine.CauseOldEpoch, "superseded while queued")
	}
	from, to, _ := e.heldLayers()
	if stage := r.Chain[r.Index]; stage.From != from || stage.To != to {
		return e.newFailure(engine.CauseRefused, fmt.Sprintf("holds layers %d to %d by now", from, to))
	}
	s.append(from, inputs)
	e.executedSteps.Add(1)
	e.recordExecution(r, from, to, executed, len(inputs))
	return nil
}

func (e *Engine) recordExecution(r engine.StepRequest, from, to unit.Layer, first unit.Position, count int) {
	replay := max(0, min(count, int(r.Fresh-first)))
	base := engine.JournalRecord{
		Backend: e.options.Backend, Start: e.instanceID, Stream: r.Stream, Epoch: r.Epoch, From: from, To: to, At: time.Now(),
	}
	if replay > 0 {
		j := base
		j.First, j.Count, j.Replay = first, replay, true
		e.journal.Append(j)
	}
	if count > replay {
		j := base
		j.First, j.Count = first+unit.Position(replay), count-replay
		e.journal.Append(j)
	}
}

func batchUnits(positions int) int {
	if positions == 1 {
		return 1
	}
	return (positions + prefillPerUnit - 1) / prefillPerUnit
}

// forward sends the outputs up to last to the next stage, starting at an earlier position
// if that stage lacks some.
func (e *Engine) forward(ctx context.Context, s *stream, r engine.StepRequest, last unit.Position) engine.StepReply {
	next := r.Chain[r.Index+1]
	from := min(s.nextPosition(next.Backend, r.From), last)
	for range 3 {
		out := s.outputsFrom(from)[:last-from+1]
		reply := e.sendStep(ctx, next, engine.StepRequest{
			Stream: r.Stream, Epoch: r.Epoch, Model: r.Model, Priority: r.Priority,
			Chain: r.Chain, Index: r.Index + 1, From: from, Inputs: out, Fresh: r.Fresh, Sampling: r.Sampling,
		})
		if reply.Code != engine.StepNeedFrom {
			s.setNextPosition(next.Backend, last+1)
			return reply
		}
		if reply.NeedFrom < 0 || reply.NeedFrom > last {
			break
		}
		from = reply.NeedFrom
	}
	return engine.StepReply{Code: engine.StepFailed, Failure: &engine.Failure{
		Backend: next.Backend, Cause: engine.CauseRefused, Detail: "positions don't converge",
	}}
}

// sendStep posts a step and blocks until the stage has answered, fails or ctx is done. The
// response may begin with newlines, which are heartbeats; a stage that is silent for
// stepSilenceTimeout counts as unreachable.
func (e *Engine) sendStep(ctx context.Context, to engine.Stage, r engine.StepRequest) engine.StepReply {
	time.Sleep(e.linkTime(len(r.Inputs)))
	body, err := json.Marshal(r)
	if err != nil {
		return unreachable(to, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(stepSilenceTimeout, cancel)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+"/v1/steps", bytes.NewReader(body))
	if err != nil {
		return unreachable(to, err)
	}
	res, err := e.http.Do(req)
	if err != nil {
		return unreachable(to, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(&resettingReader{r: res.Body, t: watchdog})
	var reply engine.StepReply
	if err == nil {
		err = json.Unmarshal(data, &reply)
	}
	if err != nil {
		return unreachable(to, err)
	}
	return reply
}

// unreachable returns the failure of a stage that didn't answer. The cause is
// CauseUnreachable if the dial failed or the call was cancelled, for example by the
// watchdog, and CauseBroken otherwise.
func unreachable(to engine.Stage, err error) engine.StepReply {
	cause := engine.CauseBroken
	var op *net.OpError
	if errors.Is(err, context.Canceled) || (errors.As(err, &op) && op.Op == "dial") {
		cause = engine.CauseUnreachable
	}
	return engine.StepReply{Code: engine.StepFailed, Failure: &engine.Failure{
		Backend: to.Backend, Cause: cause, Detail: err.Error(),
	}}
}

// linkTime returns the transfer time of a number of activations on the link.
func (e *Engine) linkTime(activations int) time.Duration {
	e.mu.Lock()
	slowdown := e.linkSlowdown
	e.mu.Unlock()
	d := e.options.LinkLatency
	if e.options.LinkRate > 0 {
		bytes := float64(activations * e.options.ActivationBytes)
		d += time.Duration(bytes / float64(e.options.LinkRate) * float64(time.Second))
	}
	return time.Duration(float64(d) * slowdown)
}

// resettingReader resets a watchdog timer with every read that returns data.
type resettingReader struct {
	r io.Reader
	t *time.Timer
}

func (r *resettingReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.t.Reset(stepSilenceTimeout)
	}
	return n, err
}
