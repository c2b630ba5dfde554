package judge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
)

// TestOut guards against a server that is chosen although it asked for nothing, and
// against one that stays out when it has started anew.
func TestOut(t *testing.T) {
	server := backend.Server{ID: "a", Born: 1}
	const stated = 4 * time.Second
	tests := []struct {
		name    string
		server  backend.Server
		running int
		after   time.Duration
		want    Reason
	}{
		{"just turned away", server, 0, 0, Backoff},
		{"at the end of the stated time", server, 0, stated - time.Millisecond, Backoff},
		{"first request after that", server, 0, stated + stated/10, Chosen},
		{"second request beside the first", server, 1, stated + stated/10, SlowStart},
		{"many requests some time later", server, 100, stated + 5*time.Second, Chosen},
		{"started anew under its id", backend.Server{ID: "a", Born: 2}, 5, 0, Chosen},
		{"another server", backend.Server{ID: "b", Born: 1}, 5, 0, Chosen},
		{"says that it leaves", backend.Server{ID: "b", Draining: true, LeavingSince: start}, 0, 0, Leaving},
		{"registry says that it drains", backend.Server{ID: "b", Draining: true}, 0, 0, Draining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := New()
			j.Backoff(server, stated, 0.5, start)
			got, _ := j.Out(tt.server, tt.running, start.Add(tt.after))
			is.Equal(got, tt.want)
		})
	}
}

// TestLongerBackoff guards against a later answer that shortens the time that a server
// has asked for.
func TestLongerBackoff(t *testing.T) {
	is := is.New(t)
	s := backend.Server{ID: "a"}
	j := New()
	j.Backoff(s, 5*time.Second, 0, start)
	j.Backoff(s, time.Second, 0, start.Add(time.Second))
	reason, until := j.Out(s, 0, start.Add(4*time.Second))
	is.Equal(reason, Backoff)
	is.Equal(until, start.Add(5*time.Second))
}

// TestSlowStart replays a server that takes requests again while many wait for it. It
// guards against all of them coming at once, and against a server that never gets its
// share back.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	s := backend.Server{ID: "a"}
	j := New()
	j.Backoff(s, time.Second, 0, start)
	for range 10 {
		j.Succeeded("a", time.Millisecond)
	}
	j.Out(s, 0, start.Add(900*time.Millisecond))
	now := start.Add(1200 * time.Millisecond)
	running, rounds := 0, []int{}
	for range 8 {
		for reason := Chosen; reason == Chosen && running < 1000; {
			if reason, _ = j.Out(s, running, now); reason == Chosen {
				running++
			}
		}
		rounds = append(rounds, running)
		for ; running > 0; running-- {
			j.Succeeded("a", time.Millisecond)
		}
	}
	is.Equal(rounds[0], firstLimit)
	is.Equal(rounds[1], 2*firstLimit)
	is.Equal(rounds[len(rounds)-1], 1000)
}
