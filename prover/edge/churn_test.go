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

// hasRecentArrivals reports whether a request reached a server in the last 200 ms before the
// latest arrival at any server.
func (c *loadGenerator) hasRecentArrivals(server string) bool {
	arrivals := c.Runs.Arrivals()
	last := arrivals[len(arrivals)-1].At
	for i := len(arrivals) - 1; i >= 0 && last.Sub(arrivals[i].At) < 200*time.Millisecond; i-- {
		if arrivals[i].Server == server {
			return true
		}
	}
	return false
}

// newSignalSite starts a small site under load on the plain service. The load spreads over
// the servers because each request takes 15 ms.
func newSignalSite(t *testing.T) (*site, *loadGenerator) {
	s := newSiteWith(t, 2, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 3, WorkTime: 15 * time.Millisecond})
	c := s.startLoad("read", 12)
	s.waitFor("requests", func() bool { return len(s.Runs.Arrivals()) > 100 })
	return s, c
}

// Guards against a leaving notice that applies to another server instance at the same
// address, or that stays in force after the server accepts requests again.
func TestServerChurn(t *testing.T) {
	tests := []struct {
		name string
		next func(*site, *imitator.Server) error
		// idSuffix is the suffix of the id of the server that gets requests after next was called.
		idSuffix string
	}{
		{"another server at its address gets nothing", func(s *site, p *imitator.Server) error { return s.Replace(p) }, ".1"},
		{"server that accepts requests again gets nothing", func(_ *site, p *imitator.Server) error {
			p.LeavingNotice.Store(false)
			p.Register()
			return nil
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, c := newSignalSite(t)
			p := s.busiest()
			p.LeavingNotice.Store(true)
			s.waitFor("the server to get no requests", func() bool { return hasLeavingNotice(s.Runs.Arrivals()) && !c.hasRecentArrivals(p.ID) })
			is.NoErr(tt.next(s, p))
			s.waitFor("the next instance to get requests", func() bool { return c.hasRecentArrivals(p.ID + tt.idSuffix) })
			c.finish()
			is.Equal(len(s.Violations()), 0)
		})
	}
}

// Guards against requests to a leaving server, which happen when the Retry-After time of its
// rejections has passed.
func TestBothSignals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, c := newSignalSite(t)
	p := s.busiest()
	p.Rejection.Store(&imitator.Rejection{RetryAfter: "1"})
	p.LeavingNotice.Store(true)
	time.Sleep(leavingGrace + 2*time.Second)
	p.Rejection.Store(nil)
	time.Sleep(time.Second)
	c.finish()
	arrivals := s.Runs.Arrivals()
	is.True(hasLeavingNotice(arrivals))
	is.Equal(len(requestsAfterLeaving(arrivals, c.sentAt, nil)), 0)
	is.True(maxArrivalsInBackoff(arrivals, nil) <= maxBackoffArrivals)
}

// Guards against requests to a leaving server from a daemon that was paused or restarted
// after the leaving notice.
func TestRestartedDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, c := newSignalSite(t)
	p := s.busiest()
	p.LeavingNotice.Store(true)
	s.waitFor("the server to get no requests", func() bool { return hasLeavingNotice(s.Runs.Arrivals()) && !c.hasRecentArrivals(p.ID) })
	is.NoErr(s.routers[1].Pause())
	time.Sleep(500 * time.Millisecond)
	is.NoErr(s.routers[1].Resume())
	s.routers[0].Kill()
	is.NoErr(s.routers[0].Restart())
	s.waitReady(s.routers[0])
	s.waitFor("requests through the restarted daemon", func() bool { return s.status(0, "fresh", imitator.Key) == http.StatusOK })
	began := time.Now()
	time.Sleep(leavingGrace + time.Second)
	c.finish()
	late := 0
	for _, a := range s.Runs.Arrivals() {
		if a.Server == p.ID && a.At.After(began.Add(leavingGrace)) {
			late++
		}
	}
	is.Equal(late, 0)
}

// Guards against chains through an engine whose reports state that it is leaving, and
// against layers that are loaded elsewhere only after the engine is removed.
func TestLaterEngineLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSiteWith(t, 2, imitator.Options{DataCentres: []string{"x"}, Engines: 4, Servers: 1})
	e := s.pickEngine(false)
	e.LeavingNotice.Store(true)
	usesEngine := func() bool {
		id := fmt.Sprintf("chain-%d", time.Now().UnixNano())
		a := request{router: s.routers[0], id: id, method: "POST", path: imitator.ModelPath, key: imitator.Key, output: 2}.do()
		if a.checkStream(id, 2) != nil {
			return true
		}
		return strings.Contains(s.Runs.ByAttempt(id)[0].Header.Get("X-Oleandercove-Hop-Count"), e.Address()+"=")
	}
	s.waitFor("chains without the engine", func() bool { return !usesEngine() })
	is.True(!usesEngine())
}

// Guards against unused capacity and against callers that wait for rejecting servers, which
// happen when half of the servers reject and the load is 1.8 times the capacity of the others.
func TestHalfReject(t *testing.T) {
	is := is.New(t)
	const (
		work, slots, accepting = 100 * time.Millisecond, 6, 4
		duration               = 5 * time.Second
	)
	capacity := float64(accepting*slots) / work.Seconds()
	s := newSiteWith(t, 2, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 2 * accepting, WorkTime: work, Slots: slots})
	for _, p := range s.Servers()[accepting:] {
		p.Rejection.Store(&imitator.Rejection{RetryAfter: "2"})
	}
	var served, slow atomic.Int64
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / (1.8 * capacity)))
	defer tick.Stop()
	began := time.Now()
	for n := 0; time.Since(began) < duration; n++ {
		<-tick.C
		wg.Go(func() {
			id := fmt.Sprintf("%d-load-%d", n%2, n)
			a := request{router: s.routers[n%2], id: id, method: "GET", path: imitator.StatusPath + id, key: imitator.Key}.do()
			if a.status == http.StatusOK {
				served.Add(1)
			}
			if a.took > 2*time.Second {
				slow.Add(1)
			}
		})
	}
	wg.Wait()
	t.Logf("served %d requests of a capacity of %.0f", served.Load(), capacity*duration.Seconds())
	is.True(float64(served.Load()) >= 0.9*capacity*duration.Seconds())
	is.Equal(slow.Load(), int64(0))
	is.True(maxArrivalsInBackoff(s.Runs.Arrivals(), nil) <= maxBackoffArrivals)
}
