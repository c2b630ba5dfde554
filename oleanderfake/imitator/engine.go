package imitator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	acceleratorKind = "card"
	engineSlots     = 64
	// eventTime is the time between two events of a stream if Options sets none.
	eventTime = 15 * time.Millisecond
	// stallTime is how long the first engine of a chain holds a request while an engine
	// of the chain is unavailable.
	stallTime = 3 * time.Second
)

// Engine is a simulated model engine that holds a range of layers.
type Engine struct {
	Signals
	ID         string
	site       *Site
	address    string
	dataCentre string
	startedMS  int64

	mu       sync.Mutex
	layers   layersSpec
	sequence int64
	dead     bool
	// busy is set while the engine loads layers.
	busy bool
	// frozen is set while a dead engine keeps its requests.
	frozen  bool
	streams map[string]*stream
}

type layersSpec struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// stream is the state of a running request on the first engine of its chain.
type stream struct {
	mu   sync.Mutex
	path []string
	// stalled is the address of the engine that the stream waits for, or empty.
	stalled string
	// body is the body of the request.
	body []byte
}

func (s *Site) startEngine(id, dataCentre, address string) error {
	e := &Engine{ID: id, site: s, dataCentre: dataCentre, startedMS: time.Now().UnixMilli(), streams: map[string]*stream{}}
	var err error
	if e.address, err = s.serve(address, e); err != nil {
		return err
	}
	s.mu.Lock()
	s.engines = append(s.engines, e)
	s.mu.Unlock()
	e.register()
	return nil
}

// Holds reports whether the engine is live and holds the layers from from up to, but
// excluding, to.
func (e *Engine) Holds(from, to int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead && e.layers.From <= from && to <= e.layers.To
}

// SetDead makes the engine stop answering, or answer again. Its connections stay open.
func (e *Engine) SetDead(dead bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead, e.frozen = dead, false
}

// Running returns the number of requests that the engine runs as the first of their chains.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// SetFrozen makes the engine stop answering, or continue with all its requests, as a process
// that is paused. Its connections stay open.
func (e *Engine) SetFrozen(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead, e.frozen = frozen, frozen
}

// RestartSilently starts a dead engine again under its id. It holds no layers and no requests,
// and the connections of before stay open, as after a power failure of its host.
func (e *Engine) RestartSilently() {
	e.mu.Lock()
	e.layers, e.sequence, e.startedMS = layersSpec{}, 0, time.Now().UnixMilli()
	e.dead, e.frozen, e.busy = false, false, false
	e.streams = map[string]*stream{}
	e.mu.Unlock()
	e.register()
}

// Crash crashes the process of the engine. It restarts like after CrashTrigger.
func (e *Engine) Crash() { e.crash("") }

// Address returns the address of the engine.
func (e *Engine) Address() string { return e.address }

// RemoveEntry removes the entry of the engine from the store.
func (e *Engine) RemoveEntry() { e.site.Store.Remove(KindServers, e.ID) }

func (e *Engine) alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead
}

// awaitAlive blocks while the engine is frozen and reports whether it answers. For a dead
// engine it blocks until the request has ended.
func (e *Engine) awaitAlive(ctx context.Context) bool {
	for {
		e.mu.Lock()
		dead, frozen := e.dead, e.frozen
		e.mu.Unlock()
		if !dead {
			return true
		}
		if !frozen {
			<-ctx.Done()
		}
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(eventTime)
	}
}

// register writes the entry of the engine to the store.
func (e *Engine) register() {
	e.mu.Lock()
	layers := e.layers
	spec := serverSpec{
		Service: modelService, Address: e.address, Zone: e.dataCentre, Slots: engineSlots, State: stateReady,
		Sequence: e.sequence, Born: e.startedMS, RouteType: acceleratorKind, Layers: &layers,
	}
	e.mu.Unlock()
	e.site.Store.recordHeartbeat(e.ID)
	e.site.Store.Put(KindServers, e.ID, spec)
}

// ServeHTTP answers reports, orders and requests.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A dead engine doesn't answer; its connections stay open.
	if !e.begin(r) {
		return
	}
	e.setLeavingHeader(w)
	switch r.URL.Path {
	case "/report":
		e.writeReport(w)
	case "/order":
		e.handleOrder(w, r)
	default:
		e.runRequest(w, r)
	}
}

// begin blocks while the engine is frozen and reports whether it answers a request. It counts
// the requests that a dead engine doesn't answer.
func (e *Engine) begin(r *http.Request) bool {
	if e.alive() {
		return true
	}
	id := r.Header.Get(headerAttempt)
	e.site.Runs.countUnanswered(id, 1)
	if !e.awaitAlive(r.Context()) {
		return false
	}
	e.site.Runs.countUnanswered(id, -1)
	return true
}

type (
	reportAnswer struct {
		Busy     bool          `json:"busy"`
		Sequence int64         `json:"sequence"`
		Born     int64         `json:"born"`
		Pace     float64       `json:"pace"`
		Running  int           `json:"running"`
		Layers   layersSpec    `json:"layers"`
		Stalled  []stalledItem `json:"stalled"`
	}
	stalledItem struct {
		ID      string `json:"id"`
		Address string `json:"address"`
	}
)

func (e *Engine) writeReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := reportAnswer{Busy: e.busy, Sequence: e.sequence, Born: e.startedMS, Pace: 1, Running: len(e.streams), Layers: e.layers}
	for id, s := range e.streams {
		s.mu.Lock()
		if s.stalled != "" {
			a.Stalled = append(a.Stalled, stalledItem{id, s.stalled})
		}
		s.mu.Unlock()
	}
	reply(w, a)
}

type orderSpec struct {
	Op     string `json:"op"`
	From   int    `json:"from"`
	To     int    `json:"to"`
	Expect *int64 `json:"expect"`
	ID     string `json:"id"`
	Path   string `json:"path"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o orderSpec
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Op == "repath":
		s := e.streams[o.ID]
		if s == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.mu.Lock()
		s.path, s.stalled = strings.Split(o.Path, ","), ""
		path := s.path
		s.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		if x := e.crashTarget(s.body, path); x != nil {
			go x.crash(o.ID)
		}
	case o.Expect != nil && *o.Expect != e.sequence:
		w.WriteHeader(http.StatusConflict)
	default:
		e.sequence++
		w.WriteHeader(http.StatusAccepted)
		e.busy = true
		if d := time.Duration(e.site.loadTime.Load()); d > 0 {
			time.AfterFunc(d, func() { e.finishOrder(o) })
			return
		}
		e.setLayers(o)
		go e.register()
	}
}

// finishOrder replaces the layers of the engine, unless it is dead.
func (e *Engine) finishOrder(o orderSpec) {
	e.mu.Lock()
	dead := e.dead
	e.setLayers(o)
	e.mu.Unlock()
	if !dead {
		e.register()
	}
}

// setLayers makes the layers of an order the current ones; the caller holds the lock.
func (e *Engine) setLayers(o orderSpec) { e.layers, e.busy = layersSpec{o.From, o.To}, false }

// runRequest streams one event for each requested token.
func (e *Engine) runRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if e.recordArrival(e.site.Runs, e.ID, w, r) {
		return
	}
	path := strings.Split(r.Header.Get(headerChain), ",")
	o, complete := e.checkPath(path)
	if !complete {
		e.site.ReportViolation("chain %v does not run every layer once", path)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.address != "" && !o.dead {
		w.Header().Set(headerRefusedBy, o.address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s := &stream{path: path, body: body}
	e.mu.Lock()
	e.streams[id] = s
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[id] == s {
			delete(e.streams, id)
		}
	}()
	e.site.Runs.add(id, Run{Server: e.ID, Method: r.Method, Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(), At: time.Now()})
	if x := e.crashTarget(body, path); x != nil {
		x.crash(id)
		if x == e {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set(headerStamp, stampPrefix+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	e.crashOnPart(w, r)
	if e.site.writeResumeFault(w, r) {
		return
	}
	e.sendEvents(w, r, s)
}

// sendEvents sends the events after the last one that the caller has received.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream) {
	_, output, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	for n := numberOrZero(r.Header.Get(headerLastEvent)) + 1; n <= numberOrZero(output); n++ {
		if !s.waitForEvent(r, e) {
			panic(http.ErrAbortHandler)
		}
		s.breakOff(w, r, n)
		if _, err := fmt.Fprint(w, Event(r.Header.Get(headerAttempt), n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// Event returns the event with the number n of the stream of an attempt.
func Event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// numberOrZero parses a number and returns 0 if it is missing or malformed.
func numberOrZero(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// waitForEvent blocks until the next event is due and all stages of the path are available,
// and reports whether the chain produced the event. It returns false if a stage is
// unavailable for longer than stallTime, or once the request has ended.
func (s *stream) waitForEvent(r *http.Request, e *Engine) bool {
	time.Sleep(cmp.Or(e.site.options.EventTime, eventTime))
	end := time.Now().Add(stallTime)
	for {
		s.mu.Lock()
		path := s.path
		s.mu.Unlock()
		o, _ := e.checkPath(path)
		s.mu.Lock()
		s.stalled = o.address
		s.mu.Unlock()
		if !e.awaitAlive(r.Context()) {
			return false
		}
		if o.address == "" {
			return true
		}
		if time.Now().After(end) || r.Context().Err() != nil {
			return false
		}
		time.Sleep(eventTime)
	}
}
