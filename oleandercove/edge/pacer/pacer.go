// Package pacer decides over how long a time the rerouting of a lost engine's streams to
// other chains is spread.
//
// Spread is a pure function of the model, the card, the load of the lost engine and the
// time for which the caller has received nothing.
//
// Load pattern: an engine is lost while some hundred streams cross it. The few engines
// that hold the same layers have to repeat the prefill of all their tokens so far, and all
// other requests on these engines wait for that. The lost streams are late in any case,
// because detecting the silence and the prefill take longer than their objective. Rerouted
// all at once, they would also delay requests that have just arrived; spread over a part
// of the time for which callers wait, they don't.
//
// Usage:
//
//	spread := pacer.Spread(model, card, load, silent)
//	wait := time.Duration(rand.Float64() * float64(spread))
package pacer

import (
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/ledger"
)

const (
	// spreadFactor is the ratio of the spread to the time of the prefill alone. Engines
	// prefill in chunks between the decode steps of other streams, and those steps need
	// time too.
	spreadFactor = 4
	// maxSilence is the silence after which every stream must have been rerouted.
	// Callers disconnect after two seconds, and the prefill takes some hundred ms.
	maxSilence = 1100 * time.Millisecond
)

// Spread returns the time over which the streams of a lost engine are rerouted, for a
// caller that has received nothing for the time silent. It is zero for a model without a
// prefill rate or layers, and after maxSilence.
func Spread(m *routing.Engine, card routing.Card, lost ledger.Load, silent time.Duration) time.Duration {
	if m.PrefillRate <= 0 || m.Layers <= 0 {
		return 0
	}
	prefill := routing.Milliseconds(float64(lost.Tokens) * card.PrefillFactor / (m.PrefillRate * float64(m.Layers)))
	return max(0, min(spreadFactor*prefill.Duration(), maxSilence-silent))
}
