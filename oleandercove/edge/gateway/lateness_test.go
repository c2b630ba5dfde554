package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/routing"
)

// Guards against a late stream that leaves no line in the log, and against lines for
// streams that were on time.
func TestLateStream(t *testing.T) {
	const ms = time.Millisecond
	route := &routing.Route{Objective: 500 * ms, MaxEventGap: 200 * ms}
	tests := []struct {
		name   string
		route  *routing.Route
		events []time.Duration
		want   bool
		before eventID
	}{
		{"a stream on time", route, []time.Duration{400 * ms, 600 * ms, 650 * ms}, false, "2"},
		{"a late first event", route, []time.Duration{501 * ms, 550 * ms}, true, "2"},
		{"a long pause", route, []time.Duration{100 * ms, 150 * ms, 400 * ms, 450 * ms}, true, "3"},
		{"a route without objectives", &routing.Route{}, []time.Duration{900 * ms, 2000 * ms}, false, "2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var x timing
			for i, at := range tt.events {
				x.addEvent(at, eventID(rune('1'+i)))
			}
			is.Equal(x.isLate(tt.route), tt.want)
			is.Equal(x.gapEnd, tt.before)
		})
	}
}
