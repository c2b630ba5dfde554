package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt  = "X-Oleandercove-Attempt-Id"
	headerExpect   = "X-Oleandercove-Expect-Instance"
	headerInstance = "X-Oleandercove-Instance-Id"
	headerNotRun   = "X-Oleandercove-Not-Executed"
	headerStamp    = "X-Oleandercove-Response-Stamp"
	headerDeadline = "X-Oleandercove-Deadline-Ms"
	healthPath     = "/healthz"
	workerSlots    = 6
	workerQueue    = 24
)

// workerSpec is the registry entry of a worker.
type workerSpec struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold_remaining_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// run is one execution of a request.
type run struct {
	attempt, worker, service string
	at                       time.Time
}

// runs holds the executions at all workers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

// byAttempt returns the executions by the id of the attempt.
func (r *runs) byAttempt() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]run{}
	for _, x := range r.all {
		out[x.attempt] = append(out[x.attempt], x)
	}
	return out
}

// worker is a sound worker of a plain service.
type worker struct {
	id, service, address, zone string
	born                       int64
	store                      *store
	runs                       *runs
	rec                        *recorder
	// work is how long a request takes, pieces in how many parts its answer of size bytes comes.
	work   time.Duration
	size   int
	pieces int
	// slow is how many times longer than usual the work takes; 0 means 1.
	slow    atomic.Int64
	waiting atomic.Int64
	slots   chan struct{}
	state   atomic.Pointer[string]
	server  atomic.Pointer[http.Server]
	// retryAfter is what the worker names, in seconds, while it turns all requests away; 0 while it
	// takes them.
	retryAfter atomic.Int64

	mu sync.Mutex
	// arrivals are the requests that have reached the worker, rejections those that it has turned
	// away.
	arrivals, rejections []arrival
}

// arrival is a request that has reached a worker.
type arrival struct {
	attempt string
	at      time.Time
}

func startWorker(e *env, id, service, zone string, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(),
		store: e.store, runs: e.runs, rec: e.rec, work: work, size: 800, pieces: 1, slots: make(chan struct{}, workerSlots),
	}
	w.serve(l)
	w.Register("ready")
	return w, nil
}

func (w *worker) serve(l net.Listener) {
	s := &http.Server{Handler: w}
	w.server.Store(s)
	go func() { _ = s.Serve(l) }()
}

// Crash closes the worker's listener and all its connections.
func (w *worker) Crash() {
	_ = w.server.Load().Close()
	w.rec.log("worker %s crashed", w.id)
}

// Restart starts the worker again under its id, at its address.
func (w *worker) Restart() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.born = time.Now().UnixMilli()
	w.serve(l)
	w.rec.log("worker %s started again", w.id)
	return nil
}

// reject turns a request away if the worker wants none, and reports whether it did.
func (w *worker) reject(rw http.ResponseWriter, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := arrival{id, time.Now()}
	w.arrivals = append(w.arrivals, x)
	seconds := w.retryAfter.Load()
	if seconds == 0 {
		return false
	}
	w.rejections = append(w.rejections, x)
	rw.Header().Set(headerNotRun, "1")
	rw.Header().Set("Retry-After", fmt.Sprint(seconds))
	rw.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Register writes the entry of the worker, and returns its revision.
func (w *worker) Register(state string) uint64 {
	w.state.Store(&state)
	return w.store.Put(kindServers, w.id, workerSpec{
		Service: w.service, Address: w.address, Zone: w.zone, Version: "v1", Slots: workerSlots, State: state, Born: w.born,
	})
}

// RegisterAgain writes the entry as it was last written.
func (w *worker) RegisterAgain() uint64 { return w.Register(*w.state.Load()) }

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerInstance, w.id)
	if r.URL.Path == healthPath {
		if *w.state.Load() != "ready" {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerAttempt)
	rw.Header().Set(headerAttempt, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if w.reject(rw, id) {
		return
	}
	if w.waiting.Add(1) > workerSlots+workerQueue {
		w.waiting.Add(-1)
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-r.Context().Done():
		return
	}
	w.runs.add(run{attempt: id, worker: w.id, service: w.service, at: time.Now()})
	w.answer(rw, r, id)
}

// answer sends the answer in equal pieces over the time that the work takes.
func (w *worker) answer(rw http.ResponseWriter, r *http.Request, id string) {
	total := w.work * time.Duration(max(1, w.slow.Load()))
	rw.Header().Set(headerStamp, stamp(w.id, id))
	rw.Header().Set("Content-Length", fmt.Sprint(w.size))
	body := answerBody(w.id, id, w.size)
	for i := range w.pieces {
		select {
		case <-time.After(total / time.Duration(w.pieces)):
		case <-r.Context().Done():
			w.rec.log("worker %s: connection of %s closed after %d of %d pieces", w.id, id, i, w.pieces)
			return
		}
		if _, err := io.WriteString(rw, body[len(body)*i/w.pieces:len(body)*(i+1)/w.pieces]); err != nil {
			w.rec.log("worker %s: connection of %s closed after %d of %d pieces: %v", w.id, id, i, w.pieces, err)
			return
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
	}
}

func stamp(worker, attempt string) string { return "stamp." + worker + "." + attempt }

// answerBody returns the body of a worker's answer to an attempt.
func answerBody(worker, attempt string, size int) string {
	text := "answer of " + worker + " to " + attempt + ". "
	return strings.Repeat(text, size/len(text)+1)[:size]
}
