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
	silentStreams = 24
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
	// complete is set if all streams must be complete. Otherwise a stream may wait until its
	// deadline if it was resumed on an engine that is silent, too.
	complete bool
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
		{"first engines are paused", []string{"x"}, ofFirst(freeze), forEngines("", unfreeze), 0, time.Minute, true},
		{"all engines are paused", []string{"x"}, forEngines("", freeze), forEngines("", unfreeze), 0, time.Minute, true},
		{"all engines restart and their connections stay open", []string{"x"}, forEngines("", silenced), forEngines("", (*imitator.Engine).RestartSilently), 0, 0, true},
		{"engines of one copy answer again, the other copy is lost", []string{"x", "y"}, forEngines("", freeze), forEngines("y", unfreeze), 0, time.Minute, true},
		{"the layers of lost engines are loaded by others", []string{"x"}, ofFirst(silenced), nothing, 0, silenceTime, true},
		{"callers disconnect first", []string{"x"}, forEngines("", silenced), nothing, callerPatience, time.Minute, false},
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
				is.Equal(s.sentOnce(o.waiting), 0) // streams that were not resumed
			}
			if tt.complete {
				is.Equal(o.complete, silentStreams)
			}
			is.Equal(len(s.Violations()), 0)
		})
	}
}

// Guards against a daemon that ends a stream because the engine on which it was resumed is
// silent too, and its route allows no third engine.
func TestSecondEnginesSilent(t *testing.T) {
	// resumeTime is how long the engines of the second data centre answer after those of the
	// first one have fallen silent.
	const resumeTime = 1100 * time.Millisecond
	tests := []struct {
		name        string
		dataCentres []string
		end         func(*site)
		// complete is set if all streams must be complete.
		complete bool
	}{
		{"second engines are paused", []string{"x", "y"}, forEngines("y", unfreeze), true},
		{"second engines are lost and a third copy has room", []string{"x", "y", "z"}, nothing, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSiteWith(t, 2, imitator.Options{DataCentres: tt.dataCentres, Engines: 4, Servers: 1, EventTime: 30 * time.Millisecond})
			s.SetLoadTime(time.Minute)
			time.AfterFunc(beforeSilence, func() { forEngines("x", freeze)(s) })
			time.AfterFunc(beforeSilence+resumeTime, func() { forEngines("y", freeze)(s) })
			time.AfterFunc(beforeSilence+resumeTime+silenceTime, func() { tt.end(s) })
			o := s.countStreams(silentStreams, request{output: 60})
			is.True(s.sentOnce(streamIDs(silentStreams)) < silentStreams) // streams were resumed
			t.Logf("%+v; streams that daemons ended early: %v", o, s.earlyEnds())
			is.Equal(o.cut, 0)
			if tt.complete {
				is.Equal(o.complete, silentStreams)
			}
			is.Equal(len(s.Violations()), 0)
		})
	}
}

// streamIDs returns the ids of the streams that countStreams runs.
func streamIDs(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("s%d", i))
	}
	return out
}

// countStreams runs n streams concurrently through all daemons.
func (s *site) countStreams(n int, a request) outcomes {
	var o outcomes
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, id := range streamIDs(n) {
		wg.Go(func() {
			a := a.stream(s.routers[i%len(s.routers)], id)
			got := a.do()
			mu.Lock()
			defer mu.Unlock()
			o.add(a, got)
		})
	}
	wg.Wait()
	return o
}
