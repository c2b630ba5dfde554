package edge

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
	"oleandercove.example/prover/launcher"
)

const (
	// busyFleet is the number of daemons, of which two have most of the streams.
	busyFleet = 30
	// busyStreams is the number of streams that run on the two at any time.
	busyStreams, lessBusyStreams = 72, 24
	// eventPause is the time between two events of a stream of streamEvents.
	eventPause, streamEvents = 50 * time.Millisecond, 80
	// settleTime is how long the streams run before engines are lost; watchTime is how long
	// they run afterwards.
	settleTime, watchTime = 5 * time.Second, 7 * time.Second
	// configurationPause is the time between two changes of the configuration.
	configurationPause = 400 * time.Millisecond
	// retryWindow, retryShare and retryReserve define the retry budget of the fleet.
	retryWindow              = 10 * time.Second
	retryShare, retryReserve = 0.2, 100
)

// Guards against a busy daemon that ends the streams of lost engines for want of retries,
// while other engines have room and the retry budget of the fleet is mostly unused.
func TestEnginesLostOnBusyDaemon(t *testing.T) {
	tests := []struct {
		name string
		lose func(*imitator.Engine)
		// restarted is the number of daemons with few streams that are restarted meanwhile.
		restarted int
	}{
		{"engines fall silent", silenced, 0},
		{"engines crash", (*imitator.Engine).Crash, 0},
		{"engines fall silent while daemons restart", silenced, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSiteWith(t, busyFleet, imitator.Options{DataCentres: copyDataCentres, Engines: 4, Servers: 1, EventTime: eventPause})
			load := s.startUnevenLoad()
			stopChanges := s.changeConfiguration()
			time.Sleep(settleTime)
			lost := 0
			for _, e := range s.busiestEngines() {
				lost += e.Running()
				tt.lose(e)
			}
			for i := range tt.restarted {
				s.restartGracefully(s.routers[busyFleet-1-i])
			}
			time.Sleep(watchTime)
			o := load.finish()
			stopChanges()
			use, requests := s.retryUse()
			t.Logf("%d streams lost their first engine; %+v of %d; at most %.2f of the retry budget used; streams that daemons ended early: %v", lost, o, requests, use, s.earlyEnds())
			is.True(lost > 0)
			is.Equal(o.cut, 0)
			is.Equal(s.sentOnce(o.waiting), 0) // streams that were not resumed
			is.True(use <= 1)
			is.Equal(len(s.Violations()), 0)
		})
	}
}

// streamLoad sends streams until finish is called.
type streamLoad struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	outcomes
}

// startUnevenLoad starts callers of streams, nearly all of them at the first two daemons.
func (s *site) startUnevenLoad() *streamLoad {
	l := &streamLoad{stop: make(chan struct{})}
	for i := range busyStreams {
		l.startCaller(s.routers[0], fmt.Sprintf("0-%d", i))
	}
	for i := range lessBusyStreams {
		l.startCaller(s.routers[1], fmt.Sprintf("1-%d", i))
	}
	for i, r := range s.routers[2 : busyFleet/2] {
		l.startCaller(r, fmt.Sprintf("%d-0", i+2))
	}
	return l
}

// startCaller sends streams through a daemon, one after the other.
func (l *streamLoad) startCaller(r *launcher.Router, id string) {
	l.wg.Go(func() {
		time.Sleep(time.Duration(rand.Int64N(int64(streamEvents * eventPause))))
		for n := 0; !isClosed(l.stop); n++ {
			a := request{output: streamEvents, patience: callerPatience}.stream(r, fmt.Sprintf("%s-%d", id, n))
			got := a.do()
			l.mu.Lock()
			l.add(a, got)
			l.mu.Unlock()
		}
	})
}

func (l *streamLoad) finish() outcomes {
	close(l.stop)
	l.wg.Wait()
	return l.outcomes
}

// changeConfiguration writes versions of the configuration until the returned function is
// called.
func (s *site) changeConfiguration() (stop func()) {
	done := make(chan struct{})
	go func() {
		for n := 0; !isClosed(done); n++ {
			s.Configure([]string{imitator.Key, imitator.OtherKey}[:1+n%2]...)
			time.Sleep(configurationPause)
		}
	}()
	return func() { close(done) }
}

// busiestEngines returns the engines at which a third of the running streams, or more, begin.
func (s *site) busiestEngines() []*imitator.Engine {
	engines := s.Engines()
	slices.SortFunc(engines, func(a, b *imitator.Engine) int { return cmp.Compare(b.Running(), a.Running()) })
	all := 0
	for _, e := range engines {
		all += e.Running()
	}
	n := 0
	for i, e := range engines {
		if n += e.Running(); 3*n >= all {
			return engines[:i+1]
		}
	}
	return engines
}

// restartGracefully sends SIGTERM to a daemon and starts it again once it has exited.
func (s *site) restartGracefully(r *launcher.Router) {
	if err := r.Terminate(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		_, err := r.WaitExit(waitLimit)
		if err == nil {
			err = r.Restart()
		}
		if err != nil {
			s.ReportViolation("restart: %v", err)
		}
	}()
}

// retryUse returns the largest share of the retry budget that was used in a retryWindow, and
// the number of requests.
func (s *site) retryUse() (share float64, requests int) {
	arrivals := s.Runs.Arrivals()
	arrivals = slices.DeleteFunc(arrivals, func(a imitator.Arrival) bool { return strings.HasPrefix(a.Attempt, "warm-") })
	var firsts, retries []time.Time
	known := map[string]bool{}
	for _, a := range arrivals {
		if known[a.Attempt] {
			retries = append(retries, a.At)
			continue
		}
		known[a.Attempt] = true
		firsts = append(firsts, a.At)
	}
	for _, end := range retries {
		budget := retryReserve + retryShare*float64(countWithin(firsts, end))
		share = max(share, float64(countWithin(retries, end))/budget)
	}
	return share, len(firsts)
}

// countWithin returns how many times lie in the retryWindow up to end.
func countWithin(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-retryWindow)) {
			n++
		}
	}
	return n
}
