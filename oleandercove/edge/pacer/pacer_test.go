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
			got := Delay(Loss{Model: tt.model, Card: card, Load: tt.lost, Silent: tt.silent}, 0.999)
			is.True(got >= tt.least*99/100)
			is.True(got <= tt.most)
		})
	}
}

// Guards against streams that all become late although some could continue in time, which
// happens when the reroutes of a lost engine are spread evenly although its loss was detected
// at once, and against streams that are rerouted at once although none can continue in time.
func TestOnTimeFirst(t *testing.T) {
	const (
		streams = 100
		maxGap  = 200 * time.Millisecond
		first   = 50 * time.Millisecond
	)
	tests := []struct {
		name        string
		silent      time.Duration
		maxGap      time.Duration
		load        ledger.Load
		least, most int // rerouted at once
	}{
		// The prefill takes 257 ms, and 140 ms are left.
		{"detected at once", 10 * time.Millisecond, maxGap, load(streams), 20, 40},
		{"detected when the gap is nearly over", 140 * time.Millisecond, maxGap, load(streams), 1, 5},
		{"detected too late", 160 * time.Millisecond, maxGap, load(streams), 0, 0},
		{"few streams", 10 * time.Millisecond, maxGap, load(4), streams, streams},
		{"route without a limit", 10 * time.Millisecond, 0, load(streams), 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			atOnce := 0
			longest := time.Duration(0)
			for i := range streams {
				random := (float64(i) + 0.5) / streams
				d := Delay(Loss{Model: model, Card: card, Load: tt.load, Silent: tt.silent, MaxGap: tt.maxGap, FirstEvent: first}, random)
				if d == 0 {
					atOnce++
				}
				longest = max(longest, d)
			}
			is.True(atOnce >= tt.least)
			is.True(atOnce <= tt.most)
			is.True(longest <= maxSilence-tt.silent)
		})
	}
}
