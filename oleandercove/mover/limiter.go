package mover

import (
	"sync"
	"time"

	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

// loadReportLag is how long a move counts after its start. Load reports lag by less than
// this, so that later decisions see the move in the reported load.
const loadReportLag = 750 * time.Millisecond

// Limiter bounds the recent moves to each engine.
type Limiter struct {
	timer timer.Service
	mu    sync.Mutex
	moves map[unit.BackendID][]time.Time
}

// NewLimiter returns a Limiter without moves.
func NewLimiter(t timer.Service) *Limiter {
	return &Limiter{timer: t, moves: map[unit.BackendID][]time.Time{}}
}

// Allow reports whether a move to an engine may start, and counts it if so. Up to limit
// moves, but at least one, may start within the lag of the load reports.
func (l *Limiter) Allow(to unit.BackendID, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	recent := l.moves[to][:0]
	for _, at := range l.moves[to] {
		if now.Sub(at) < loadReportLag {
			recent = append(recent, at)
		}
	}
	ok := len(recent) < max(1, limit)
	if ok {
		recent = append(recent, now)
	}
	l.moves[to] = recent
	return ok
}
