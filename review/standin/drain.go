package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// drainTime, contactTime and freezeTime are drain_ms, contact_ms and the longest
	// freeze of the site.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	freezeTime  = 5150 * time.Millisecond
	// servedOn is how long a worker serves at least after its entry has gone. It ends while it
	// runs the next request, and after servedAtMost in any case.
	servedOn     = 4 * time.Second
	servedAtMost = 9 * time.Second
	// quietTime is the time from the end of a freeze to the next requests of callers.
	quietTime    = 800 * time.Millisecond
	drainRounds  = 9
	drainDaemons = 9
	drainService = "wuno96b"
)

// drainPlay is the state of the case drain.
type drainPlay struct {
	*stage

	// loading is set while callers send requests. They use connections that they keep, so that
	// none of them are at frozen, the daemon that froze in this round: its callers have moved.
	loading atomic.Bool
	frozen  atomic.Pointer[string]

	mu      sync.Mutex
	workers int
	// removed is when the store acknowledged that a worker is gone, woken when a daemon last
	// woke.
	removed, woken map[string]time.Time
	late           map[string]time.Duration
}

// drainCase: one machine that watches the store freezes; meanwhile a worker leaves that never
// reports it. No daemon in touch may send it a request later than drainTime after the store has
// removed its entry.
func drainCase(st *stage) (bool, error) {
	p := &drainPlay{stage: st, removed: map[string]time.Time{}, woken: map[string]time.Time{}, late: map[string]time.Duration{}}
	p.frozen.Store(new(string))
	st.configure(
		service{name: drainService, prefix: "/cufi504/", kind: "safe", timeout: 600 * time.Millisecond, aim: 100 * time.Millisecond, maxConnections: 110},
		service{name: drainService, prefix: "/puxa403/", kind: "unsafe", timeout: 600 * time.Millisecond, aim: 100 * time.Millisecond, maxConnections: 110},
	)
	var workers []*worker
	for range 4 {
		w, err := p.newWorker()
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := st.startDaemons(drainDaemons, 0); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	for _, d := range st.daemons {
		go p.load(d, stop)
	}
	time.Sleep(13 * time.Second)
	for round := range drainRounds {
		if err := p.round(round, workers[0]); err != nil {
			return false, err
		}
		w, err := p.newWorker()
		if err != nil {
			return false, err
		}
		workers = append(workers[1:], w)
		time.Sleep(1900 * time.Millisecond)
	}
	close(stop)
	p.mu.Lock()
	defer p.mu.Unlock()
	st.note("requests that daemons in touch sent to a worker later than %s after its removal: %d", drainTime, len(p.late))
	return len(p.late) > 0, nil
}

// newWorker starts a worker with about 15 ms of work for each request.
func (p *drainPlay) newWorker() (*worker, error) {
	p.mu.Lock()
	p.workers++
	n := p.workers
	p.mu.Unlock()
	w, err := newWorker(fmt.Sprintf("i-%08x", n*7919), drainService, fmt.Sprintf("127.4.0.%d", n), 6, 24)
	if err != nil {
		return nil, err
	}
	w.onArrival = func(a arrival) { p.arrived(w, a) }
	w.work = func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Duration(8+rand.IntN(15)) * time.Millisecond)
		writeBody(rw, 800)
	}
	p.store.put("servers", w.id, w.entry())
	return w, nil
}

// arrived checks a request that reaches a worker.
func (p *drainPlay) arrived(w *worker, a arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.removed[w.id]
	since := a.at.Sub(at)
	if !ok || since <= drainTime {
		return
	}
	daemon, _, _ := strings.Cut(a.id, "/")
	inTouch := a.at.Sub(p.woken[daemon]) > contactTime
	p.note("worker %s runs %s, %.3f s after its removal; daemon in touch: %v", w.id, a.id, since.Seconds(), inTouch)
	if !inTouch {
		return
	}
	p.late[a.id] = since
	if since > servedOn {
		go func() {
			time.Sleep(5 * time.Millisecond)
			w.stop()
			p.note("worker %s exits", w.id)
		}()
	}
}

// load sends requests through a daemon while loading is set, until stop is closed.
func (p *drainPlay) load(d *daemon, stop <-chan struct{}) {
	var k *kept
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(60+rand.IntN(80)) * time.Millisecond):
		}
		if !p.loading.Load() || *p.frozen.Load() == d.name {
			if k != nil {
				_ = k.conn.Close()
				k = nil
			}
			continue
		}
		if k == nil {
			var err error
			if k, err = dial(d.callers()); err != nil {
				p.note("no connection to %s: %v", d.name, err)
				continue
			}
		}
		c := call{id: fmt.Sprintf("%s/%d", d.name, i), method: http.MethodGet, path: "/cufi504/x", key: key, deadline: 600 * time.Millisecond}
		if i%3 > 0 {
			c.method, c.path, c.body = http.MethodPost, "/puxa403/x", []byte("net 4")
		}
		a := k.do(c)
		if a.closed || a.err != nil {
			_ = k.conn.Close()
			k = nil
		}
		p.mu.Lock()
		_, late := p.late[c.id]
		p.mu.Unlock()
		p.note("%s %s sent at %.3f: status %d, %d bytes, late %v, %v", c.method, c.id, a.started.Sub(p.began).Seconds(), a.status, a.body, late, a.err)
	}
}

// round freezes one of the daemons that watch the store, and lets a worker leave meanwhile.
func (p *drainPlay) round(round int, w *worker) error {
	watching := p.store.watching(700 * time.Millisecond)
	if len(watching) == 0 {
		return errors.New("no daemon watches the store")
	}
	followers := map[string]int{}
	for _, d := range p.daemons {
		followers[d.followed()]++
	}
	frozen := slices.MaxFunc(watching, func(a, b string) int { return cmp.Compare(followers[a], followers[b]) })
	if p.trouble {
		p.frozen.Store(&frozen)
	}
	p.note("round %d: the daemons %v watch the store; %d others follow %s", round, watching, followers[frozen], frozen)
	for _, d := range p.daemons {
		if d.name == frozen && p.trouble {
			d.signal(syscall.SIGSTOP)
			p.note("%s freezes", d.name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	p.mu.Lock()
	w.leaving.Store(true)
	at := p.store.remove("servers", w.id)
	p.removed[w.id] = at
	p.mu.Unlock()
	p.note("the store has removed the entry of worker %s, which serves on", w.id)
	time.Sleep(freezeTime - 100*time.Millisecond)
	for _, d := range p.daemons {
		if d.name == frozen && p.trouble {
			p.mu.Lock()
			p.woken[d.name] = time.Now()
			p.mu.Unlock()
			d.signal(syscall.SIGCONT)
			p.note("%s wakes", d.name)
		}
	}
	time.Sleep(quietTime)
	p.loading.Store(true)
	time.Sleep(servedAtMost - freezeTime - quietTime)
	p.loading.Store(false)
	w.stop()
	return nil
}
