package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxFiles is max_fds of a machine less the descriptors that are reserved for files.
	maxFiles = 3900
	// releaseGap is the pause between two workers of a release.
	releaseGap = 720 * time.Millisecond
	// leaveTime is how long a worker serves after it has reported that it drains.
	leaveTime    = 2200 * time.Millisecond
	filesClients = 46
	releaseTime  = 107 * time.Second
)

// filesPlay is the state of the case files.
type filesPlay struct {
	*stage

	mu      sync.Mutex
	workers map[string][]*worker
	n       int
}

// filesCase: the workers of two services are replaced one after the other. The daemon must take
// new connections while it says that it is ready.
func filesCase(st *stage) (bool, error) {
	p := &filesPlay{stage: st, workers: map[string][]*worker{}}
	names := []string{"wuno96b", "xano55b"}
	st.configure(
		service{name: names[0], prefix: "/cufi504/", kind: "safe", timeout: 5 * time.Second, aim: time.Second, maxConnections: 110},
		service{name: names[1], prefix: "/cuti104/", kind: "safe", timeout: 5 * time.Second, aim: time.Second, maxConnections: 110},
	)
	for _, name := range names {
		for range 3 {
			if err := p.add(name); err != nil {
				return false, err
			}
		}
	}
	if err := st.startDaemons(1, maxFiles); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	var good, other atomic.Int64
	for i := range 2 * filesClients {
		path := []string{"/cufi504/x", "/cuti104/x"}[i%2]
		go p.client(i, path, stop, &good, &other)
	}
	// The platform asks on a connection that it keeps.
	ready := &http.Client{Timeout: time.Second}
	d := st.daemons[0]
	var taken, readySince time.Time
	taken = time.Now()
	for i, end := 0, time.Now().Add(releaseTime); time.Now().Before(end); i++ {
		next := time.Now().Add(releaseGap)
		if st.trouble {
			for _, name := range names {
				if err := p.replace(name); err != nil {
					return false, err
				}
			}
		}
		isReady := d.ready(ready)
		if !isReady {
			readySince = time.Time{}
		} else if readySince.IsZero() {
			readySince = time.Now()
		}
		if p.probe(d, i) {
			taken = time.Now()
		}
		st.note("%d descriptors, ready %v, %d answers and %d failures", d.descriptors(), isReady, good.Load(), other.Load())
		if !readySince.IsZero() && time.Since(readySince) > contactTime && time.Since(taken) > contactTime {
			st.note("the daemon says that it is ready and has taken no new connection for %.1f s", time.Since(taken).Seconds())
			return true, nil
		}
		time.Sleep(time.Until(next))
	}
	return false, nil
}

// probe sends requests from eight clients, each on a new connection, and reports whether one of
// them was answered.
func (p *filesPlay) probe(d *daemon, n int) bool {
	var wg sync.WaitGroup
	var taken atomic.Bool
	for i := range 8 {
		wg.Go(func() {
			a := once(d.callers(), call{id: fmt.Sprintf("probe-%d-%d", n, i), method: http.MethodGet, path: "/cufi504/x", key: key, deadline: 600 * time.Millisecond})
			p.note("probe-%d-%d sent at %.3f: connected %v, status %d, %v", n, i, a.started.Sub(p.began).Seconds(), a.connected, a.status, a.err)
			if a.headed {
				taken.Store(true)
			}
		})
	}
	wg.Wait()
	return taken.Load()
}

func (p *filesPlay) add(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n++
	w, err := newWorker(fmt.Sprintf("i-%08x", p.n*7919), name, fmt.Sprintf("127.8.%d.%d", p.n/200, p.n%200+1), 6, 24)
	if err != nil {
		return err
	}
	w.work = func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Duration(40+rand.IntN(40)) * time.Millisecond)
		writeBody(rw, 800)
	}
	p.workers[name] = append(p.workers[name], w)
	p.store.put("servers", w.id, w.entry())
	return nil
}

// replace starts a new worker and lets the oldest one drain and leave.
func (p *filesPlay) replace(name string) error {
	if err := p.add(name); err != nil {
		return err
	}
	p.mu.Lock()
	w := p.workers[name][0]
	p.workers[name] = p.workers[name][1:]
	p.mu.Unlock()
	p.note("worker %s drains, %s is ready", w.id, p.workers[name][len(p.workers[name])-1].id)
	w.leaving.Store(true)
	p.store.put("servers", w.id, w.entry())
	time.AfterFunc(leaveTime, func() {
		w.stop()
		p.store.remove("servers", w.id)
	})
	return nil
}

// client sends one request after the other on a kept connection until stop is closed.
func (p *filesPlay) client(i int, path string, stop <-chan struct{}, good, other *atomic.Int64) {
	var k *kept
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if k == nil {
			var err error
			if k, err = dial(p.daemons[0].callers()); err != nil {
				other.Add(1)
				time.Sleep(300 * time.Millisecond)
				continue
			}
		}
		a := k.do(call{id: fmt.Sprintf("c%d-%d", i, n), method: http.MethodGet, path: path, key: key, deadline: 5 * time.Second})
		if a.status == http.StatusOK {
			good.Add(1)
		} else {
			other.Add(1)
			time.Sleep(300 * time.Millisecond)
		}
		if a.closed || a.err != nil {
			_ = k.conn.Close()
			k = nil
		}
	}
}
