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
func crashDelay(fallback time.Duration) time.Duration {
	if d, err := time.ParseDuration(os.Getenv("CRASH_DELAY")); err == nil {
		return d
	}
	return fallback
}

// crashes are the times of the crashes under the poison request.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) all() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.at...)
}

// crashUnderPoison makes each worker crash a while after the first token of the poison request.
func (t *site) crashUnderPoison(delay time.Duration) *crashes {
	c := &crashes{}
	t.onRun = func(s *server, x arrival) bool {
		if x.body != poisonBody {
			return false
		}
		crash := func() {
			if !s.crash() {
				return
			}
			c.mu.Lock()
			c.at = append(c.at, time.Now())
			n := len(c.at)
			c.mu.Unlock()
			t.record.printf("crash    %d of %s under %s", n, x.server, x.attempt)
		}
		if delay > 0 {
			time.AfterFunc(delay, crash)
			return false
		}
		crash()
		return true
	}
	return c
}

// sendPoison sends the poison request to the daemons in turn, with a pause after each, for some
// time. It returns at once; the clients have ended when wg is done.
func (t *site) sendPoison(name string, pause, length time.Duration, wg *sync.WaitGroup) {
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		c := call{
			daemon: t.daemons[n%len(t.daemons)], id: fmt.Sprintf("%s-%d", name, n), path: streamPath + "2f", body: poisonBody,
			parts: "5c1e07a2:40,91bd3f06:760", tokens: poisonTokens, wait: 20 * time.Second,
		}
		t.record.printf("sent     %s to %s", c.id, c.daemon.name)
		wg.Go(func() {
			a := c.do()
			t.record.printf("answer   %s: %d, %d events, %v %s", c.id, a.status, a.events, a.err, strings.TrimSpace(a.body))
		})
		time.Sleep(pause)
	}
}

// poisonAfterKill sends a prompt that crashes each worker until it is refused, kills all daemons at
// once, starts them again, and sends it once more when they have been up for longer than contact.
func poisonAfterKill(root, dir string, r *record, trouble bool) (bool, error) {
	t, err := startSite(root, dir, r, options{daemons: 3, workers: 3, zones: []string{"a", "b", "c"}, engines: 6})
	defer t.stop()
	if err != nil {
		return false, err
	}
	c := t.crashUnderPoison(crashDelay(30 * time.Millisecond))
	stop := make(chan struct{})
	go t.background(stop, 100*time.Millisecond)
	time.Sleep(contact + time.Second)
	var wg sync.WaitGroup
	t.sendPoison("before", time.Second, 9*time.Second, &wg)
	wg.Wait()
	if n := len(c.all()); n < maxCrashes {
		return false, fmt.Errorf("only %d crashes before the kill", n)
	}
	if trouble {
		if err := t.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	t.sendPoison("after", time.Second, 12*time.Second, &wg)
	close(stop)
	wg.Wait()
	t.stop()
	return tooManyRetries(r, c.all()), nil
}

// killAll kills all daemons at once and starts them again. It blocks until they serve.
func (t *site) killAll() error {
	for _, d := range t.daemons {
		t.record.printf("SIGKILL  %s", d.name)
		_ = d.command.Process.Kill()
	}
	for _, d := range t.daemons {
		<-d.exited
	}
	time.Sleep(time.Second)
	for _, d := range t.daemons {
		if err := d.start(); err != nil {
			return err
		}
		t.record.printf("started  %s", d.name)
	}
	return t.waitServing(20 * time.Second)
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
