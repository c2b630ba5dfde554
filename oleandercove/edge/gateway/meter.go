package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/verdict"
)

var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	350 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second,
}

// Meter records the metrics of the gateway.
type Meter struct {
	scope                          tally.Scope
	callTime, firstEvent, eventGap tally.Histogram
}

// NewMeter returns a Meter that reports to a scope.
func NewMeter(s tally.Scope) *Meter {
	return &Meter{
		scope: s, callTime: s.Histogram("call_seconds", latencyBuckets),
		firstEvent: s.Histogram("first_event_seconds", latencyBuckets), eventGap: s.Histogram("event_gap_seconds", latencyBuckets),
	}
}

// countRefusal counts a refused request by reason.
func (m *Meter) countRefusal(r verdict.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("refused_total").Inc(1)
}

// countEarlyEnd counts a stream that ended before its last event by what kept it from
// another chain.
func (m *Meter) countEarlyEnd(o obstacle) {
	m.scope.Tagged(map[string]string{"obstacle": string(o)}).Counter("streams_ended_early_total").Inc(1)
}

// countClass counts a model request by its class of urgency, and whether it was admitted. A nil
// Meter counts nothing.
func (m *Meter) countClass(r routing.Rank, admitted bool) {
	if m == nil {
		return
	}
	outcome := "Refused"
	if admitted {
		outcome = "Admitted"
	}
	m.scope.Tagged(map[string]string{"class": strconv.Itoa(r.Label()), "outcome": outcome}).Counter("class_requests_total").Inc(1)
}

func (m *Meter) count(name string) { m.scope.Counter(name).Inc(1) }
