// Package mover decides when a running stream moves a stage to another engine.
//
// The decision is a pure function of a snapshot: a stream moves only when it
// is late, when the new chain is much faster, and when the time saved on the
// remaining tokens outweighs the cost of moving. A Gate bounds the moves to an
// engine until its load report shows them.
//
// Usage:
//
//	m, ok := mover.Decide(snapshot)
//	if ok && gate.Enter(m.To.Backend, limit) {
//		// import the state and open the next attempt
//	}
package mover

import (
	"time"

	"oleandercove.example/core/engine"
)

const (
	// LateInterval is the time between tokens above which a stream is late; it is
	// the target of the design.
	LateInterval = 30 * time.Millisecond
	// hysteresis is how many times faster the new chain must be.
	hysteresis = 2
	// margin is how many times the cost of moving must be saved.
	margin = 2
	// reopenCost is the pause of a stream between two chains.
	reopenCost = 100 * time.Millisecond
	// leaveFactor and leaveReserve cover a stream that becomes slower before a
	// stage stops, and the moves themselves.
	leaveFactor  = 2
	leaveReserve = 2 * time.Second
	// prefillPerUnit is how many positions cost as much as one token when an
	// engine runs them again.
	prefillPerUnit = 16
)

// Option is an engine with its time for one token of the stream.
type Option struct {
	Stage engine.Stage
	Time  time.Duration
}

// Snapshot is the input of a decision.
type Snapshot struct {
	Chain        []Option
	Alternatives []Option
	// Interval is the measured time between tokens.
	Interval time.Duration
	// Remaining is the number of tokens until the end at the latest.
	Remaining int
	// Positions is the number of positions that a stage may have to run again.
	Positions int
}

// Move replaces one stage by an engine with the same layers.
type Move struct{ From, To engine.Stage }

// Decide returns the move that saves most, if it pays.
func Decide(s Snapshot) (Move, bool) {
	if s.Interval < LateInterval {
		return Move{}, false
	}
	var total, saved time.Duration
	var m Move
	var to Option
	for _, c := range s.Chain {
		total += c.Time
		if a, ok := cheapest(c.Stage, s.Alternatives); ok && c.Time-a.Time > saved {
			saved, m, to = c.Time-a.Time, Move{From: c.Stage, To: a.Stage}, a
		}
	}
	cost := reopenCost + to.Time*time.Duration(s.Positions)/prefillPerUnit
	pays := saved*time.Duration(s.Remaining) >= margin*cost
	return m, saved > 0 && total >= hysteresis*(total-saved) && pays
}

// Leave returns the move off a stage that stops in the given time, if the
// stream may outlast it. Any alternative is taken, since the stream has to go.
func Leave(s Snapshot, leaving engine.Stage, left time.Duration) (Move, bool) {
	if leaveFactor*s.Interval*time.Duration(s.Remaining)+leaveReserve < left {
		return Move{}, false
	}
	to, ok := cheapest(leaving, s.Alternatives)
	return Move{From: leaving, To: to.Stage}, ok
}

// cheapest returns the alternative to a stage with the least time.
func cheapest(s engine.Stage, all []Option) (best Option, ok bool) {
	for _, a := range all {
		same := a.Stage.From == s.From && a.Stage.To == s.To && a.Stage.Backend != s.Backend
		if same && (!ok || a.Time < best.Time) {
			best, ok = a, true
		}
	}
	return best, ok
}
