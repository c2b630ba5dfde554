package imitator

import (
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
	card        = "card"
	engineSlots = 64
	// eventTime is the time between two events of a stream.
	eventTime = 15 * time.Millisecond
	// stallTime is how long an engine holds work that waits for a dead one.
	stallTime = 3 * time.Second
)

// Engine is a model engine that holds a range of layers.
type Engine struct {
	Signs
	ID         string
	site       *Site
	address    string
	dataCentre string
	born       int64

	mu       sync.Mutex
	layers   layersSpec
	sequence int64
	dead     bool
	streams  map[string]*stream
}

type layersSpec struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// stream is a running request at its first engine.
type stream struct {
	mu   sync.Mutex
	path []string
	// stalled is the address of the engine that it waits for.
	stalled string
	// body is that of the request.
	body []byte
}

func (s *Site) startEngine(id, dataCentre, address string) error {
	e := &Engine{ID: id, site: s, dataCentre: dataCentre, born: time.Now().UnixMilli(), streams: map[string]*stream{}}
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

// Holds tells whether the engine lives and holds a range of layers.
func (e *Engine) Holds(from, to int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead && e.layers.From <= from && to <= e.layers.To
}

// SetDead lets the engine fall silent, or answer again.
func (e *Engine) SetDead(dead bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = dead
}

// Address returns the address of the engine.
func (e *Engine) Address() string { return e.address }

// Lapse removes the entry of the engine.
func (e *Engine) Lapse() { e.site.Store.Remove(kindServers, e.ID) }

func (e *Engine) alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead
}

// register writes the entry of the engine.
func (e *Engine) register() {
	e.mu.Lock()
	layers := e.layers
	spec := serverSpec{
		Service: modelService, Address: e.address, Zone: e.dataCentre, Slots: engineSlots, State: stateReady,
		Sequence: e.sequence, Born: e.born, RouteType: card, Layers: &layers,
	}
	e.mu.Unlock()
	e.site.Store.beat(e.ID)
	e.site.Store.Put(kindServers, e.ID, spec)
}

// ServeHTTP answers reports, orders and requests.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.alive() {
		// A dead engine does not answer; its connections stay open.
		<-r.Context().Done()
		return
	}
	e.say(w)
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
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

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := reportAnswer{Sequence: e.sequence, Born: e.born, Pace: 1, Running: len(e.streams), Layers: e.layers}
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

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
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
		if x := e.endedBy(s.body, path); x != nil {
			go x.crash(o.ID)
		}
	case o.Expect != nil && *o.Expect != e.sequence:
		w.WriteHeader(http.StatusConflict)
	default:
		e.layers = layersSpec{o.From, o.To}
		e.sequence++
		w.WriteHeader(http.StatusAccepted)
		go e.register()
	}
}

// part is one engine of a chain.
type part struct {
	address  string
	from, to int
}

func parsePart(text string) (part, bool) {
	address, layers, ok := strings.Cut(text, "=")
	from, to, ok2 := strings.Cut(layers, "-")
	f, err := strconv.Atoi(from)
	t, err2 := strconv.Atoi(to)
	return part{address, f, t}, ok && ok2 && err == nil && err2 == nil
}

// obstacle is the first engine of a path that can't do its part.
type obstacle struct {
	address string
	dead    bool
}

// check returns what is in the way of a path, and whether the path runs every
// layer once.
func (e *Engine) check(path []string) (o obstacle, whole bool) {
	at := 0
	for _, text := range path {
		p, ok := parsePart(text)
		if !ok || p.from != at {
			return obstacle{}, false
		}
		at = p.to
		x := e.site.engineAt(p.address)
		switch {
		case x == nil || !x.alive():
			return obstacle{address: p.address, dead: true}, true
		case !x.Holds(p.from, p.to):
			return obstacle{address: p.address}, true
		}
	}
	return obstacle{}, at == ModelLayers
}

// run streams events, as many as the request asks tokens for.
func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if e.arrive(e.site.Runs, e.ID, w, id) {
		return
	}
	path := strings.Split(r.Header.Get(headerChain), ",")
	o, whole := e.check(path)
	if !whole {
		e.site.Fault("chain %v does not run every layer once", path)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.address != "" && !o.dead {
		w.Header().Set(headerFault, o.address)
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
		delete(e.streams, id)
	}()
	e.site.Runs.add(id, Run{Server: e.ID, Method: r.Method, Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(), At: time.Now()})
	if x := e.endedBy(body, path); x != nil {
		x.crash(id)
		if x == e {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set(headerStamp, stampPrefix+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, s)
}

// stream sends the events after the last one that the caller has.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *stream) {
	_, output, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	for n := number(r.Header.Get("Last-Event-Id")) + 1; n <= number(output); n++ {
		if !s.wait(r, e) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprint(w, Event(r.Header.Get(headerAttempt), n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// Event returns one event of the stream of an attempt.
func Event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// number reads a number; one that is missing counts as zero.
func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// wait waits for the next event and tells whether the chain produced it.
func (s *stream) wait(r *http.Request, e *Engine) bool {
	time.Sleep(eventTime)
	end := time.Now().Add(stallTime)
	for {
		s.mu.Lock()
		path := s.path
		s.mu.Unlock()
		o, _ := e.check(path)
		s.mu.Lock()
		s.stalled = o.address
		s.mu.Unlock()
		if !e.alive() {
			<-r.Context().Done()
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
