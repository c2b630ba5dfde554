package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/ledger"
)

var (
	model = &routing.Engine{Layers: 80, PrefillRate: 105}
	card  = routing.Card{PrefillFactor: 2.7}
)

// load returns the load of an engine of 8 layers with streams of 1,000 tokens each.
func load(streams int) ledger.Load {
	return ledger.Load{Running: streams, Tokens: unit.TokenLayers(streams * 1000 * 8)}
}

// Guards against streams that are rerouted all at once and so delay others, and against
// callers that disconnect before their stream continues.
func TestSpread(t *testing.T) {
	tests := []struct {
		name   string
		model  *routing.Engine
		lost   ledger.Load
		silent time.Duration
		least  time.Duration
		most   time.Duration
	}{
		{"one stream waits", model, load(1), 10 * time.Millisecond, 0, 20 * time.Millisecond},
		{"a hundred streams are rerouted at once", model, load(100), 10 * time.Millisecond, 500 * time.Millisecond, maxSilence},
		{"a thousand streams wait until callers disconnect", model, load(1000), 10 * time.Millisecond, maxSilence / 2, maxSilence},
		{"streams of a loss detected late exceed the silence", model, load(1000), time.Second, 0, maxSilence - time.Second},
		{"callers that have waited too long wait longer", model, load(1000), 2 * time.Second, 0, 0},
		{"a model without a prefill rate divides by zero", &routing.Engine{}, load(10), 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := Spread(tt.model, card, tt.lost, tt.silent)
			is.True(got >= tt.least)
			is.True(got <= tt.most)
		})
	}
}
