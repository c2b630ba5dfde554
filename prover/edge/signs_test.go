package edge

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

const (
	// drainTime is how long after its first word a server that leaves may get requests.
	drainTime = 2 * time.Second
	// awayStart is how long after a server has asked for no requests some may still be
	// under way, and awayAllowed how many may reach it until the time has passed.
	awayStart   = 500 * time.Millisecond
	awayAllowed = 2
)

// crowd sends requests of one kind through all daemons until it is stopped.
type crowd struct {
	*site
	kind    string
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	sentAt  map[string]time.Time
	answers map[string]answer
}

// crowdPause is the time between two requests of one caller.
const crowdPause = 10 * time.Millisecond

func (s *site) startCrowd(kind string, callers int) *crowd {
	c := &crowd{site: s, kind: kind, stop: make(chan struct{}), sentAt: map[string]time.Time{}, answers: map[string]answer{}}
	for i := range callers {
		c.wg.Go(func() {
			for n := 0; !closed(c.stop); n++ {
				c.call(i%len(s.routers), fmt.Sprintf("%d-%s-%d-%d", i%len(s.routers), kind, i, n))
				time.Sleep(crowdPause)
			}
		})
	}
	return c
}

// call sends one request through a daemon. The id begins with the daemon's number.
func (c *crowd) call(router int, id string) {
	a := ask{router: c.routers[router], id: id, method: "GET", path: imitator.StatusPath + id, key: imitator.Key}
	if c.kind == "stream" {
		a.method, a.path, a.output = "POST", imitator.ModelPath, 3
	}
	c.mu.Lock()
	c.sentAt[id] = time.Now()
	c.mu.Unlock()
	got := a.do()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = got
}

func (c *crowd) end() {
	close(c.stop)
	c.wg.Wait()
}

// routerOf returns the number of the daemon that a request went through; the warm-up
// of a site has none.
func routerOf(attempt string) string {
	number, _, _ := strings.Cut(attempt, "-")
	if _, err := strconv.Atoi(number); err != nil {
		return ""
	}
	return number
}

// pair is a daemon and a backend server.
type pair struct{ router, server string }

// excuses are the times at which a daemon was paused or started anew, by its number. It
// may have forgotten what it was told before.
type excuses map[string][]time.Time

// between tells whether a daemon has an excuse between two times.
func (e excuses) between(router string, from, to time.Time) bool {
	return slices.ContainsFunc(e[router], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// lateAfterLeaving returns the requests that callers sent later than drainTime after a
// daemon had passed on the word of a server that it leaves, and that reached it.
func lateAfterLeaving(arrivals []imitator.Arrival, sentAt map[string]time.Time, e excuses) []string {
	told := map[pair]time.Time{}
	var late []string
	for _, a := range arrivals {
		p := pair{routerOf(a.Attempt), a.Server}
		if p.router == "" {
			continue
		}
		at, ok := told[p]
		if ok && e.between(p.router, at, a.At) {
			delete(told, p)
			ok = false
		}
		if ok && sentAt[a.Attempt].After(at.Add(drainTime)) {
			late = append(late, a.Attempt+" at "+a.Server)
		}
		if a.Leaving && !ok {
			told[p] = a.At
		}
	}
	return late
}

// mostWhileAway returns the largest number of requests that reached a server from a
// daemon that it had asked for none, within the time that it had stated.
func mostWhileAway(arrivals []imitator.Arrival, e excuses) int {
	most := 0
	for i, a := range arrivals {
		seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
		if err != nil || seconds < 0 || math.IsInf(seconds, 0) {
			continue
		}
		n := 0
		for _, b := range arrivals[i+1:] {
			late := b.At.Sub(a.At)
			same := b.Server == a.Server && routerOf(b.Attempt) == routerOf(a.Attempt)
			if same && late > awayStart && late.Seconds() < seconds && !e.between(routerOf(a.Attempt), a.At, b.At) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestServerSaysLeaving guards against requests to a server that says in its answers
// that it leaves, while its entry says otherwise.
func TestServerSaysLeaving(t *testing.T) {
	everyDoor := func(f imitator.Faults) func(*site) {
		return func(s *site) {
			for _, d := range s.doors {
				d.Inject(f)
			}
		}
	}
	tests := []struct {
		name, kind string
		before     func(*site)
		// during is called again and again while the server leaves.
		during func(*site, *imitator.Server)
	}{
		{"store is there", "read", func(*site) {}, nil},
		{"store is away", "read", everyDoor(imitator.Faults{Shut: true}), nil},
		{"store is slow", "read", everyDoor(imitator.Faults{Delay: 600 * time.Millisecond}), nil},
		{"entry is written again as ready", "read", func(*site) {}, func(_ *site, p *imitator.Server) { p.Register() }},
		{"entry lapses and comes back", "read", func(*site) {}, func(_ *site, p *imitator.Server) {
			p.Lapse()
			p.Register()
		}},
		{"first engine leaves", "stream", func(*site) {}, nil},
		{"first engine leaves, store is away", "stream", everyDoor(imitator.Faults{Shut: true}), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSiteOf(t, 2, imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 4})
			c := s.startCrowd(tt.kind, 4)
			tt.before(s)
			s.waitFor("requests before", func() bool { return len(s.Runs.Arrivals()) > 40 })
			p := s.busiest()
			if tt.kind == "stream" {
				s.engineWith(true).Leaving.Store(true)
			} else {
				p.Leaving.Store(true)
			}
			for end := time.Now().Add(drainTime + 1500*time.Millisecond); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if tt.during != nil {
					tt.during(s, p)
				}
			}
			c.end()
			arrivals := s.Runs.Arrivals()
			is.True(saidLeaving(arrivals)) // a daemon has heard of it
			is.Equal(len(lateAfterLeaving(arrivals, c.sentAt, nil)), 0)
			for id, a := range c.answers {
				if a.status != http.StatusOK {
					t.Errorf("%s was answered with %d", id, a.status)
				}
			}
		})
	}
}

// busiest returns the plain server that most requests reach.
func (s *site) busiest() *imitator.Server {
	counts := map[string]int{}
	for _, a := range s.Runs.Arrivals() {
		counts[a.Server]++
	}
	return slices.MaxFunc(s.Servers(), func(a, b *imitator.Server) int { return cmp.Compare(counts[a.ID], counts[b.ID]) })
}

func saidLeaving(arrivals []imitator.Arrival) bool {
	for _, a := range arrivals {
		if a.Leaving && routerOf(a.Attempt) != "" {
			return true
		}
	}
	return false
}

// TestServersWantNothing guards against requests to a server that has asked for none
// for a time, and against callers that wait for it.
func TestServersWantNothing(t *testing.T) {
	tests := []struct {
		name, kind string
		away       imitator.Away
		// sound is the number of servers that go on to answer.
		sound int
	}{
		{"two of four", "read", imitator.Away{RetryAfter: "3"}, 2},
		{"all", "read", imitator.Away{RetryAfter: "3"}, 0},
		{"all, without a sign that requests have not run", "read", imitator.Away{RetryAfter: "3", Unclear: true}, 0},
		{"all engines", "stream", imitator.Away{RetryAfter: "3"}, 0},
		{"all, for some years", "read", imitator.Away{RetryAfter: "99999999999999"}, 0},
		{"all, for a part of a second", "read", imitator.Away{RetryAfter: "0.8"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSiteOf(t, 2, imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 4})
			s.turnAway(&tt.away, tt.sound)
			// The first requests find out.
			known := time.Now().Add(awayStart)
			c := s.startCrowd(tt.kind, 4)
			time.Sleep(4 * time.Second)
			c.end()
			is.True(mostWhileAway(s.Runs.Arrivals(), nil) <= awayAllowed)
			for id, a := range c.answers {
				is.True(a.took < 2*time.Second) // nobody waits for a server that wants nothing
				switch {
				case tt.sound > 0 && c.sentAt[id].After(known) && a.status != http.StatusOK:
					t.Errorf("%s was answered with %d", id, a.status)
				case refused(a) && a.header.Get("Retry-After") == "":
					t.Errorf("%s was refused without a time to come back", id)
				}
			}
		})
	}
}

// turnAway lets all plain servers but some, and all engines, turn requests away; nil
// ends that.
func (s *site) turnAway(away *imitator.Away, sound int) {
	for _, p := range s.Servers()[sound:] {
		p.Away.Store(away)
	}
	for _, e := range s.Engines() {
		e.Away.Store(away)
	}
}
