// Package clock is a hybrid logical clock: it stamps events so that an event
// that caused another one on a different host has the lower stamp, whatever the
// hosts' clocks say, and stays close to the time of day.
//
// Usage:
//
//	c := clock.New(t)
//	s := c.Now()
//	c.Observe(received.Stamp)
package clock

import (
	"cmp"
	"sync"
	"time"

	"oleandercove.example/core/timer"
)

// maxAhead bounds how far a received stamp may move the clock, so that one host
// with a wrong clock does not spoil the stamps of all others.
const maxAhead = time.Minute

// Stamp is a time of the clock.
type Stamp struct {
	// Wall is the time of day in nanoseconds.
	Wall int64
	// Logical orders events with the same Wall.
	Logical uint32 `json:",omitempty"`
}

// Compare returns -1, 0 or 1 for an earlier, equal or later stamp.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Clock gives stamps that only grow.
type Clock struct {
	timer timer.Service
	mu    sync.Mutex
	last  Stamp
}

// New returns a Clock on the time of t.
func New(t timer.Service) *Clock { return &Clock{timer: t} }

// Now returns a stamp above all that were given or observed before.
func (c *Clock) Now() Stamp {
	now := c.timer.Now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now > c.last.Wall {
		c.last = Stamp{Wall: now}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe moves the clock up to a received stamp.
func (c *Clock) Observe(s Stamp) {
	if s.Wall > c.timer.Now().Add(maxAhead).UnixNano() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}
