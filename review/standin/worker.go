package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID       = "X-Oleandercove-Attempt-Id"
	headerStamp    = "X-Oleandercove-Response-Stamp"
	headerExpect   = "X-Oleandercove-Expect-Instance"
	headerInstance = "X-Oleandercove-Instance-Id"
	headerDeadline = "X-Oleandercove-Deadline-Ms"
	headerNotRun   = "X-Oleandercove-Not-Executed"
)

// arrival is a request that reached a worker.
type arrival struct {
	id, worker, from string
	at               time.Time
}

// worker is a stand-in of a worker of a plain service. It holds slots requests at once and
// queues some more.
type worker struct {
	id, service, address, zone string
	born                       int64
	slots, queue               int

	listener net.Listener
	server   *http.Server
	waiting  atomic.Int64
	slot     chan struct{}
	// work answers a request that has a slot.
	work func(w http.ResponseWriter, r *http.Request)
	// onArrival is called for each request that names this worker.
	onArrival func(a arrival)

	// leaving is set once the worker leaves; it says so in all its answers.
	leaving atomic.Bool

	mu       sync.Mutex
	sequence int64
}

// newWorker starts a worker on a loopback address of its own.
func newWorker(id, service, ip string, slots, queue int) (*worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, address: l.Addr().String(), zone: "z-a", born: time.Now().UnixMilli(), slots: slots, queue: queue,
		listener: l, slot: make(chan struct{}, slots),
	}
	w.work = func(rw http.ResponseWriter, _ *http.Request) { writeBody(rw, 800) }
	w.server = &http.Server{Handler: w, IdleTimeout: idleTimeout}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// idleTimeout is how long a worker keeps an idle connection; it says so in Keep-Alive.
const idleTimeout = 60 * time.Second

// entry returns what the worker writes to the store.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
}

// ServeHTTP answers a request as a sound worker does.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set(headerInstance, w.id)
	if w.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		if w.leaving.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerID)
	h.Set(headerID, id)
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleTimeout.Seconds())))
	if x := r.Header.Get(headerExpect); x != "" && x != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.onArrival != nil {
		w.onArrival(arrival{id: id, worker: w.id, from: r.RemoteAddr, at: time.Now()})
	}
	if w.waiting.Add(1) > int64(w.slots+w.queue) {
		w.waiting.Add(-1)
		h.Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.waiting.Add(-1)
	select {
	case w.slot <- struct{}{}:
		defer func() { <-w.slot }()
	case <-r.Context().Done():
		return
	}
	h.Set(headerStamp, fmt.Sprintf("s.%s.%s", w.id, id))
	w.work(rw, r)
}

// writeBody writes a body of n bytes that depends on nothing else.
func writeBody(rw http.ResponseWriter, n int) {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(i%26)
	}
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = rw.Write(b)
}

// stop ends the worker: its connections are closed.
func (w *worker) stop() { _ = w.server.Close() }
