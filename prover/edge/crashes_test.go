package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

const (
	// gossipTime is how long daemons may take to broadcast their crash records.
	gossipTime = 3 * time.Second
	// maxCrashes is the number of backend servers that a request may crash.
	// maxLateSends is how often the request may be sent later than gossipTime after the last
	// of these crashes.
	maxCrashes   = 3
	maxLateSends = 3
	// repeatPause is the time between two sends of the repeated request.
	repeatPause = 150 * time.Millisecond
	// bystanders is the number of other callers of each kind.
	bystanders = 2
	// bystanderPause is the time between two requests of one bystander.
	bystanderPause = 20 * time.Millisecond
	// callTimeout is how long the callers of plain servers wait.
	callTimeout = 600 * time.Millisecond
)

// copyDataCentres are data centres with a copy of the model each: as many as the request
// may crash, and one for the other callers.
var copyDataCentres = []string{"w", "x", "y", "z"}

// Guards against a poison request that is retried through any daemon and crashes one
// backend server after the other, until none is left for other callers.
func TestRepeatedCrashes(t *testing.T) {
	tests := []struct {
		name    string
		request request
		// crashLimit is the number of crashes that the request may cause.
		crashLimit int
	}{
		{"a read crashes plain servers", request{method: "GET", path: imitator.StatusPath + imitator.CrashTrigger}, maxCrashes},
		{"a booking crashes plain servers", request{method: "POST", path: imitator.BookPath, body: imitator.CrashTrigger}, maxCrashes},
		{"a read crashes servers that restart at once", request{method: "GET", path: imitator.StatusPath + imitator.HiddenCrashTrigger}, maxCrashes + maxLateSends},
		{"a stream crashes the first engine", request{method: "POST", path: imitator.ModelPath, body: imitator.CrashTrigger, output: 30}, maxCrashes},
		{"a stream crashes the last engine", request{method: "POST", path: imitator.ModelPath, body: imitator.LastEngineCrashTrigger, output: 30}, maxCrashes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSiteWith(t, 3, imitator.Options{DataCentres: copyDataCentres, Engines: 3, Servers: 8, WorkTime: 10 * time.Millisecond})
			others := s.repeatBesideBystanders(t, tt.request)
			crashes := s.Crashes()
			t.Logf("%d servers crashed; of %d other requests %d were refused and %d failed", len(crashes), others.sent, others.refused, others.failed)
			is.True(len(crashes) > 0) // the request reached a server
			is.True(len(crashes) <= tt.crashLimit)
			if len(crashes) >= maxCrashes {
				is.True(s.countRunsAfter(tt.request, crashes[maxCrashes-1].At.Add(gossipTime)) <= maxLateSends)
			}
			is.Equal(others.refused, 0)
			// A booking that was running on a crashed server may have run.
			is.True(others.failed <= len(crashes)*2*bystanders)
			is.Equal(len(s.Violations()), 0)
		})
	}
}

// Guards against a request under which one server after the other stops responding, while
// its connections stay open.
func TestSilencedServers(t *testing.T) {
	is := is.New(t)
	s := newSiteWith(t, 3, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 8, WorkTime: 10 * time.Millisecond})
	repeated := request{method: "GET", path: imitator.StatusPath + imitator.SilenceTrigger, timeout: 600 * time.Millisecond}
	others := s.repeatBesideBystanders(t, repeated)
	crashes := s.Crashes()
	t.Logf("%d servers stopped responding; of %d other requests %d were refused and %d failed", len(crashes), others.sent, others.refused, others.failed)
	is.True(len(crashes) > 0) // the request reached a server
	if len(crashes) >= maxCrashes {
		is.True(s.countRunsAfter(repeated, crashes[maxCrashes-1].At.Add(gossipTime)) <= maxLateSends)
	}
}

// Guards against bookings that are sent to a hung server to find out whether it has recovered.
// It accepts connections and passes health checks, and each of these bookings is lost to its
// caller.
func TestBookingsBesideHungServer(t *testing.T) {
	// A server that hangs is known only by the bookings that it leaves unanswered, once on each
	// daemon.
	const (
		lostShare = 0.01
		daemons   = 3
		callers   = 24
		duration  = 6 * time.Second
	)
	tests := []struct {
		name  string
		kinds []string
	}{
		{"bookings alone", []string{"book"}},
		{"bookings and reads", []string{"book", "read"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSiteWith(t, daemons, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 4, WorkTime: 10 * time.Millisecond})
			stop := make(chan struct{})
			time.AfterFunc(duration, func() { close(stop) })
			time.AfterFunc(time.Second, func() { s.Servers()[0].Silent.Store(true) })
			booked := s.sendBystanders(stop, bystanderOptions{kinds: tt.kinds, callers: callers, timeout: callTimeout})["book"]
			t.Logf("of %d bookings %d were refused and %d failed", booked.sent, booked.refused, booked.failed)
			is.Equal(booked.refused, 0)
			is.True(float64(booked.failed) <= lostShare*float64(booked.sent))
		})
	}
}

// bystanderCount counts the requests of bystanders and their outcomes.
type bystanderCount struct {
	sent, refused, failed int
}

// repeatBesideBystanders sends a request through all daemons in turn, every repeatPause for
// three times gossipTime, while bystanders send theirs. It returns the bystanders' outcomes.
func (s *site) repeatBesideBystanders(t *testing.T, repeated request) bystanderCount {
	t.Helper()
	stop := make(chan struct{})
	var count bystanderCount
	var wg sync.WaitGroup
	wg.Go(func() {
		for _, c := range s.sendBystanders(stop, bystanderOptions{kinds: []string{"read", "book", "stream"}, callers: bystanders}) {
			count.merge(*c)
		}
	})
	var repeats sync.WaitGroup
	for n, end := 0, time.Now().Add(3*gossipTime); time.Now().Before(end); n++ {
		repeated.router, repeated.id, repeated.key = s.routers[n%len(s.routers)], fmt.Sprintf("again-%d", n), imitator.Key
		a := repeated
		repeats.Go(func() { a.do() })
		time.Sleep(repeatPause)
	}
	close(stop)
	wg.Wait()
	repeats.Wait()
	return count
}

// bystanderOptions says who sends requests beside a fault.
type bystanderOptions struct {
	kinds []string
	// callers is the number of callers of each kind.
	callers int
	// timeout is how long each caller waits; 0 means defaultTimeout.
	timeout time.Duration
}

// sendBystanders sends requests until stop is closed. It returns the outcomes by kind.
func (s *site) sendBystanders(stop <-chan struct{}, o bystanderOptions) map[string]*bystanderCount {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]*bystanderCount{}
	for _, kind := range o.kinds {
		counts[kind] = &bystanderCount{}
		for i := range o.callers {
			wg.Go(func() {
				for n := 0; !isClosed(stop); n++ {
					a := s.sendBystander(kind, fmt.Sprintf("%s-%d-%d", kind, i, n), n, o.timeout)
					mu.Lock()
					counts[kind].add(a)
					mu.Unlock()
					time.Sleep(bystanderPause)
				}
			})
		}
	}
	wg.Wait()
	return counts
}

// sendBystander sends one request of a bystander. A stream that is not complete gets status
// 502.
func (s *site) sendBystander(kind, id string, n int, timeout time.Duration) response {
	a := request{router: s.routers[n%len(s.routers)], id: id, method: "POST", path: imitator.BookPath, key: imitator.OtherKey, body: id, timeout: timeout}
	switch kind {
	case "read":
		a.method, a.path, a.body = "GET", imitator.StatusPath+id, ""
	case "stream":
		a.path, a.output = imitator.ModelPath, 10
	}
	got := a.do()
	if kind == "stream" && got.status == http.StatusOK && got.checkStream(id, a.output) != nil {
		got.status = http.StatusBadGateway
	}
	return got
}

func (c *bystanderCount) add(a response) {
	c.sent++
	switch {
	case isRefusal(a):
		c.refused++
	case a.err != nil || a.status != http.StatusOK:
		c.failed++
	}
}

func (c *bystanderCount) merge(o bystanderCount) {
	c.sent += o.sent
	c.refused += o.refused
	c.failed += o.failed
}

// countRunsAfter returns how often a request ran on a backend server after a time.
func (s *site) countRunsAfter(a request, at time.Time) int {
	n := 0
	for _, x := range s.Runs.All() {
		if x.At.After(at) && strings.HasPrefix(x.Target, a.path) && x.Body == a.body {
			n++
		}
	}
	return n
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
