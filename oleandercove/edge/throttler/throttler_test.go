package throttler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

const (
	// window is the span in which the requests of all daemons to a server are counted;
	// factor times what the limit allows, and slack more, may reach it.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	tick   = 20 * time.Millisecond
)

var server = backend.Server{ID: "i-1", Born: 7}

// fleet is a group of daemons that send requests to a server with a limit.
type fleet struct {
	clock   *timer.Manual
	rng     *rand.Rand
	daemons []*Throttler
	live    []unit.HostID
	sent    []time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{clock: timer.NewManual(time.Unix(1000, 0)), rng: rand.New(rand.NewPCG(3, 4))}
	for i := range n {
		f.live = append(f.live, unit.HostID(fmt.Sprint("entry-", i)))
		f.daemons = append(f.daemons, nil)
		f.restart(i)
	}
	return f
}

// restart replaces a daemon with one that knows nothing.
func (f *fleet) restart(i int) {
	f.daemons[i] = New(Options{
		Self: f.live[i], Live: func() []unit.HostID { return f.live }, Settled: func() bool { return true }, Timer: f.clock, Log: logger.Discard(),
	})
}

// send sends a request through a daemon if it may, and lets the server respond with a limit;
// none if it is negative.
func (f *fleet) send(i int, limit float64) bool {
	d := f.daemons[i]
	if ok, _ := d.Allows(server); !ok || !d.Take(server) {
		return false
	}
	sentAt := f.clock.Now()
	f.sent = append(f.sent, sentAt)
	f.clock.Advance(time.Microsecond)
	d.Observe(server, Observation{Limited: limit >= 0, Limit: unit.RequestsPerSecond(limit), SentAt: sentAt})
	return true
}

// most returns the largest number of requests within window, of those sent after a time.
func (f *fleet) most(after time.Time) int {
	most, first := 0, 0
	for i, at := range f.sent {
		for f.sent[first].Before(after) || at.Sub(f.sent[first]) > window {
			if first == i {
				break
			}
			first++
		}
		if !at.Before(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against daemons that together exceed the limit of a server or leave most of it unused,
// whatever the size of the fleet, while some of them restart.
func TestFleetKeepsLimit(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		limit   float64
		// restarts is the number of daemons that restart every second.
		restarts int
		// use is the least share of the limit that must be used.
		use float64
	}{
		{"one daemon", 1, 7.4, 0, 0.7},
		{"six daemons, one restarts", 6, 7.4, 1, 0.7},
		{"six daemons, a fast server", 6, 300, 1, 0.7},
		{"six daemons, less than one request a second", 6, 0.4, 0, 0.5},
		{"hundreds of daemons, one restarts", 300, 7.4, 1, 0.7},
		{"hundreds of daemons, a fast server", 300, 900, 3, 0.7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.daemons)
			began := f.clock.Now()
			const seconds = 60
			for n := range int(seconds * time.Second / tick) {
				// More requests arrive than the limit allows, at any daemon.
				for range 1 + int(3*tt.limit*tick.Seconds()) {
					f.send(f.rng.IntN(tt.daemons), tt.limit)
				}
				for i := range f.daemons {
					if f.rng.Float64() < 0.1 {
						f.send(i, tt.limit)
					}
				}
				if n%int(time.Second/tick) == 0 {
					for range tt.restarts {
						f.restart(f.rng.IntN(tt.daemons))
					}
				}
				f.clock.Advance(tick)
			}
			// Each daemon sends one request before it knows the limit.
			most := f.most(began.Add(3 * time.Second))
			allowed := int(factor*tt.limit*window.Seconds()) + slack
			use := float64(len(f.sent)) / (tt.limit * seconds)
			t.Logf("at most %d requests in 4 s, %d allowed; %.2f of the limit used", most, allowed, use)
			is.True(most <= allowed+int(window.Seconds()+1)*tt.restarts)
			is.True(use >= tt.use)
		})
	}
}

// Guards against a daemon that never learns that a limit has ended, because it has no share of
// it, and against one that sends requests to find out too often.
func TestLimitEnds(t *testing.T) {
	tests := []struct {
		name      string
		broadcast bool
		within    time.Duration
	}{
		{"peers report the end", true, time.Second},
		{"no report arrives", false, 200 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(100)
			for i := range f.daemons {
				f.send(i, 5)
			}
			holder := -1
			for ; holder < 0; f.clock.Advance(tick) {
				for i := range f.daemons {
					if ok, _ := f.daemons[i].Allows(server); ok {
						holder = i
					}
				}
			}
			is.True(f.send(holder, -1))
			if tt.broadcast {
				marks := f.daemons[holder].Marks(f.clock.Now())
				is.Equal(len(marks), 1)
				for _, d := range f.daemons {
					d.Merge(marks)
				}
			}
			left, end := len(f.daemons), f.clock.Now().Add(tt.within)
			for ; left > 0 && f.clock.Now().Before(end); f.clock.Advance(tick) {
				left = 0
				for i, d := range f.daemons {
					f.send(i, -1)
					if d.servers[server.ID] != nil && d.servers[server.ID].limited {
						left++
					}
				}
			}
			is.Equal(left, 0)
		})
	}
}

// Guards against a limit that ends because of a response to an earlier request, or applies to
// another instance of the server, and against an old report of a peer that sets it again.
func TestObserve(t *testing.T) {
	tests := []struct {
		name string
		act  func(f *fleet, sentBefore time.Time)
		want bool
	}{
		{"limit is not kept", func(*fleet, time.Time) {}, true},
		{"a response to an earlier request ends the limit", func(f *fleet, before time.Time) {
			f.daemons[0].Observe(server, Observation{SentAt: before})
		}, true},
		{"a response without a limit doesn't end it", func(f *fleet, _ time.Time) {
			f.daemons[0].Observe(server, Observation{SentAt: f.clock.Now()})
		}, false},
		{"the limit applies to the next instance", func(f *fleet, _ time.Time) { server.Born++ }, false},
		{"an old report of a peer sets it again", func(f *fleet, before time.Time) {
			f.daemons[0].Observe(server, Observation{SentAt: f.clock.Now()})
			f.daemons[0].Merge([]Mark{{Server: server.ID, Born: server.Born, Limited: true, Limit: 5, At: before}})
		}, false},
		{"a report of a peer is ignored", func(f *fleet, _ time.Time) {
			f.daemons[0].Merge([]Mark{{Server: server.ID, Born: server.Born, At: f.clock.Now()}})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			born := server.Born
			defer func() { server.Born = born }()
			f := newFleet(1)
			before := f.clock.Now()
			f.send(0, 5)
			f.clock.Advance(10 * time.Millisecond)
			tt.act(f, before)
			ok, until := f.daemons[0].Allows(server)
			is.Equal(!ok, tt.want)
			is.Equal(!until.IsZero(), tt.want)
		})
	}
}

// Guards against shares that add up to more than the limit, and against bursts of many daemons
// that add up.
func TestShares(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 6, 76, 610} {
		for _, limit := range []unit.RequestsPerSecond{0.1, 0.9, 1, 1.5, 7.4, 100, 5000} {
			f := newFleet(n)
			var rate, burst float64
			for _, h := range f.live {
				x := shareOf(limit, h, f.live, server.ID)
				rate, burst = rate+float64(x.rate), burst+x.burst
			}
			is.True(rate <= float64(limit))
			is.True(rate >= 0.8*float64(limit))
			is.True(burst <= max(1, float64(limit)))
		}
	}
	is.Equal(shareOf(5, "other", []unit.HostID{"entry-1"}, server.ID), share{}) // not a live daemon
}
