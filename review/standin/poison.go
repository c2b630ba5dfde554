package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	poisonDaemons = 3
	poisonService = "huvo11a"
	poisonModel   = "daka510000"
	streamEvents  = 57
	eventPause    = 150 * time.Millisecond
	// poisonEvents is the number of events that an engine sends before the request crashes it.
	poisonEvents = 5
	// backAfter is when a crashed engine is back.
	backAfter = 4 * time.Second
	// maxRetries is how many retries the rule allows.
	maxRetries = 3
	poisonBody = "a prompt that crashes engines"
)

// poisonPlay is the state of the case poison.
type poisonPlay struct {
	*stage

	mu sync.Mutex
	// crashes and arrivals are the times at which the request crashed an engine and reached one.
	crashes, arrivals []time.Time
}

// poisonCase: one request crashes each engine that runs it, some events after its start. Later
// than contactTime after the third crash it may reach engines in no more than maxRetries retries.
func poisonCase(st *stage) (bool, error) {
	p := &poisonPlay{stage: st}
	st.configure(service{
		name: poisonService, prefix: "/lohu930/", kind: "streaming", timeout: 20 * time.Second, aim: 500 * time.Millisecond, maxConnections: 978,
		engine: map[string]any{
			"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 918000, "link_mbps": 400000.0, "stride": 3,
			"models":  []any{map[string]any{"name": poisonModel, "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}},
			"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
			"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 5, "delays": []any{},
			"usual":  map[string]any{"prompt": 774, "answer": 200},
			"layers": 80, "layer_mb": 1750.0, "activation_bytes": 45900, "pipe_mbps": 26000.0,
			"kinds": []any{
				map[string]any{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_factor": 3.2},
				map[string]any{"name": "l40s", "mb": 43200.0, "pace": 5.6, "read_factor": 2.7},
				map[string]any{"name": "l4", "mb": 21600.0, "pace": 16.0, "read_factor": 8.2},
			},
		},
	})
	if err := p.startEngines(); err != nil {
		return false, err
	}
	if err := st.startDaemons(poisonDaemons, 0); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	stop := make(chan struct{})
	var whole, broken atomic.Int64
	for i := range 8 {
		go p.otherCaller(i, stop, &whole, &broken)
	}
	time.Sleep(10 * time.Second)
	w, b := whole.Load(), broken.Load()
	st.note("before: %d whole and %d other answers of other callers", w, b)
	body := "a prompt"
	if st.trouble {
		body = poisonBody
	}
	for i := range 3 {
		d := st.daemons[i%len(st.daemons)]
		a := once(d.callers(), p.call(fmt.Sprintf("poison-%d", i), body))
		st.note("the caller of poison-%d got status %d, %d bytes after %.3f s: %v", i, a.status, a.body, a.took.Seconds(), a.err)
		time.Sleep(time.Second)
	}
	close(stop)
	st.note("meanwhile: %d whole and %d other answers of other callers", whole.Load()-w, broken.Load()-b)
	return lateRetries(st, p.crashes, p.arrivals, &p.mu), nil
}

// cards are the engines of the site, by zone.
var cards = []struct {
	zone, kind string
	count      int
}{
	{"z-a", "a100", 1},
	{"z-b", "a100", 1},
	{"z-c", "a100", 2},
	{"z-a", "l40s", 3},
	{"z-b", "l40s", 6},
	{"z-c", "l40s", 2},
	{"z-a", "l4", 8},
	{"z-b", "l4", 5},
	{"z-c", "l4", 5},
}

func (p *poisonPlay) startEngines() error {
	f := &fleet{model: model{name: poisonModel, layers: 80, load: 14 * time.Second}, store: p.store, byAddress: map[string]*engine{}}
	n := 0
	for _, c := range cards {
		for range c.count {
			n++
			e := &engine{fleet: f, service: poisonService, address: fmt.Sprintf("127.5.0.%d:0", n), zone: c.zone, kind: c.kind, number: n, stream: p.stream}
			if err := e.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// call returns a request for a stream.
func (p *poisonPlay) call(id, body string) call {
	return call{
		id: id, method: http.MethodPost, path: "/lohu930/2f", key: key, deadline: 20 * time.Second, body: []byte(body),
		header: fmt.Sprintf("X-Oleandercove-Model: %s\r\nX-Oleandercove-Token-Count: 800,171\r\nX-Oleandercove-Prefix-Hash: 5c1e07a2:40,%08x:760\r\n", poisonModel, len(body)*7919+len(id)),
	}
}

// otherCaller sends one stream after the other until stop is closed.
func (p *poisonPlay) otherCaller(i int, stop <-chan struct{}, whole, broken *atomic.Int64) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
		}
		c := p.call(fmt.Sprintf("other-%d-%d", i, n), fmt.Sprintf("prompt %d of caller %d", n, i))
		a := once(p.daemons[(i+n)%len(p.daemons)].callers(), c)
		p.note("%s got status %d, %d bytes after %.3f s: %v", c.id, a.status, a.body, a.took.Seconds(), a.err)
		if a.status == http.StatusOK && a.err == nil {
			whole.Add(1)
		} else {
			broken.Add(1)
		}
	}
}

// stream answers a stream. The poison request crashes each engine that runs it: after some events,
// or before the last one.
func (p *poisonPlay) stream(e *engine, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) != poisonBody {
		sendEvents(w, r, streamEvents, streamEvents, eventPause)
		return
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	p.note("%s reaches engine %s, after event %q", r.Header.Get(headerID), e.id, r.Header.Get("Last-Event-Id"))
	sendEvents(w, r, streamEvents-1, poisonEvents, eventPause)
	if r.Context().Err() != nil {
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.note("engine %s crashes", e.id)
	e.crash(backAfter)
}
