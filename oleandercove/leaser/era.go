package leaser

import (
	"errors"
	"fmt"
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// errOtherEra is returned for a write that the store answered in another era than that in which the
// version of its condition was read. It may have replaced a record that was never read.
var errOtherEra = fmt.Errorf("%w: store has come back from a copy", platform.ErrOutcomeUnknown)

// fenceEraShift is the position of the era in a fencing number. Versions stay below it.
const fenceEraShift = 48

// nextFence returns the fencing number of a lease that is taken over a version. It grows with the
// era, because versions go back when the store comes back from a copy.
func nextFence(era unit.Era, v unit.Version) unit.Fence {
	return unit.Fence(uint64(era)<<fenceEraShift + uint64(v) + 1)
}

// eraView is the newest era of the store that this daemon knows.
type eraView struct {
	era unit.Era
	// since is when this daemon first knew it.
	since time.Time
}

// observe merges the era of an answer.
func (v *eraView) observe(era unit.Era, now time.Time) {
	if era > v.era {
		v.era, v.since = era, now
	}
}

// observeEra merges the era of an answer and the newest one that other parts of the daemon know.
func (l *Leaser) observeEra(stated unit.Era) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era.observe(max(stated, l.options.Era()), l.options.Timer.Now())
}

// isSettled reports whether this daemon may take a lease as it was last read. It must have been read
// in the newest era, and that must have been known for long enough: the store may have lost the
// record of a holder, whose term and last order must have ended. A store that states no era loses
// none.
func (l *Leaser) isSettled(c *lease) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if !l.isCurrent(c) {
		return false
	}
	wait := l.takeoverWait() + l.options.OrderLimit + l.options.OrderLimit/driftDivisor
	return l.era.era == 0 || l.options.Timer.Now().Sub(l.era.since) >= wait
}

// isCurrent reports whether the version of a lease was read in the newest known era. The caller
// holds the lock.
func (l *Leaser) isCurrent(c *lease) bool { return c.era >= max(l.era.era, l.options.Era()) }

// dropExpired drops a held lease that has expired or is of an earlier era, and reports whether it
// is still held. Its condition must not be used again: the version may stand for another record.
func (l *Leaser) dropExpired(c *lease) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.held && !l.isCurrent(c) {
		l.options.Log.Warn("lease lost, the store came back from a copy", "object", objectName(c.index), "era", c.era, "newest", l.era.era, "fence", c.fence)
	}
	c.held = c.held && l.isCurrent(c) && l.options.Timer.Now().Before(c.expiry)
	return c.held
}

// isUnknown reports whether a write may have taken effect, so that its version must be read again.
func isUnknown(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown)
}
