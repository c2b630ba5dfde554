package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	kindServers = "servers"
	kindConfig  = "config"
	configName  = "main"
	listPage    = 500
	// maxWatchWait is the longest wait of a watch.
	maxWatchWait = 30 * time.Second
	headerEra    = "Store-Era"
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`

	kind     string
	revision uint64
}

// state is all that the store holds. A copy of it is what the store comes back from in a drill.
type state struct {
	revision uint64
	objects  map[string]map[string]object
	history  []event
}

func (s *state) clone() state {
	c := state{revision: s.revision, objects: map[string]map[string]object{}, history: slices.Clone(s.history)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// store is the platform's metadata store.
type store struct {
	rec *recorder

	mu    sync.Mutex
	state state
	era   int
	away  bool
	wake  chan struct{}
	// watchers holds when the caller at each address last began to watch the configuration.
	watchers map[string]time.Time
}

func startStore(rec *recorder) *store {
	s := &store{rec: rec, era: 1, wake: make(chan struct{}), watchers: map[string]time.Time{}}
	s.state = state{revision: 100, objects: map[string]map[string]object{}}
	return s
}

// Listen opens another address of the store, so that it can tell its callers apart.
func (s *store) Listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(address, w, r) }))
	}()
	return address, nil
}

// Reader returns the address whose caller was the last to watch the configuration.
func (s *store) Reader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := ""
	for address, at := range s.watchers {
		if last == "" || at.After(s.watchers[last]) {
			last = address
		}
	}
	return last
}

func (s *store) handle(address string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if r.URL.Query().Has("watch") && strings.HasSuffix(r.URL.Path, "/"+kindConfig) {
		s.watchers[address] = time.Now()
	}
	era, away := s.era, s.away
	s.mu.Unlock()
	w.Header().Set(headerEra, strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], q.Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	case r.Method == http.MethodDelete:
		revision, _ := strconv.ParseUint(q.Get("revision"), 10, 64)
		s.answer(w, func() (int, any) { return s.remove(parts[0], parts[1], revision) })
	default:
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.answer(w, func() (int, any) { return s.write(r.Method, parts, o) })
	}
}

// answer makes a change and sends its result.
func (s *store) answer(w http.ResponseWriter, change func() (int, any)) {
	s.mu.Lock()
	status, body := change()
	s.mu.Unlock()
	w.WriteHeader(status)
	send(w, body)
}

func send(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(data)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.state.objects[kind]))
	names = slices.DeleteFunc(names, func(n string) bool { return n <= after })
	items := []object{}
	for _, n := range names[:min(len(names), listPage)] {
		items = append(items, s.state.objects[kind][n])
	}
	body := map[string]any{"items": items, "truncated": len(names) > listPage, "store_revision": s.state.revision}
	s.mu.Unlock()
	send(w, body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.state.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	send(w, o)
}

// watch answers as soon as there is a change of the kind after a revision, and after the wait. A
// watch from a revision that the store doesn't have gets 410.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for waiting := true; ; {
		s.mu.Lock()
		cut, gone, revision, wake := s.away || s.era != era, from > s.state.revision, s.state.revision, s.wake
		events := []event{}
		for _, e := range s.state.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !waiting:
			send(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-wake:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// write handles POST, PUT and PUT of the status. The caller holds the lock.
func (s *store) write(method string, parts []string, o object) (int, any) {
	kind, name := parts[0], o.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	old, ok := s.state.objects[kind][name]
	switch {
	case method == http.MethodPost && ok:
		return http.StatusConflict, old
	case method == http.MethodPut && !ok:
		return http.StatusNotFound, nil
	case method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	}
	next := old
	next.Metadata.Name = name
	if len(parts) > 2 {
		next.Status = o.Status
	} else {
		next.Spec, next.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers
	}
	return http.StatusOK, s.put(kind, next)
}

// put stores an object under a new revision, unless it changes nothing. The caller holds the lock.
func (s *store) put(kind string, o object) object {
	old, ok := s.state.objects[kind][o.Metadata.Name]
	if ok && string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) && slices.Equal(old.Metadata.Finalizers, o.Metadata.Finalizers) {
		return old
	}
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	if !ok {
		o.Metadata.Created = s.state.revision
	}
	if s.state.objects[kind] == nil {
		s.state.objects[kind] = map[string]object{}
	}
	s.state.objects[kind][o.Metadata.Name] = o
	s.record(event{Object: o, kind: kind, revision: s.state.revision})
	return o
}

// remove deletes an object. The caller holds the lock.
func (s *store) remove(kind, name string, revision uint64) (int, any) {
	o, ok := s.state.objects[kind][name]
	if !ok {
		return http.StatusNotFound, nil
	}
	if revision != 0 && revision != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	delete(s.state.objects[kind], name)
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	s.record(event{Removed: true, Object: o, kind: kind, revision: s.state.revision})
	return http.StatusOK, o
}

func (s *store) record(e event) {
	s.state.history = append(s.state.history, e)
	close(s.wake)
	s.wake = make(chan struct{})
}

// Put writes an object as the operator or a worker does, and returns its revision.
func (s *store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, object{Metadata: metadata{Name: name}, Spec: data}).Metadata.Revision
}

// Remove removes an object as a worker's end does, and returns the revision.
func (s *store) Remove(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name, 0)
	return s.state.revision
}

// Revision returns the current revision.
func (s *store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// Copy returns a copy of all that the store holds.
func (s *store) Copy() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// Drill takes the store away for a time, and brings it back from a copy.
func (s *store) Drill(away time.Duration, c state) {
	s.mu.Lock()
	lost := s.state.revision
	s.away = true
	close(s.wake)
	s.wake = make(chan struct{})
	s.mu.Unlock()
	s.rec.log("store: away, its revision is %d", lost)
	time.Sleep(away)
	s.mu.Lock()
	s.state = c
	s.era++
	s.away = false
	s.mu.Unlock()
	s.rec.log("store: back from a copy, its revision is %d, its era %d", c.revision, s.era)
}
