package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against attempts without progress that outlast the caller's deadline or leave
// no time for another attempt.
func TestProgressLimit(t *testing.T) {
	for _, row := range []struct {
		failure    string
		remaining  time.Duration
		timeoutMs  int
		idempotent bool
		want       time.Duration
	}{
		{"a booking gets its response after the deadline", 2 * time.Second, 0, false, 2*time.Second - answerMargin},
		{"a read uses up the deadline in one attempt", 3 * time.Second, 0, true, 3 * time.Second / plannedAttempts},
		{"the entry's timeout is ignored", time.Minute, 500, false, 500 * time.Millisecond},
		{"the entry's timeout outlasts the deadline", 2 * time.Second, 60000, false, 2*time.Second - answerMargin},
		{"an attempt has no time at all", time.Millisecond, 0, true, minTimeout},
		{"a long deadline lets an attempt wait without a bound", time.Hour, 0, false, defaultTimeout},
	} {
		t.Run(row.failure, func(t *testing.T) {
			is.New(t).Equal(progressLimit(row.remaining, row.timeoutMs, row.idempotent), row.want)
		})
	}
}
