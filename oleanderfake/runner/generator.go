package runner

import (
	"context"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// generate produces the tokens of a stream at the first stage of its chain and emits an
// event for each one and for the end or the failure. It returns the error of emit.
func (e *Engine) generate(ctx context.Context, r engine.StreamRequest, emit func(engine.Event) error) error {
	tokens := append(Tokenize(r.Prompt), r.Emitted...)
	if len(tokens) == 0 {
		return emit(e.failedEvent(r, e.newFailure(engine.CauseRefused, "empty prompt")))
	}
	fresh := unit.Position(0)
	if len(r.Emitted) > 0 {
		fresh = unit.Position(len(tokens) - 1)
	}
	from := unit.Position(0)
	for n := len(r.Emitted); n < r.MaxTokens; n++ {
		reply := e.Step(ctx, engine.StepRequest{
			Stream: r.Stream, Epoch: r.Epoch, Model: r.Model, Priority: r.Priority,
			Chain: r.Chain, From: from, Inputs: embedAll(tokens[from:]), Fresh: fresh, Sampling: r.Sampling,
		})
		if reply.Code != engine.StepOk {
			return emit(e.failedEvent(r, reply.Failure))
		}
		from = unit.Position(len(tokens))
		tokens = append(tokens, reply.Token)
		if err := emit(e.tokenEvent(r, from, reply.Token)); err != nil {
			return err
		}
	}
	return emit(engine.Event{Kind: engine.EventEnd, Stream: r.Stream, Epoch: r.Epoch, Finish: engine.FinishLength})
}

func embedAll(tokens []unit.Token) []engine.Activation {
	out := make([]engine.Activation, len(tokens))
	for i, t := range tokens {
		out[i] = embed(t)
	}
	return out
}

func (e *Engine) tokenEvent(r engine.StreamRequest, p unit.Position, t unit.Token) engine.Event {
	e.mu.Lock()
	load := e.load
	e.mu.Unlock()
	return engine.Event{
		Kind: engine.EventToken, Stream: r.Stream, Epoch: r.Epoch,
		Position: p, Token: t, Text: Text(t), Load: &load,
	}
}

func (e *Engine) failedEvent(r engine.StreamRequest, f *engine.Failure) engine.Event {
	return engine.Event{Kind: engine.EventFailed, Stream: r.Stream, Epoch: r.Epoch, Failure: f}
}
