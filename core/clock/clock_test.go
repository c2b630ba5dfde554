package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/clock"
	"oleandercove.example/core/timer"
)

// Guards against effects that are stamped before their causes.
func TestOrder(t *testing.T) {
	rows := []struct {
		name string
		// ahead is how far the clock of the first host is ahead.
		ahead  time.Duration
		before bool
	}{
		{"equal clocks give equal stamps", 0, true},
		{"effect on a slow host comes first", 5 * time.Second, true},
		{"effect on a fast host comes first", -5 * time.Second, true},
		{"wrong clock spoils others", time.Hour, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1e9, 0)
			a, b := clock.New(timer.NewManual(start.Add(r.ahead))), clock.New(timer.NewManual(start))
			cause := a.Now()
			b.Observe(cause)
			effect := b.Now()
			is.Equal(cause.Compare(effect) < 0, r.before)
			is.True(effect.Compare(b.Now()) < 0)
		})
	}
}
