package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerAttempt  = "X-Oleandercove-Attempt-Id"
	headerExpect   = "X-Oleandercove-Expect-Instance"
	headerInstance = "X-Oleandercove-Instance-Id"
	headerNotRun   = "X-Oleandercove-Not-Executed"
	headerStamp    = "X-Oleandercove-Response-Stamp"
	headerHops     = "X-Oleandercove-Hop-Count"
	headerTokens   = "X-Oleandercove-Token-Count"
	headerModel    = "X-Oleandercove-Model"
	headerParts    = "X-Oleandercove-Prefix-Hash"
	headerDeadline = "X-Oleandercove-Deadline-Ms"
	headerLast     = "Last-Event-Id"
	headerAtServer = "At-Server"

	modelService = "m-llm"
	plainService = "m-plain"
	cardName     = "card"
	layerCount   = 8
	modelName    = "m0"
	heartbeat    = 1200 * time.Millisecond
	stallTime    = 3 * time.Second
	eventTime    = 40 * time.Millisecond
	workTime     = 15 * time.Millisecond
	// downTime is how long a worker is away after a crash.
	downTime = 3 * time.Second
)

// server is a worker of either service. Each start of it is a new incarnation with a new id.
type server struct {
	site    *site
	name    string
	service string
	zone    string
	address string

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	layers   span
	sequence int64
	dead     bool
	listener net.Listener
	open     map[net.Conn]bool
	streams  map[string]*stream
}

type span struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// stream is a request that runs on the first worker of its path.
type stream struct {
	mu      sync.Mutex
	path    []string
	stalled string
}

type entry struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	Cold     int     `json:"cold_remaining_ms"`
	Sequence int64   `json:"sequence"`
	Born     int64   `json:"born"`
	Stage    string  `json:"stage,omitempty"`
	Models   []model `json:"models,omitempty"`
	Layers   *span   `json:"layers,omitempty"`
	Kind     string  `json:"route_type,omitempty"`
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

var models = []model{{Name: modelName, Version: 1, Adapters: []string{}}}

// start begins a new incarnation at the worker's address, or at a free one the first time.
func (s *server) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.id = fmt.Sprintf("%s-%d", s.name, s.starts)
	s.address, s.listener, s.dead = l.Addr().String(), l, false
	s.born, s.layers, s.sequence = time.Now().UnixMilli(), span{}, 0
	s.open, s.streams = map[net.Conn]bool{}, map[string]*stream{}
	s.mu.Unlock()
	h := &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ConnState: s.trackConnection}
	go func() { _ = h.Serve(l) }()
	s.register()
	return nil
}

func (s *server) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[c] = true
		if s.dead {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

// crash ends the process of the worker: its connections are reset, nothing listens at its address,
// and it starts again after downTime. It sends nothing to the store. It reports whether the process
// was running.
func (s *server) crash() bool {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return false
	}
	s.dead = true
	_ = s.listener.Close()
	for c := range s.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	id := s.id
	s.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { s.site.store.remove("servers", id) })
	time.AfterFunc(downTime, func() {
		if err := s.start(); err != nil {
			s.site.record.fail("worker %s can't start again: %v", s.name, err)
		}
	})
	return true
}

func (s *server) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.dead
}

// holds reports whether the worker is up and holds the layers.
func (s *server) holds(l span) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.dead && s.layers.From <= l.From && l.To <= s.layers.To
}

// register writes the worker's entry.
func (s *server) register() {
	s.mu.Lock()
	e := entry{Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: 6, State: "ready", Born: s.born}
	if s.service == modelService {
		layers := s.layers
		e.Slots, e.Stage, e.Models, e.Layers, e.Kind, e.Sequence = 64, "both", models, &layers, cardName, s.sequence
	}
	id := s.id
	s.mu.Unlock()
	s.site.store.put("servers", id, e)
}

// ServeHTTP answers health checks, reports, orders and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set(headerInstance, id)
	case s.service == modelService && r.URL.Path == "/report":
		s.report(w)
	case s.service == modelService && r.URL.Path == "/order":
		s.order(w, r)
	default:
		s.request(w, r, id)
	}
}

func (s *server) request(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	if want := r.Header.Get(headerExpect); want != "" && want != id {
		w.Header().Set(headerInstance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.service == modelService {
		s.runStream(w, r, id, string(body))
		return
	}
	x := s.site.record.arrived(id, r, string(body))
	if s.site.onRun != nil && s.site.onRun(s, x) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerStamp, "stamp-"+id)
	if strings.HasPrefix(r.URL.Path, longPath) {
		s.sendLong(w, r, attempt)
		return
	}
	time.Sleep(workTime)
	_, _ = io.WriteString(w, "answer of "+id+" to "+attempt)
}

// sendLong sends an answer of longPieces pieces, one each longPause.
func (s *server) sendLong(w http.ResponseWriter, r *http.Request, attempt string) {
	w.Header().Set("Content-Length", strconv.Itoa(longPieces*len(longPiece)))
	for n := range longPieces {
		time.Sleep(longPause)
		if _, err := io.WriteString(w, longPiece); err != nil || r.Context().Err() != nil {
			s.site.record.printf("closed   %s by the daemon after %d of %d pieces", attempt, n, longPieces)
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).Flush()
	}
	s.site.record.printf("whole    %s sent by the worker", attempt)
}

func (s *server) report(w http.ResponseWriter) {
	type stalledItem struct {
		ID      string `json:"id"`
		Address string `json:"address"`
	}
	type message struct {
		Stage    string        `json:"stage"`
		Models   []model       `json:"models"`
		Busy     bool          `json:"busy"`
		Sequence int64         `json:"sequence"`
		Queued   int           `json:"queued"`
		Running  int           `json:"running"`
		KVUsed   int           `json:"kv_used"`
		KVTotal  int           `json:"kv_total"`
		Handles  int           `json:"handles"`
		Pace     float64       `json:"pace"`
		Born     int64         `json:"born"`
		Layers   span          `json:"layers"`
		Stalled  []stalledItem `json:"stalled"`
	}
	s.mu.Lock()
	m := message{
		Stage: "both", Models: models, Sequence: s.sequence, Running: len(s.streams), KVTotal: 100000, Pace: 1, Born: s.born,
		Layers: s.layers, Stalled: []stalledItem{},
	}
	for id, x := range s.streams {
		x.mu.Lock()
		if x.stalled != "" {
			m.Stalled = append(m.Stalled, stalledItem{id, x.stalled})
		}
		x.mu.Unlock()
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, m)
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		From   int    `json:"from"`
		To     int    `json:"to"`
		Expect *int64 `json:"expect"`
		ID     string `json:"id"`
		Path   string `json:"path"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Op == "repath":
		x := s.streams[o.ID]
		if x == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		x.mu.Lock()
		x.path, x.stalled = strings.Split(o.Path, ","), ""
		x.mu.Unlock()
		w.WriteHeader(http.StatusOK)
	case o.Op != "place":
		w.WriteHeader(http.StatusBadRequest)
	case o.Expect != nil && *o.Expect != s.sequence:
		w.WriteHeader(http.StatusConflict)
	case s.layers == span{o.From, o.To}:
		w.WriteHeader(http.StatusOK)
	default:
		s.sequence++
		s.layers = span{o.From, o.To}
		go s.register()
		w.WriteHeader(http.StatusAccepted)
	}
}

// missingPart returns the address of the first worker of a path that can't run its part, and
// whether that worker is down. Both are empty if the path is complete.
func (t *site) missingPart(path []string) (address string, down bool) {
	for _, text := range path {
		at, layers, _ := strings.Cut(text, "=")
		from, to, _ := strings.Cut(layers, "-")
		l := span{From: number(from), To: number(to)}
		x := t.serverAt(at)
		switch {
		case x == nil || !x.alive():
			return at, true
		case !x.holds(l):
			return at, false
		}
	}
	return "", false
}

// runStream answers a model request with one event for each token that it asks for.
func (s *server) runStream(w http.ResponseWriter, r *http.Request, id, body string) {
	path := strings.Split(r.Header.Get(headerHops), ",")
	if at, down := s.site.missingPart(path); at != "" {
		w.Header().Set(headerAtServer, at)
		w.Header().Set(headerNotRun, "1")
		status := http.StatusMisdirectedRequest
		if down {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	attempt := r.Header.Get(headerAttempt)
	x := &stream{path: path}
	s.mu.Lock()
	s.streams[attempt] = x
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		if s.streams[attempt] == x {
			delete(s.streams, attempt)
		}
		s.mu.Unlock()
	}()
	run := s.site.record.arrived(id, r, body)
	w.Header().Set(headerStamp, "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, output, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	first := number(r.Header.Get(headerLast)) + 1
	for n := first; n <= number(output); n++ {
		time.Sleep(eventTime)
		if !s.awaitPath(r, x) {
			panic(http.ErrAbortHandler)
		}
		if n == first && s.site.onRun != nil && s.site.onRun(s, run) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, attempt); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// awaitPath blocks until all workers of the path can run their parts, and reports whether they can
// within stallTime.
func (s *server) awaitPath(r *http.Request, x *stream) bool {
	for end := time.Now().Add(stallTime); ; time.Sleep(10 * time.Millisecond) {
		x.mu.Lock()
		path := x.path
		x.mu.Unlock()
		at, _ := s.site.missingPart(path)
		x.mu.Lock()
		x.stalled = at
		x.mu.Unlock()
		switch {
		case !s.alive() || r.Context().Err() != nil:
			return false
		case at == "":
			return true
		case time.Now().After(end):
			return false
		}
	}
}

// number parses a number and returns 0 for any other text.
func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
