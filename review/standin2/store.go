package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the stand-in of the platform's store: objects by kind and name, conditional writes,
// lists and watches. All of its history is kept.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	wake     chan struct{}
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 20, objects: map[string]map[string]object{}, wake: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// put writes an object without a condition, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// write replaces an object; one that stays the same keeps its revision. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && bytes.Equal(old.Spec, spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(change{kind: kind, Object: o})
	return o
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

// remove deletes an object if there is one.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(change{kind: kind, Removed: true, Object: o})
}

// ServeHTTP answers the calls of the daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][parts[1]]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, parts[1:])
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	type page struct {
		Items     []object `json:"items"`
		Truncated bool     `json:"truncated"`
		Revision  uint64   `json:"store_revision"`
	}
	s.mu.Lock()
	p := page{Items: []object{}, Revision: s.revision}
	for _, o := range s.objects[kind] {
		p.Items = append(p.Items, o)
	}
	s.mu.Unlock()
	slices.SortFunc(p.Items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, p)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	type events struct {
		Events   []change `json:"events"`
		Revision uint64   `json:"store_revision"`
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		e := events{Events: []change{}, Revision: s.revision}
		for _, c := range s.changes {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				e.Events = append(e.Events, c)
			}
		}
		wake := s.wake
		s.mu.Unlock()
		if len(e.Events) > 0 {
			answer(w, http.StatusOK, e)
			return
		}
		select {
		case <-wake:
		case <-end:
			answer(w, http.StatusOK, e)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change handles the writes of the daemons.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind string, path []string) {
	data, err := io.ReadAll(r.Body)
	var o object
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := o.Metadata.Name
	if len(path) > 0 {
		name = path[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

// answer writes a message as JSON.
func answer(w http.ResponseWriter, status int, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
