package edge

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

const (
	// silenceTime is how long engines don't answer. It is below the time after which the
	// platform's engines end the requests that depend on such an engine.
	silenceTime = 2200 * time.Millisecond
	// beforeSilence is how long the streams run before.
	beforeSilence = 400 * time.Millisecond
	// silentStreams is the number of streams on a site that falls silent.
	silentStreams = 12
	// callerPatience is the pause after which callers on the platform disconnect.
	callerPatience = 2400 * time.Millisecond
)

// silence is what happens to the engines of a site.
type silence struct {
	name        string
	dataCentres []string
	begin, end  func(*site)
	// patience is the pause after which callers disconnect; 0 means that they wait until
	// their deadlines.
	patience time.Duration
	// loadTime is how long other engines take to load the layers of the silent ones.
	loadTime time.Duration
}

// forEngines returns a function that calls fn with the engines of a data centre.
func forEngines(dataCentre string, fn func(*imitator.Engine)) func(*site) {
	return func(s *site) {
		for _, e := range s.Engines() {
			if strings.HasPrefix(e.ID, "engine-"+dataCentre) {
				fn(e)
			}
		}
	}
}

func freeze(e *imitator.Engine)   { e.SetFrozen(true) }
func unfreeze(e *imitator.Engine) { e.SetFrozen(false) }
func silenced(e *imitator.Engine) { e.SetDead(true) }

// ofFirst returns a function that calls fn with the engines that hold the first layer.
func ofFirst(fn func(*imitator.Engine)) func(*site) {
	return func(s *site) {
		for _, e := range s.Engines() {
			if e.Holds(0, 1) {
				fn(e)
			}
		}
	}
}

func nothing(*site) {}

// Guards against a daemon that ends a stream that has begun, because its engines are silent,
// while the caller waits: engines may answer again, or others take their place.
func TestSilentEngines(t *testing.T) {
	tests := []silence{
		{"first engines are paused", []string{"x"}, ofFirst(freeze), forEngines("", unfreeze), 0, time.Minute},
		{"all engines are paused", []string{"x"}, forEngines("", freeze), forEngines("", unfreeze), 0, time.Minute},
		{"all engines restart and their connections stay open", []string{"x"}, forEngines("", silenced), forEngines("", (*imitator.Engine).RestartSilently), 0, 0},
		{"engines of one copy answer again, the other copy is lost", []string{"x", "y"}, forEngines("", freeze), forEngines("y", unfreeze), 0, time.Minute},
		{"the layers of lost engines are loaded by others", []string{"x"}, ofFirst(silenced), nothing, 0, silenceTime},
		{"callers disconnect first", []string{"x"}, forEngines("", silenced), nothing, callerPatience, time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSiteWith(t, 2, imitator.Options{DataCentres: tt.dataCentres, Engines: 4, Servers: 1, EventTime: 30 * time.Millisecond})
			s.SetLoadTime(tt.loadTime)
			time.AfterFunc(beforeSilence, func() { tt.begin(s) })
			time.AfterFunc(beforeSilence+silenceTime, func() { tt.end(s) })
			o := s.countStreams(silentStreams, request{output: 30, patience: tt.patience})
			t.Logf("%+v; streams that daemons ended early: %v", o, s.earlyEnds())
			is.Equal(o.cut, 0)
			if tt.patience == 0 {
				is.Equal(o.complete, silentStreams)
			}
			is.Equal(len(s.Violations()), 0)
		})
	}
}

// countStreams runs n streams concurrently through all daemons.
func (s *site) countStreams(n int, a request) outcomes {
	var o outcomes
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			a := a.stream(s.routers[i%len(s.routers)], fmt.Sprintf("s%d", i))
			got := a.do()
			mu.Lock()
			defer mu.Unlock()
			o.add(a, got)
		})
	}
	wg.Wait()
	return o
}
