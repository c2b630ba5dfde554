// Package mover decides when a running stream moves a stage to another engine.
//
// The decision is a pure function of a snapshot. A stream moves only if all of these hold:
//
//   - It is late.
//   - The new chain is much faster.
//   - The time saved on the remaining tokens outweighs the cost of the move.
//
// A stream also moves off an engine that may stop before the stream ends. A Limiter
// bounds the moves to an engine until its load report shows them.
//
// Usage:
//
//	m, ok := mover.Decide(snapshot)
//	if ok && limiter.Allow(m.To.Backend, limit) {
//		// import the state and open the next attempt
//	}
package mover

import (
	"time"

	"oleandercove.example/core/engine"
)

const (
	// LateInterval is the time between tokens from which a stream is late. It equals the
	// design target.
	LateInterval = 30 * time.Millisecond
	// minSpeedup is how many times faster the new chain must be, as hysteresis.
	minSpeedup = 2
	// minSavingFactor is how many times the cost of a move the saved time must be.
	minSavingFactor = 2
	// reopenCost is the pause of a stream while it changes from one chain to another.
	reopenCost = 100 * time.Millisecond
	// leavingSlowdown and leavingReserve allow for a stream that becomes slower before a
	// stage stops, and for the moves themselves.
	leavingSlowdown = 2
	leavingReserve  = 2 * time.Second
	// prefillPositionsPerToken is how many replayed positions cost an engine as much as
	// one decoded token.
	prefillPositionsPerToken = 16
)

// Candidate is an engine with its expected time per token of the stream.
type Candidate struct {
	Stage     engine.Stage
	TokenTime time.Duration
}

// Snapshot is the input of a decision.
type Snapshot struct {
	Chain        []Candidate
	Alternatives []Candidate
	// Interval is the measured time between tokens.
	Interval time.Duration
	// Remaining is the maximum number of tokens until the stream ends.
	Remaining int
	// Positions is the number of positions that a new stage may have to replay.
	Positions int
}

// Move replaces one stage by an engine with the same layers.
type Move struct{ From, To engine.Stage }

// Decide returns the move of a late stream that saves the most time per token, or false if
// the stream is not late or the saving is too small.
func Decide(s Snapshot) (Move, bool) {
	if s.Interval < LateInterval {
		return Move{}, false
	}
	var total, saved time.Duration
	var m Move
	var to Candidate
	for _, c := range s.Chain {
		total += c.TokenTime
		if a, ok := fastest(c.Stage, s.Alternatives); ok && c.TokenTime-a.TokenTime > saved {
			saved, m, to = c.TokenTime-a.TokenTime, Move{From: c.Stage, To: a.Stage}, a
		}
	}
	cost := reopenCost + to.TokenTime*time.Duration(s.Positions)/prefillPositionsPerToken
	worthwhile := saved*time.Duration(s.Remaining) >= minSavingFactor*cost
	return m, saved > 0 && total >= minSpeedup*(total-saved) && worthwhile
}

// DecideLeaving returns the move off a stage that stops after timeLeft, or false if the
// stream should end before that or no alternative exists. It chooses the fastest
// alternative, even one slower than the present stage, because the stream can't stay.
func DecideLeaving(s Snapshot, leaving engine.Stage, timeLeft time.Duration) (Move, bool) {
	if leavingSlowdown*s.Interval*time.Duration(s.Remaining)+leavingReserve < timeLeft {
		return Move{}, false
	}
	to, ok := fastest(leaving, s.Alternatives)
	return Move{From: leaving, To: to.Stage}, ok
}

// fastest returns the alternative with the same layers and the least time per token.
func fastest(s engine.Stage, all []Candidate) (best Candidate, ok bool) {
	for _, a := range all {
		same := a.Stage.From == s.From && a.Stage.To == s.To && a.Stage.Backend != s.Backend
		if same && (!ok || a.TokenTime < best.TokenTime) {
			best, ok = a, true
		}
	}
	return best, ok
}
