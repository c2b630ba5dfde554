// Package pacer decides how long the streams of a lost engine wait before they are rerouted
// to other chains.
//
// Delay is a pure function of the model, the card and the load of the lost engine, the time
// for which the caller has received nothing, and the place of the stream among those of the engine:
// the streams of the most urgent class come first, those of one class in random order.
//
// Load pattern: an engine is lost while some hundred streams cross it. The few engines
// that hold the same layers have to repeat the prefill of all their tokens so far, and all
// other requests on these engines wait for that.
//
//   - Some streams can still continue within the longest gap that their route allows. As
//     many as the engines can prefill in that time are rerouted at once.
//   - The others are late in any case. Rerouted all at once, they would delay the first
//     ones and requests that have just arrived, and take the memory of other copies while the
//     lost layers are loaded. They are spread over a part of the time for which callers wait.
//
// Usage:
//
//	wait := pacer.Delay(pacer.Loss{Model: model, Card: card, Load: load, Silent: silent}, claim.Place(rand.Float64()))
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
	// onTimeFactor is the ratio of the time until the streams that are rerouted at once have
	// been prefilled to the time of the prefill alone.
	onTimeFactor = 2
	// maxSilence is the silence after which every stream must have been rerouted.
	// Callers disconnect after two seconds, and the prefill takes some hundred ms.
	maxSilence = 1100 * time.Millisecond
)

// Loss describes a lost engine and one of the streams that crossed it.
type Loss struct {
	Model *routing.Engine
	// Card and Load are those of the lost engine.
	Card routing.Card
	Load ledger.Load
	// Silent is how long the caller has received nothing.
	Silent time.Duration
	// MaxGap is the longest time between two events of a response that is on time; 0 means
	// that there is no limit.
	MaxGap time.Duration
	// FirstEvent is the expected time from a send to the first event.
	FirstEvent time.Duration
}

// Delay returns how long a stream waits, for a place in [0, 1) that differs from stream to
// stream. It is zero for a model without a prefill rate or layers, and after
// maxSilence.
func Delay(l Loss, place float64) time.Duration {
	prefill := l.prefillTime()
	share := l.onTimeShare(prefill)
	if place < share {
		return 0
	}
	spread := max(0, min(spreadFactor*prefill, maxSilence-l.Silent))
	return time.Duration((place - share) / (1 - share) * float64(spread))
}

// prefillTime returns the time that the lost engine would need to prefill all its tokens.
func (l Loss) prefillTime() time.Duration {
	if l.Model.PrefillRate <= 0 || l.Model.Layers <= 0 {
		return 0
	}
	t := float64(l.Load.Tokens) * l.Card.PrefillFactor / (l.Model.PrefillRate * float64(l.Model.Layers))
	return routing.Milliseconds(t).Duration()
}

// onTimeShare returns the share of the streams that can be prefilled on other engines while
// they are on time.
func (l Loss) onTimeShare(prefill time.Duration) float64 {
	left := l.MaxGap - l.Silent - l.FirstEvent
	if left <= 0 {
		return 0
	}
	return min(1, float64(left)/float64(max(1, onTimeFactor*prefill)))
}
