package main

import (
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
	answerSize     = 800
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
	// work is how long a request takes.
	work    time.Duration
	waiting atomic.Int64
	slots   chan struct{}
	state   atomic.Pointer[string]
}

func startWorker(e *env, id, service, zone string, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(),
		store: e.store, runs: e.runs, rec: e.rec, work: work, slots: make(chan struct{}, workerSlots),
	}
	go func() { _ = http.Serve(l, w) }()
	w.Register("ready")
	return w, nil
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
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set(headerStamp, stamp(w.id, id))
	// A write error means that the daemon has closed the connection.
	_, _ = io.WriteString(rw, answerBody(w.id, id))
}

func stamp(worker, attempt string) string { return "stamp." + worker + "." + attempt }

// answerBody returns the body of a worker's answer to an attempt, of answerSize bytes.
func answerBody(worker, attempt string) string {
	text := "answer of " + worker + " to " + attempt + ". "
	return strings.Repeat(text, answerSize/len(text)+1)[:answerSize]
}
