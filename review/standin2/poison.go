package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// contact is contact_ms of the small site.
	contact = 3 * time.Second
	// maxCrashes is the number of crashes after which the bound on retries begins, and maxRetries
	// that bound.
	maxCrashes, maxRetries = 3, 3
	poisonBody             = "the prompt that ends its worker"
	poisonTokens           = 60
)

// crashDelay is the time from the first token of the request to the crash.
func crashDelay() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("CRASH_DELAY")); err == nil {
		return d
	}
	return 300 * time.Millisecond
}

// poisonStream sends one prompt again and again that crashes each worker that begins to run it.
func poisonStream(root, dir string, r *record, trouble bool) (bool, error) {
	t, err := startSite(root, dir, r, options{daemons: 3, workers: 3, zones: []string{"a", "b", "c"}, engines: 6})
	defer t.stop()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	t.onRun = func(s *server, x arrival) bool {
		if x.body != poisonBody || !trouble {
			return false
		}
		crash := func() {
			if s.crash() {
				mu.Lock()
				crashes = append(crashes, time.Now())
				n := len(crashes)
				mu.Unlock()
				r.printf("crash    %d of %s under %s", n, x.server, x.attempt)
			}
		}
		if d := crashDelay(); d > 0 {
			time.AfterFunc(d, crash)
			return false
		}
		crash()
		return true
	}
	stop := make(chan struct{})
	go t.background(stop, 100*time.Millisecond)
	time.Sleep(contact + time.Second)
	var wg sync.WaitGroup
	for n, end := 0, time.Now().Add(25*time.Second); time.Now().Before(end); n++ {
		c := call{
			daemon: t.daemons[n%len(t.daemons)], id: fmt.Sprintf("poison-%d", n), path: streamPath + "2f", body: poisonBody,
			parts: "5c1e07a2:40,91bd3f06:760", tokens: poisonTokens, wait: 20 * time.Second,
		}
		r.printf("sent     %s to %s", c.id, c.daemon.name)
		wg.Go(func() {
			a := c.do()
			r.printf("answer   %s: %d, %d events, %v %s", c.id, a.status, a.events, a.err, strings.TrimSpace(a.body))
		})
		time.Sleep(2 * time.Second)
	}
	close(stop)
	t.stop()
	wg.Wait()
	return tooManyRetries(r, crashes), nil
}

// tooManyRetries reports whether the poison request reached workers more often than the rule
// allows.
func tooManyRetries(r *record, crashes []time.Time) bool {
	if len(crashes) < maxCrashes {
		r.printf("verdict  %d crashes", len(crashes))
		return false
	}
	late, from := 0, crashes[maxCrashes-1].Add(contact)
	for _, x := range r.arrivals {
		if x.body == poisonBody && x.at.After(from) {
			late++
		}
	}
	r.printf("verdict  %d crashes, %d runs later than %s after the third; the rule allows %d", len(crashes), late, contact, maxRetries)
	return late > maxRetries
}
