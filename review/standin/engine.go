package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// model describes the model that the engines of a service run.
type model struct {
	name   string
	layers int
	load   time.Duration
}

// fleet holds the engines by address, and what they have in common.
type fleet struct {
	model model
	store *store
	// served is set once any engine has got a request, loading counts the loads that run now.
	served  atomic.Bool
	loading atomic.Int64

	mu        sync.Mutex
	byAddress map[string]*engine
}

// at returns the engine at an address.
func (f *fleet) at(address string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddress[address]
}

// holds reports whether the engine at an address is up and holds a range of layers.
func (f *fleet) holds(address string, from, to int) bool {
	e := f.at(address)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down && e.from <= from && to <= e.to
}

// engine is a stand-in of a model worker. It answers a stream as the first one of a chain, once
// it has checked that the others hold their parts.
type engine struct {
	*fleet
	service, address, zone, kind string
	// stream answers a request that names this engine.
	stream func(e *engine, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	id       string
	starts   int
	number   int
	born     int64
	from, to int
	busy     bool
	sequence int64
	server   *http.Server
	running  atomic.Int64
	down     bool
}

// start listens on the address of the engine, at first on any port, and registers a new
// incarnation without layers.
func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().String()
	e.fleet.mu.Lock()
	e.byAddress[e.address] = e
	e.fleet.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%04x%04x", e.number, e.starts)
	e.born, e.from, e.to, e.busy, e.sequence, e.down = time.Now().UnixMilli(), 0, 0, false, 0, false
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	e.register()
	return nil
}

// crash ends the process: connections break, and nothing listens at the address. The entry
// lapses after three heartbeats; the engine is back after some seconds.
func (e *engine) crash(back time.Duration) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	id, server := e.id, e.server
	e.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(back, func() {
		e.store.remove("servers", id)
		_ = e.start()
	})
}

// register writes the entry; the caller holds the lock.
func (e *engine) register() {
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 192, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born, "stage": "both", "route_type": e.kind,
		"models": e.models(), "layers": e.held(),
	})
}

func (e *engine) models() any {
	return []any{map[string]any{"name": e.model.name, "version": 1, "adapters": []any{}}}
}

func (e *engine) held() any { return map[string]int{"from": e.from, "to": e.to, "version": 1} }

// ServeHTTP answers a report, an order or a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set(headerInstance, e.id)
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": e.running.Load(),
		"kv_used": 0, "kv_total": 100000 * e.model.layers, "handles": 0, "layers": e.held(), "pace": 1.0, "born": e.born, "stalled": []any{}, "route_type": e.kind,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string `json:"op"`
		From, To int
		Expect   *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.From == e.from && o.To == e.to:
		w.WriteHeader(http.StatusOK)
		return
	case e.busy || (o.Expect != nil && *o.Expect != e.sequence):
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.busy = true
	born := e.born
	const loadsAtOnce = 5
	share := float64(o.To-o.From) / float64(e.model.layers) * max(1, float64(e.loading.Add(1))/loadsAtOnce)
	if !e.served.Load() {
		share /= 10
	}
	time.AfterFunc(time.Duration(share*float64(e.model.load)), func() {
		e.loading.Add(-1)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born && !e.down {
			e.from, e.to, e.busy = o.From, o.To, false
			e.register()
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// request checks the head of a request, and answers it if each engine of the chain holds its part.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	e.served.Store(true)
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	w.Header().Set(headerID, r.Header.Get(headerID))
	if x := r.Header.Get(headerExpect); x != "" && x != id {
		w.Header().Set("At-Server", e.address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	for i, part := range strings.Split(r.Header.Get("X-Oleandercove-Hop-Count"), ",") {
		address, layers, _ := strings.Cut(part, "=")
		var from, to int
		_, _ = fmt.Sscanf(layers, "%d-%d", &from, &to)
		if i == 0 && address != e.address {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if !e.holds(address, from, to) {
			w.Header().Set("At-Server", address)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set(headerStamp, fmt.Sprintf("s.%s.%s", id, r.Header.Get(headerID)))
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(e, w, r)
}

// sendEvents sends events after that of Last-Event-Id, one each pause, up to the last one or for
// count events. It reports whether the last one was sent.
func sendEvents(w http.ResponseWriter, r *http.Request, last, count int, pause time.Duration) bool {
	n, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	rc := http.NewResponseController(w)
	for range count {
		if n >= last {
			return true
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return false
		}
		n++
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", n, n)
		_ = rc.Flush()
	}
	return n >= last
}
