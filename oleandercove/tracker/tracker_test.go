package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleandercove/tracker"
)

// Guards against a wrong load, which happens when reports lag, repeat or include the
// daemon's own work.
func TestReports(t *testing.T) {
	start := time.Unix(100, 0)
	type report struct {
		running int
		after   time.Duration
	}
	tests := []struct {
		name    string
		own     int
		reports []report
		want    int
	}{
		{"the work of other daemons is ignored", 3, []report{{10, 0}}, 10},
		{"own work is counted twice", 3, []report{{3, 0}}, 3},
		{"a lagging report hides new work of this daemon", 3, []report{{1, 0}}, 3},
		{"one noisy report replaces the estimate", 0, []report{{10, 0}, {20, time.Second}}, 13},
		{"a repeated report counts again", 0, []report{{10, 0}, {20, 10 * time.Millisecond}}, 10},
		{"an older report is used", 0, []report{{10, 0}, {20, -time.Second}}, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			k := tracker.New()
			for range test.own {
				k.Start("e")
			}
			for _, r := range test.reports {
				k.SetReported("e", r.running, start.Add(r.after))
			}
			is.Equal(k.Load("e"), test.want)
			is.Equal(k.InFlight("e"), test.own)
		})
	}
}
