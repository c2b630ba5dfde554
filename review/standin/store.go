package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

type event struct {
	kind    string
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

// store is a stand-in of the platform's store. It loses nothing and answers at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	wake     chan struct{}
	// watchers holds when each host last sent a watch of the servers.
	watchers map[string]time.Time
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, wake: make(chan struct{}), watchers: map[string]time.Time{}}
}

// endpoint opens an address of the store for one daemon, so that its calls can be told from
// those of others.
func (s *store) endpoint(host string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, host) })
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// put writes an object as the operator or a worker does, and returns the time of the
// acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
	return time.Now()
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{kind: kind, Object: o})
	s.notify()
	return o
}

// remove deletes an object and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return time.Now()
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.events = append(s.events, event{kind: kind, Removed: true, Object: o})
	s.notify()
	return time.Now()
}

func (s *store) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// watching returns the hosts that sent a watch of the servers within the last time d.
func (s *store) watching(d time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for host, at := range s.watchers {
		if time.Since(at) < d {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// serve answers a call of a daemon.
func (s *store) serve(w http.ResponseWriter, r *http.Request, host string) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && name == "" && q.Has("watch"):
		s.watch(w, r, kind, host)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, q.Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	const pageSize = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, n := range names[:min(pageSize, len(names))] {
		items = append(items, s.objects[kind][n])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": len(names) > pageSize, "store_revision": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, host string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		if kind == "servers" {
			s.watchers[host] = time.Now()
		}
		list := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				list = append(list, e)
			}
		}
		revision, wake := s.revision, s.wake
		s.mu.Unlock()
		if len(list) > 0 || !waiting {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": list, "store_revision": revision})
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

func (s *store) write(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && ok:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
	case r.Method == http.MethodPut && !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
	default:
		_ = json.NewEncoder(w).Encode(s.putLocked(kind, o.Metadata.Name, o.Spec))
	}
}
