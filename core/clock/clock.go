// Package clock is a hybrid logical clock. It stamps events so that an event has a lower
// stamp than the events that it causes on other hosts, even if the hosts' clocks
// differ. The stamps stay close to the time of day.
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

// maxAhead bounds how far a received stamp may move the clock, so that one host with a
// wrong clock does not distort the stamps of all others.
const maxAhead = time.Minute

// Stamp is a time of a hybrid logical clock.
type Stamp struct {
	// Wall is the time of day in nanoseconds.
	Wall int64
	// Logical orders events with the same Wall.
	Logical uint32 `json:",omitempty"`
}

// Compare returns -1, 0 or 1 if s is earlier than, equal to or later than o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Clock issues strictly increasing stamps. It is safe for concurrent use.
type Clock struct {
	timer timer.Service
	mu    sync.Mutex
	last  Stamp
}

// New returns a Clock on the time of t.
func New(t timer.Service) *Clock { return &Clock{timer: t} }

// Now returns a stamp above all stamps that were issued or observed before.
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

// Observe moves the clock forward to a received stamp. It ignores a stamp that is more
// than maxAhead ahead of the local time.
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
