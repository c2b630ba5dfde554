package judge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
)

// Guards against a server that is chosen during its backoff, and against a backoff that
// still applies after the server has restarted.
func TestExclusionReason(t *testing.T) {
	server := backend.Server{ID: "a", Born: 1}
	const stated = 4 * time.Second
	tests := []struct {
		name    string
		server  backend.Server
		running int
		after   time.Duration
		want    Reason
	}{
		{"chosen directly after a rejection", server, 0, 0, Backoff},
		{"chosen before the stated time has passed", server, 0, stated - time.Millisecond, Backoff},
		{"excluded after the stated time", server, 0, stated + stated/10, Eligible},
		{"two concurrent requests at the start of the slow start", server, 1, stated + stated/10, SlowStart},
		{"limit stays after the slow start", server, 100, stated + 5*time.Second, Eligible},
		{"backoff applies to a restarted server", backend.Server{ID: "a", Born: 2}, 5, 0, Eligible},
		{"backoff applies to another server", backend.Server{ID: "b", Born: 1}, 5, 0, Eligible},
		{"leaving server is shown as draining", backend.Server{ID: "b", Draining: true, LeavingSince: start}, 0, 0, Leaving},
		{"server that drains in the registry is chosen", backend.Server{ID: "b", Draining: true}, 0, 0, Draining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := New()
			j.SetBackoff(server, stated, 0.5, start)
			got, _ := j.ExclusionReason(tt.server, tt.running, start.Add(tt.after))
			is.Equal(got, tt.want)
		})
	}
}

// Guards against a backoff that a later, shorter one from the same server cuts short.
func TestLongerBackoff(t *testing.T) {
	is := is.New(t)
	s := backend.Server{ID: "a"}
	j := New()
	j.SetBackoff(s, 5*time.Second, 0, start)
	j.SetBackoff(s, time.Second, 0, start.Add(time.Second))
	reason, until := j.ExclusionReason(s, 0, start.Add(4*time.Second))
	is.Equal(reason, Backoff)
	is.Equal(until, start.Add(5*time.Second))
}

// Guards against a burst on a server whose backoff ends while many requests wait for
// it, and against a server that never gets its full share back.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	s := backend.Server{ID: "a"}
	j := New()
	j.SetBackoff(s, time.Second, 0, start)
	for range 10 {
		j.RecordSuccess("a", time.Millisecond)
	}
	j.ExclusionReason(s, 0, start.Add(900*time.Millisecond))
	now := start.Add(1200 * time.Millisecond)
	running, rounds := 0, []int{}
	for range 8 {
		for reason := Eligible; reason == Eligible && running < 1000; {
			if reason, _ = j.ExclusionReason(s, running, now); reason == Eligible {
				running++
			}
		}
		rounds = append(rounds, running)
		for ; running > 0; running-- {
			j.RecordSuccess("a", time.Millisecond)
		}
	}
	is.Equal(rounds[0], slowStartMin)
	is.Equal(rounds[1], 2*slowStartMin)
	is.Equal(rounds[len(rounds)-1], 1000)
}
