package rationer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/timer"
)

// Guards against a link that is sent more data than it can carry, and against new requests
// that leave nothing for resumed streams, which happen when several data centres lose
// engines: each of 70 daemons has five requests a second that would cross, 280 megabits
// each, on a link of 10,400 megabits per second.
func TestCrossingBurst(t *testing.T) {
	const (
		hosts    = 70
		link     = routing.MegabitsPerSecond(10400)
		transfer = Megabits(280)
		requests = 5
		seconds  = 20
	)
	is := is.New(t)
	rate := daemonRate(link, 1.0/hosts)
	var b bucket
	start := time.Unix(100, 0)
	newRequests, resumed := 0, 0
	for i := range requests * seconds {
		now := start.Add(time.Duration(i) * time.Second / requests)
		b.refill(rate, now)
		if b.allows(rate, NewRequest) {
			b.available -= transfer
			newRequests++
		}
		if i == requests*seconds/2 && b.allows(rate, ResumedRequest) {
			resumed++
		}
	}
	is.True(Megabits(newRequests)*transfer <= Megabits(rate)*(seconds+Megabits(burstTime.Seconds()))+transfer)
	is.True(newRequests > 0)
	is.Equal(resumed, 1)
}

// Guards against a bucket that fills beyond its capacity while a daemon is idle, and
// against one that never recovers after it was overdrawn.
func TestBucketLimits(t *testing.T) {
	is := is.New(t)
	var b bucket
	now := time.Unix(100, 0)
	b.refill(100, now)
	is.Equal(b.available, Megabits(100))
	b.refill(100, now.Add(time.Hour))
	is.Equal(b.available, Megabits(100))
	b.available -= 280
	is.True(!b.allows(100, ResumedRequest))
	b.refill(100, now.Add(time.Hour+3*time.Second))
	is.True(b.allows(100, NewRequest))
}

// Guards against requests of a busy daemon of a large fleet that are refused or wait although the
// link is hardly used: it has a twentieth of all requests, and two a second have to cross.
func TestBusyDaemon(t *testing.T) {
	const (
		link     = routing.MegabitsPerSecond(18000)
		transfer = Megabits(350)
		requests = 2
		seconds  = 10
	)
	is := is.New(t)
	m := timer.NewManual(time.Unix(100, 0))
	r := New(Options{Part: func(routing.ServiceName) float64 { return 0.05 }, Timer: m})
	crossed := 0
	for range requests * seconds {
		m.Advance(time.Second / requests)
		if r.Allows("s", link, NewRequest) {
			r.Spend(transfer)
			crossed++
		}
	}
	t.Logf("%d requests crossed", crossed)
	is.Equal(crossed, requests*seconds)
}
