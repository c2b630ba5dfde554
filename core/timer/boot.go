package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Service whose Now includes the time for which the host was suspended,
// which the monotonic clock of the Go runtime leaves out. It measures the age of
// leases and of received data. Steps of the time of day do not affect it.
type Boot struct {
	Real
	wallAtStart time.Time
	bootAtStart time.Duration
}

// NewBoot returns a Boot service.
func NewBoot() *Boot {
	return &Boot{wallAtStart: time.Now().Round(0), bootAtStart: sinceBoot()}
}

// Now returns the current time without a monotonic clock reading.
func (b *Boot) Now() time.Time { return b.wallAtStart.Add(sinceBoot() - b.bootAtStart) }

// sinceBoot returns the time since the host started, suspended time included. The call
// can't fail on Linux with a valid clock id.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
