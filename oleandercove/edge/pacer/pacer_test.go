package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/ledger"
)

var (
	model = &routing.Engine{Layers: 80, ReadRate: 105}
	card  = routing.Card{ReadFactor: 2.7}
)

// load is that of an engine of 8 layers with a number of streams of 1,000 tokens.
func load(streams int) ledger.Load {
	return ledger.Load{Running: streams, Tokens: ledger.TokenLayers(streams * 1000 * 8)}
}

// TestSpread guards against streams that are sent on all at once, and so make
// others late, and against callers that leave before their stream goes on.
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
		{"a hundred streams at once", model, load(100), 10 * time.Millisecond, 500 * time.Millisecond, longest},
		{"a thousand streams wait until callers leave", model, load(1000), 10 * time.Millisecond, longest / 2, longest},
		{"a loss that was noticed late", model, load(1000), time.Second, 0, longest - time.Second},
		{"callers that have waited too long wait on", model, load(1000), 2 * time.Second, 0, 0},
		{"a model without figures", &routing.Engine{}, load(10), 0, 0, 0},
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
