// Package pacer decides over how long a time the streams of a lost engine are
// sent along other chains.
//
// Spread is a pure function of the load of the lost engine.
//
// Load pattern: an engine is lost while some hundred streams cross it. Their
// tokens so far have to be read again by the few engines that hold the same
// layers, and while those read, all other requests that cross them wait. The lost
// streams are late in any case, because silence and reading take longer than
// their objective; sent at once, they make late the requests that have just
// arrived too. Spread over a part of the time for which callers wait, they don't.
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
	// stretch is how many times longer than the bare reading of the tokens the
	// streams are spread. Engines read in pieces between the tokens of other
	// streams, and should have time left for those.
	stretch = 4
	// longest is the silence after which every stream must have been sent on.
	// Callers leave after two seconds, and reading takes some hundred ms.
	longest = 1100 * time.Millisecond
)

// Spread returns the time over which the streams of a lost engine are sent
// along other chains, for a caller that has waited for a time already.
func Spread(m *routing.Engine, card routing.Card, lost ledger.Load, silent time.Duration) time.Duration {
	if m.ReadRate <= 0 || m.Layers <= 0 {
		return 0
	}
	read := routing.Milliseconds(float64(lost.Tokens) * card.ReadFactor / (m.ReadRate * float64(m.Layers)))
	return max(0, min(stretch*read.Duration(), longest-silent))
}
