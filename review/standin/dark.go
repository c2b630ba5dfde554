package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	darkDaemons = 3
	darkWorkers = 3
	darkBack    = 4 * time.Second
	darkTime    = 40 * time.Second
	darkPath    = "/cufi504/bad"
	soundPath   = "/cufi504/good"
)

// darkPlay is the state of the case dark.
type darkPlay struct {
	*stage

	mu sync.Mutex
	// crashes and arrivals are the times at which the request crashed a worker and reached one.
	crashes, arrivals []time.Time
}

// darkWorker is a worker that goes dark when it begins to run the poison request: it answers
// nothing, on any connection, until it is back as a new incarnation.
type darkWorker struct {
	*darkPlay
	number  int
	address string

	mu     sync.Mutex
	starts int
	dark   chan struct{}
}

// darkCase: one request crashes each worker that begins to run it, and the worker goes silent.
// Later than contactTime after the third crash it may reach workers in no more than maxRetries
// retries.
func darkCase(st *stage) (bool, error) {
	p := &darkPlay{stage: st}
	st.configure(service{name: "wuno96b", prefix: "/cufi504/", kind: "safe", timeout: 600 * time.Millisecond, aim: 100 * time.Millisecond, maxConnections: 110})
	for i := range darkWorkers {
		w := &darkWorker{darkPlay: p, number: i + 1, address: fmt.Sprintf("127.6.0.%d:0", i+1)}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := st.startDaemons(darkDaemons, 0); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var good, other atomic.Int64
	for _, d := range st.daemons {
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(200+rand.IntN(200)) * time.Millisecond):
				}
				a := once(d.callers(), call{id: fmt.Sprintf("%s/%d", d.name, i), method: http.MethodGet, path: soundPath, key: key, deadline: 600 * time.Millisecond})
				if a.status == http.StatusOK {
					good.Add(1)
				} else {
					other.Add(1)
				}
				p.note("%s/%d sent at %.3f: status %d, %v", d.name, i, a.started.Sub(p.began).Seconds(), a.status, a.err)
			}
		}()
	}
	time.Sleep(10 * time.Second)
	g, o := good.Load(), other.Load()
	st.note("before: %d answers and %d failures of other callers", g, o)
	path := soundPath
	if st.trouble {
		path = darkPath
	}
	for i, end := 0, time.Now().Add(darkTime); time.Now().Before(end); i++ {
		d := st.daemons[rand.IntN(len(st.daemons))]
		a := once(d.callers(), call{id: fmt.Sprintf("again-%d", i), method: http.MethodGet, path: path, key: key, deadline: 600 * time.Millisecond})
		st.note("again-%d at %s: status %d, %v", i, d.name, a.status, a.err)
		time.Sleep(time.Second)
	}
	close(stop)
	st.note("meanwhile: %d answers and %d failures of other callers", good.Load()-g, other.Load()-o)
	return lateRetries(st, p.crashes, p.arrivals, &p.mu), nil
}

// lateRetries reports whether a request that crashes workers reached more of them than the rule
// allows later than contactTime after the third crash.
func lateRetries(st *stage, crashes, arrivals []time.Time, mu *sync.Mutex) bool {
	mu.Lock()
	defer mu.Unlock()
	st.note("the request reached workers %d times and crashed %d", len(arrivals), len(crashes))
	if len(crashes) < 3 {
		return false
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	st.note("%d times later than %s after the third crash", late, contactTime)
	return late > maxRetries
}

func (w *darkWorker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = l.Addr().String()
	w.starts++
	w.dark = make(chan struct{})
	x := &worker{id: fmt.Sprintf("i-%04x%04x", w.number, w.starts), service: "wuno96b", address: w.address, zone: "z-a", born: time.Now().UnixMilli(), slots: 6, queue: 24, slot: make(chan struct{}, 6)}
	dark, closed := w.dark, make(chan struct{})
	x.work = func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, darkPath) {
			w.note("worker %s begins to run %s", x.id, r.Header.Get(headerID))
			w.crash(x, dark, closed)
			<-closed
			return
		}
		select {
		case <-time.After(time.Duration(8+rand.IntN(15)) * time.Millisecond):
			writeBody(rw, 800)
		case <-dark:
			<-closed
		}
	}
	h := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-dark:
			<-closed
		default:
			x.ServeHTTP(rw, r)
		}
	})
	x.server = &http.Server{Handler: h}
	go func() { _ = x.server.Serve(l) }()
	w.store.put("servers", x.id, x.entry())
	return nil
}

// crash makes the worker silent. It is back after darkBack.
func (w *darkWorker) crash(x *worker, dark, closed chan struct{}) {
	now := time.Now()
	w.darkPlay.mu.Lock()
	w.arrivals = append(w.arrivals, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-dark:
		w.darkPlay.mu.Unlock()
		return
	default:
		close(dark)
	}
	w.crashes = append(w.crashes, now)
	w.darkPlay.mu.Unlock()
	w.note("worker %s goes dark", x.id)
	// The entry lapses after three heartbeats of 1.2 s.
	time.AfterFunc(3600*time.Millisecond, func() { w.store.remove("servers", x.id) })
	time.AfterFunc(darkBack, func() {
		_ = x.server.Close()
		close(closed)
		if err := w.start(); err != nil {
			w.note("worker is not back: %v", err)
		}
	})
}
