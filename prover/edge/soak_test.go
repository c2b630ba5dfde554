package edge

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
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
	// soakTime is how long faults come in one seed.
	soakTime = 6 * time.Second
	// soakClients is the number of clients of each kind.
	soakClients = 3
	// defaultSeeds is the number of seeds in CI.
	defaultSeeds = 2
)

// knownSeeds are seeds that failed once, with the cause in a comment.
var knownSeeds = []uint64{}

// soak injects faults into a site and checks what clients and servers see.
type soak struct {
	*site
	rng     *rand.Rand
	mu      sync.Mutex
	next    int
	answers map[string]answer
	sentAt  map[string]time.Time
	// excuses are the pauses and starts of daemons.
	excuses excuses
}

// TestSoak guards against promises that hold under each fault alone and break
// when faults come in series and overlap. SOAK_SEEDS sets the number of seeds
// and SOAK_FIRST the first one.
func TestSoak(t *testing.T) {
	first, n := number("SOAK_FIRST", 1), number("SOAK_SEEDS", defaultSeeds)
	seeds := append([]uint64(nil), knownSeeds...)
	for i := range n {
		seeds = append(seeds, first+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func number(name string, usual uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return usual
	}
	return n
}

func runSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	s := &soak{
		site: newSiteOf(t, 3, imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 4}),
		rng:  rand.New(rand.NewPCG(seed, 1)), answers: map[string]answer{}, sentAt: map[string]time.Time{}, excuses: excuses{},
	}
	crashing := s.crashing()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range soakClients {
		for _, kind := range []string{"book", "read", "stream"} {
			clients.Add(1)
			go func() {
				defer clients.Done()
				s.client(kind, i, stop)
			}()
		}
	}
	clients.Go(func() { s.repeat(crashing, stop) })
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		heal := s.inject()
		time.Sleep(time.Duration(100+s.rng.IntN(900)) * time.Millisecond)
		heal()
	}
	close(stop)
	clients.Wait()
	s.check(t)
	s.checkSigns(t, crashing)
	s.waitFor("reads to be served again", func() bool { return s.status(0, s.id(0, "end"), imitator.Key) == http.StatusOK })
	s.waitFor("all layers to be held again", s.Covered)
	s.waitFor("a stream to be whole again", func() bool {
		id := s.id(0, "end")
		a := ask{router: s.routers[0], id: id, method: "POST", path: imitator.ModelPath, key: imitator.Key, output: 5}.do()
		return a.whole(id, 5) == nil
	})
	is.Equal(len(s.Faults()), 0)
}

// id returns the id of a request that is sent through a daemon now.
func (s *soak) id(router int, kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := fmt.Sprintf("%d-%s-%d", router, kind, s.next)
	s.sentAt[id] = time.Now()
	return id
}

// excuse notes that a daemon was paused or started anew.
func (s *soak) excuse(router int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := strconv.Itoa(router)
	s.excuses[number] = append(s.excuses[number], time.Now())
}

// crashing returns a request that ends the backend servers under which it runs.
func (s *soak) crashing() ask {
	if s.rng.IntN(2) == 0 {
		return ask{method: "GET", path: imitator.StatusPath + imitator.EndsServer, key: imitator.Key}
	}
	return ask{method: "POST", path: imitator.ModelPath, key: imitator.Key, body: imitator.EndsServer, output: 30}
}

// repeat sends a request through all daemons in turn.
func (s *soak) repeat(a ask, stop <-chan struct{}) {
	for n := 0; !closed(stop); n++ {
		i := n % len(s.routers)
		a.router, a.id = s.routers[i], s.id(i, "crash")
		a.do()
		time.Sleep(repeatPause)
	}
}

// client sends requests one after the other over kept connections.
func (s *soak) client(kind string, router int, stop <-chan struct{}) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 12 * time.Second}
	defer c.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		a := ask{router: s.routers[router], id: s.id(router, kind), method: "POST", path: imitator.BookPath, key: imitator.Key, body: kind, client: c}
		switch kind {
		case "read":
			a.method, a.path, a.body = "GET", imitator.StatusPath, ""
		case "stream":
			a.path, a.body, a.output = imitator.ModelPath, "", 30
		}
		got := a.do()
		s.mu.Lock()
		s.answers[a.id] = got
		s.mu.Unlock()
		if got.err != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// inject starts one random fault and returns the function that ends it.
func (s *soak) inject() func() {
	i := s.rng.IntN(len(s.routers))
	r, d := s.routers[i], s.doors[i]
	p, e := s.Servers()[s.rng.IntN(len(s.Servers()))], s.Engines()[s.rng.IntN(len(s.Engines()))]
	switch s.rng.IntN(11) {
	case 0:
		s.excuse(i)
		r.Kill()
		return func() { s.restart(i) }
	case 1:
		s.excuse(i)
		if err := r.Pause(); err != nil {
			s.Fault("pause: %v", err)
		}
		return func() {
			if err := r.Resume(); err != nil {
				s.Fault("resume: %v", err)
			}
			s.excuse(i)
		}
	case 2:
		d.Inject(imitator.Faults{Shut: true})
		return func() { d.Inject(imitator.Faults{}) }
	case 3:
		d.Inject(imitator.Faults{LosesAnswers: true})
		return func() { d.Inject(imitator.Faults{}) }
	case 4:
		e.SetDead(true)
		return func() { e.SetDead(false) }
	case 5:
		p.Failing.Store(true)
		return func() { p.Failing.Store(false) }
	case 6:
		p.Leaving.Store(true)
		return func() { time.AfterFunc(leavingTime, func() { s.replace(p) }) }
	case 7:
		p.Away.Store(&imitator.Away{RetryAfter: "1.5"})
		return func() { p.Away.Store(nil) }
	case 8:
		e.Away.Store(&imitator.Away{RetryAfter: "1.5"})
		return func() { e.Away.Store(nil) }
	case 9:
		p.Full.Store(true)
		return func() { p.Full.Store(false) }
	default:
		s.Store.Forget()
		return func() {}
	}
}

func (s *soak) restart(i int) {
	if err := s.routers[i].Restart(); err != nil {
		s.Fault("restart: %v", err)
		return
	}
	s.excuse(i)
	s.waitReady(s.routers[i])
}

// leavingTime is how long after the fault a server that leaves goes on, so that late
// requests to it show.
const leavingTime = drainTime + time.Second

// replace ends a server that leaves, unless it has ended before.
func (s *soak) replace(p *imitator.Server) {
	if err := s.Replace(p); err != nil && !errors.Is(err, imitator.ErrEnded) {
		s.Fault("replacement of %s: %v", p.ID, err)
	}
}

// checkSigns compares what reached backend servers with what these had said, and the
// servers that a repeated request ended with what it may end.
func (s *soak) checkSigns(t *testing.T, crashing ask) {
	arrivals := s.Runs.Arrivals()
	for _, late := range lateAfterLeaving(arrivals, s.sentAt, s.excuses) {
		t.Errorf("%s came although the server leaves", late)
	}
	if n := mostWhileAway(arrivals, s.excuses); n > awayAllowed {
		t.Errorf("%d requests came to a server that wanted none", n)
	}
	crashes := s.Crashes()
	// Replacements are ends without an attempt.
	crashes = slices.DeleteFunc(crashes, func(c imitator.Crash) bool { return c.Attempt == "" })
	if len(crashes) <= crashesAllowed {
		return
	}
	known := crashes[crashesAllowed-1].At.Add(contactTime)
	n := 0
	for _, x := range s.Runs.All() {
		router := routerOf(x.Header.Get("X-Oleandercove-Attempt-Id"))
		if x.At.After(known) && x.Body == crashing.body && strings.HasPrefix(x.Target, crashing.path) &&
			!s.excuses.between(router, x.At.Add(-contactTime), x.At) {
			n++
		}
	}
	if n > lateSends {
		t.Errorf("a request that had ended %d servers was sent %d times more", len(crashes), n)
	}
}

// check compares what clients saw with what servers ran.
func (s *soak) check(t *testing.T) {
	for id, a := range s.answers {
		n := len(s.Runs.Of(id))
		kind := strings.Split(id, "-")[1]
		switch {
		case kind == "book" && n > 1:
			t.Errorf("%s ran %d times", id, n)
		case refused(a) && kind == "book" && n > 0:
			t.Errorf("%s was refused with %d and ran", id, a.status)
		case a.status == http.StatusOK && a.err == nil && kind == "stream":
			if err := a.whole(id, 30); err != nil {
				t.Errorf("%s: %v", id, err)
			}
		case a.status == http.StatusOK && a.err == nil && !strings.HasPrefix(a.body, "answer of plain-"):
			t.Errorf("%s got %q", id, a.body)
		case a.status == http.StatusUnauthorized || a.status == http.StatusNotFound:
			t.Errorf("%s was denied with %d", id, a.status)
		}
		if kind == "stream" && a.status == http.StatusOK {
			s.checkOrder(t, id, a.body)
		}
	}
}

// refused tells whether an answer promises that the request did not run.
func refused(a answer) bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
}

// checkOrder tells whether the events of a stream follow each other, also if it
// broke off.
func (s *soak) checkOrder(t *testing.T, id, body string) {
	n := 0
	for line := range strings.Lines(body) {
		text, ok := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !ok {
			continue
		}
		n++
		if text != strconv.Itoa(n) {
			t.Errorf("%s has event %s at place %d", id, text, n)
			return
		}
	}
}
