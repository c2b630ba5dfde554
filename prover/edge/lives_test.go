package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

// reaches tells whether requests reach a server now.
func (c *crowd) reaches(server string) bool {
	arrivals := c.Runs.Arrivals()
	last := arrivals[len(arrivals)-1].At
	for i := len(arrivals) - 1; i >= 0 && last.Sub(arrivals[i].At) < 200*time.Millisecond; i-- {
		if arrivals[i].Server == server {
			return true
		}
	}
	return false
}

// newSigns starts a small site with callers of the plain service, who spread over its
// servers because each request takes a while.
func newSigns(t *testing.T) (*site, *crowd) {
	s := newSiteOf(t, 2, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 3, Work: 15 * time.Millisecond})
	c := s.startCrowd("read", 12)
	s.waitFor("requests", func() bool { return len(s.Runs.Arrivals()) > 100 })
	return s, c
}

// TestLivesOfServers guards against the word of a server that it leaves which holds for
// another life, or which nothing ends.
func TestLivesOfServers(t *testing.T) {
	tests := []struct {
		name string
		next func(*site, *imitator.Server) error
		// back is the id of the server that gets requests after that.
		back string
	}{
		{"another server at its address gets nothing", func(s *site, p *imitator.Server) error { return s.Replace(p) }, ".1"},
		{"server that takes work again gets nothing", func(_ *site, p *imitator.Server) error {
			p.Leaving.Store(false)
			p.Register()
			return nil
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, c := newSigns(t)
			p := s.busiest()
			p.Leaving.Store(true)
			s.waitFor("the server to be left out", func() bool { return saidLeaving(s.Runs.Arrivals()) && !c.reaches(p.ID) })
			is.NoErr(tt.next(s, p))
			s.waitFor("the next life to get requests", func() bool { return c.reaches(p.ID + tt.back) })
			c.end()
			is.Equal(len(s.Faults()), 0)
		})
	}
}

// TestBothSigns guards against a server that gets requests when the time for which it
// wanted none has passed, although it also leaves.
func TestBothSigns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, c := newSigns(t)
	p := s.busiest()
	p.Away.Store(&imitator.Away{RetryAfter: "1"})
	p.Leaving.Store(true)
	time.Sleep(drainTime + 2*time.Second)
	p.Away.Store(nil)
	time.Sleep(time.Second)
	c.end()
	arrivals := s.Runs.Arrivals()
	is.True(saidLeaving(arrivals))
	is.Equal(len(lateAfterLeaving(arrivals, c.sentAt, nil)), 0)
	is.True(mostWhileAway(arrivals, nil) <= awayAllowed)
}

// TestRestartedDaemon guards against a daemon that has been paused, or has started anew,
// and goes on sending to a server that leaves.
func TestRestartedDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, c := newSigns(t)
	p := s.busiest()
	p.Leaving.Store(true)
	s.waitFor("the server to be left out", func() bool { return saidLeaving(s.Runs.Arrivals()) && !c.reaches(p.ID) })
	is.NoErr(s.routers[1].Pause())
	time.Sleep(500 * time.Millisecond)
	is.NoErr(s.routers[1].Resume())
	s.routers[0].Kill()
	is.NoErr(s.routers[0].Restart())
	s.waitReady(s.routers[0])
	s.waitFor("requests through the daemon that started anew", func() bool { return s.status(0, "fresh", imitator.Key) == http.StatusOK })
	began := time.Now()
	time.Sleep(drainTime + time.Second)
	c.end()
	late := 0
	for _, a := range s.Runs.Arrivals() {
		if a.Server == p.ID && a.At.After(began.Add(drainTime)) {
			late++
		}
	}
	is.Equal(late, 0)
}

// TestLaterEngineLeaves guards against chains over an engine that says in its reports
// that it leaves, and against layers that are loaded elsewhere only once it has gone.
func TestLaterEngineLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSiteOf(t, 2, imitator.Options{DataCentres: []string{"x"}, Engines: 4, Servers: 1})
	e := s.engineWith(false)
	e.Leaving.Store(true)
	crosses := func() bool {
		id := fmt.Sprintf("chain-%d", time.Now().UnixNano())
		a := ask{router: s.routers[0], id: id, method: "POST", path: imitator.ModelPath, key: imitator.Key, output: 2}.do()
		if a.whole(id, 2) != nil {
			return true
		}
		return strings.Contains(s.Runs.Of(id)[0].Header.Get("X-Oleandercove-Hop-Count"), e.Address()+"=")
	}
	s.waitFor("chains without the engine", func() bool { return !crosses() })
	is.True(!crosses())
}

// TestHalfAway replays 1.8 times the load that half of the servers can serve while the
// other half wants nothing. It guards against room that is not used, and against
// callers that wait for servers that want nothing.
func TestHalfAway(t *testing.T) {
	is := is.New(t)
	const (
		work, slots, sound = 100 * time.Millisecond, 6, 4
		duration           = 5 * time.Second
	)
	room := float64(sound*slots) / work.Seconds()
	s := newSiteOf(t, 2, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 2 * sound, Work: work, Slots: slots})
	for _, p := range s.Servers()[sound:] {
		p.Away.Store(&imitator.Away{RetryAfter: "2"})
	}
	var served, slow atomic.Int64
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / (1.8 * room)))
	defer tick.Stop()
	began := time.Now()
	for n := 0; time.Since(began) < duration; n++ {
		<-tick.C
		wg.Go(func() {
			id := fmt.Sprintf("%d-load-%d", n%2, n)
			a := ask{router: s.routers[n%2], id: id, method: "GET", path: imitator.StatusPath + id, key: imitator.Key}.do()
			if a.status == http.StatusOK {
				served.Add(1)
			}
			if a.took > 2*time.Second {
				slow.Add(1)
			}
		})
	}
	wg.Wait()
	t.Logf("served %d of %.0f that fit", served.Load(), room*duration.Seconds())
	is.True(float64(served.Load()) >= 0.9*room*duration.Seconds())
	is.Equal(slow.Load(), int64(0))
	is.True(mostWhileAway(s.Runs.Arrivals(), nil) <= awayAllowed)
}
