package runner

import (
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// newSingleEngine starts an engine that holds all layers of a model, and returns it with
// its chain.
func newSingleEngine(t *testing.T) (*Engine, []engine.Stage) {
	t.Helper()
	e, err := New(Options{Backend: "e", Model: "report", Layers: 4, To: 4, MaxBatch: 4, MaxStreams: 4})
	is.New(t).NoErr(err)
	go e.Run(t.Context())
	return e, []engine.Stage{{Backend: "e", To: 4}}
}

func step(t *testing.T, e *Engine, chain []engine.Stage, tokens []unit.Token, s engine.Sampling) engine.StepReply {
	t.Helper()
	return e.Step(t.Context(), engine.StepRequest{Stream: "s", Epoch: 1, Chain: chain, Inputs: embedAll(tokens), Sampling: s})
}

// Guards against a token that changes when another engine samples it again, which happens
// when the last stage is replaced, and against a seed that has no effect.
func TestReplacedLastStage(t *testing.T) {
	is := is.New(t)
	first, chain := newSingleEngine(t)
	second, _ := newSingleEngine(t)
	s := engine.Sampling{Temperature: 1, Seed: 7}
	tokens := Tokenize("net 4 yield")
	a, b := step(t, first, chain, tokens, s), step(t, second, chain, tokens, s)
	is.Equal(a, b)
	is.Equal(a.Token, Reference(4, s, "net 4 yield", 1)[0])
	is.True(a.Token != Reference(4, engine.Sampling{Temperature: 1, Seed: 8}, "net 4 yield", 1)[0])
	is.Equal(step(t, first, chain, tokens, engine.Sampling{Temperature: 1, Seed: 8}).Failure.Cause, engine.CauseRefused)
}

// Guards against requests that get the same seed although their account, id, model or prompt
// differs.
func TestDeriveSeed(t *testing.T) {
	base := engine.DeriveSeed("a", "r", "m", "p")
	for _, row := range []struct {
		name string
		seed engine.Seed
	}{
		{"accounts share a seed", engine.DeriveSeed("b", "r", "m", "p")},
		{"ids share a seed", engine.DeriveSeed("a", "q", "m", "p")},
		{"models share a seed", engine.DeriveSeed("a", "r", "n", "p")},
		{"prompts share a seed", engine.DeriveSeed("a", "r", "m", "q")},
		{"neighbouring fields are not separated", engine.DeriveSeed("ar", "", "m", "p")},
	} {
		t.Run(row.name, func(t *testing.T) { is.New(t).True(row.seed != base) })
	}
}
