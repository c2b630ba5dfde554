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
	// partCrashes is the number of engines that a poison part may crash. maxLateSends is how
	// often requests with it may be sent later than gossipTime after the last of these crashes.
	partCrashes = 5
	// soundShare is the least share of sound requests that are answered at once while
	// requests with a poison part come, relative to the time before. It applies from
	// 2 * gossipTime after the last of the crashes.
	soundShare = 0.5
	// calmTime is how long only sound requests come; poisonTime is how long requests with the
	// poison part come beside them.
	calmTime   = 2 * time.Second
	poisonTime = 12 * time.Second
	poisonPart = "bad0bad0"
	// poisonKind is in the ids of requests with the poison part.
	poisonKind = "poison"
)

// promptLoad sends streams whose prompts consist of parts.
type promptLoad struct {
	*site
	wg   sync.WaitGroup
	stop chan struct{}
	mu   sync.Mutex
	next int
	// sent holds the sound requests in order of their ends.
	sent []soundRequest
}

// soundRequest is the outcome of a request without the poison part.
type soundRequest struct {
	at time.Time
	// atOnce is set if it was answered whole.
	atOnce bool
}

// prompt returns the parts of a prompt with a part of its own at the end.
func (l *promptLoad) prompt(shared ...string) (id, parts string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprint(l.next), strings.Join(append(shared, fmt.Sprintf("%x:250", 0x1000000+l.next)), ",")
}

// send sends one stream through a daemon.
func (l *promptLoad) send(router int, kind string, shared ...string) {
	n, parts := l.prompt(shared...)
	a := request{body: n, parts: parts, output: 4}.stream(l.routers[router], fmt.Sprintf("%d-%s-%s", router, kind, n))
	at := time.Now()
	ok := a.do().checkStream(a.id, a.output) == nil
	if kind == poisonKind {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, soundRequest{at, ok})
}

// repeat sends streams of a kind through all daemons in turn, one every pause, until the load is
// finished.
func (l *promptLoad) repeat(kind string, pause time.Duration, shared func(n int) []string) {
	l.wg.Go(func() {
		for n := 0; !isClosed(l.stop); n++ {
			l.wg.Go(func() { l.send(n%len(l.routers), kind, shared(n)...) })
			time.Sleep(pause)
		}
	})
}

// share returns the share of the sound requests sent within a time that were answered at once.
func (l *promptLoad) share(from, to time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	all, ok := 0, 0
	for _, x := range l.sent {
		if x.at.Before(from) || x.at.After(to) {
			continue
		}
		all++
		if x.atOnce {
			ok++
		}
	}
	return float64(ok) / float64(max(1, all))
}

// arrivalsAfter returns how many requests of a kind reached engines after a time through daemons
// that had not been disrupted within gossipTime before.
func (s *site) arrivalsAfter(kind string, at time.Time, e disruptions) int {
	n := 0
	for _, a := range s.Runs.Arrivals() {
		if a.At.After(at) && strings.Contains(a.Attempt, "-"+kind+"-") && !e.hasBetween(routerOf(a.Attempt), a.At.Add(-gossipTime), a.At) {
			n++
		}
	}
	return n
}

// Guards against requests that are all different and crash one engine after the other, because
// their prompts have one part in common.
func TestPoisonPart(t *testing.T) {
	// first returns one of some parts that begin many prompts.
	first := func(n int) string { return fmt.Sprintf("a%d:40", n%5) }
	poison := poisonPart + ":120"
	tests := []struct {
		name string
		part imitator.PoisonPart
		// prompt returns the shared parts of a poison request, sound those of a sound one.
		prompt, sound func(n int) []string
		// during is called after the last of the partCrashes crashes.
		during func(*site, disruptions)
	}{
		{
			"part at the beginning",
			imitator.PoisonPart{ID: poisonPart, AfterHead: true},
			func(n int) []string { return []string{poison, first(n)} }, func(n int) []string { return []string{first(n)} }, nil,
		},
		{
			"part behind one that all prompts share, engines crash before they answer",
			imitator.PoisonPart{ID: poisonPart},
			func(n int) []string { return []string{"a11:40", first(n), poison, fmt.Sprintf("c%d:9", n)} },
			func(n int) []string { return []string{"a11:40", first(n)} }, nil,
		},
		{
			"daemon restarts",
			imitator.PoisonPart{ID: poisonPart, AfterHead: true},
			func(n int) []string { return []string{first(n), poison} }, func(n int) []string { return []string{first(n)} },
			func(s *site, e disruptions) { s.killAndRestart(1, e) },
		},
		{
			"store is unavailable",
			imitator.PoisonPart{ID: poisonPart, AfterHead: true},
			func(n int) []string { return []string{first(n), poison} }, func(n int) []string { return []string{first(n)} },
			func(s *site, _ disruptions) {
				for _, endpoint := range s.endpoints {
					endpoint.Inject(imitator.Faults{Unavailable: true})
				}
				time.Sleep(gossipTime)
				for _, endpoint := range s.endpoints {
					endpoint.Inject(imitator.Faults{})
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSiteWith(t, 3, imitator.Options{DataCentres: append([]string{"v"}, copyDataCentres...), Engines: 3, Servers: 1})
			s.SetPoisonPart(&tt.part)
			l := &promptLoad{site: s, stop: make(chan struct{})}
			began := time.Now()
			l.repeat("sound", 40*time.Millisecond, tt.sound)
			time.Sleep(calmTime)
			poisonFrom := time.Now()
			l.repeat(poisonKind, repeatPause, tt.prompt)
			e := disruptions{}
			if tt.during != nil {
				s.waitFor("engines to crash", func() bool { return len(s.Crashes()) >= partCrashes || time.Since(poisonFrom) > gossipTime })
				tt.during(s, e)
			}
			time.Sleep(time.Until(poisonFrom.Add(poisonTime)))
			end := time.Now()
			close(l.stop)
			l.wg.Wait()

			crashes := s.Crashes()
			is.True(len(crashes) > 0) // the part crashes engines
			lastOfFive := crashes[min(partCrashes, len(crashes))-1].At
			late := s.arrivalsAfter(poisonKind, lastOfFive.Add(gossipTime), e)
			before, after := l.share(began, poisonFrom), l.share(lastOfFive.Add(2*gossipTime), end)
			t.Logf("%d engines crashed, %d requests with the part were sent late; sound requests answered: %.2f before, %.2f after", len(crashes), late, before, after)
			is.True(late <= maxLateSends)
			is.True(after >= soundShare*before)
			is.Equal(len(s.Violations()), 0)
		})
	}
}

// killAndRestart kills a daemon and starts it again.
func (s *site) killAndRestart(i int, e disruptions) {
	number := fmt.Sprint(i)
	e[number] = append(e[number], time.Now())
	s.routers[i].Kill()
	if err := s.routers[i].Restart(); err != nil {
		s.t.Fatal(err)
	}
	e[number] = append(e[number], time.Now())
	s.waitReady(s.routers[i])
}
