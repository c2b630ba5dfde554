package imitator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects in a page of a list. It is small, so that lists have
// several pages.
const pageSize = 3

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type change struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`

	kind string
}

type (
	listAnswer struct {
		Items     []object `json:"items"`
		Truncated bool     `json:"truncated"`
		Revision  uint64   `json:"store_revision"`
	}
	watchAnswer struct {
		Events   []change `json:"events"`
		Revision uint64   `json:"store_revision"`
	}
)

const (
	// KindServers is the kind of the entries of backend servers, KindConfiguration that of the
	// configuration.
	KindServers       = "servers"
	KindConfiguration = "config"
)

// Store simulates the platform's store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	// era rises by one each time the store comes back from a copy; away is set while it is away.
	era  uint64
	away bool
	// droppedUpTo is the revision up to which changes were dropped from the history.
	droppedUpTo uint64
	wake        chan struct{}
	// lastHeartbeat is the time of the last heartbeat of each backend server, by name.
	lastHeartbeat map[string]time.Time
	rates         Rates
	counter       callCounter
	// raw holds the specs of PutRaw by the JSON texts that stand for them.
	raw sync.Map
}

// Rates limit the calls of all daemons together, in calls per second; 0 means no limit.
type Rates struct {
	Reads, Writes int
}

// callCounter counts the calls of the current second.
type callCounter struct {
	second        time.Time
	reads, writes int
}

func newStore() *Store {
	return &Store{revision: 10, era: firstEra, objects: map[string]map[string]object{}, wake: make(chan struct{}), lastHeartbeat: map[string]time.Time{}}
}

// SetRates replaces the rate limits.
func (s *Store) SetRates(r Rates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rates = r
}

// admit counts a call and reports whether it is within the rate limits.
func (s *Store) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Truncate(time.Second); now != s.counter.second {
		s.counter = callCounter{second: now}
	}
	if write {
		s.counter.writes++
		return s.rates.Writes == 0 || s.counter.writes <= s.rates.Writes
	}
	s.counter.reads++
	return s.rates.Reads == 0 || s.counter.reads <= s.rates.Reads
}

// recordHeartbeat records a heartbeat of a backend server and reports whether the server
// has an entry.
func (s *Store) recordHeartbeat(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeartbeat[name] = time.Now()
	_, ok := s.objects[KindServers][name]
	return ok
}

// expire removes the entries of backend servers whose last heartbeat is older than maxAge.
func (s *Store) expire(maxAge time.Duration) {
	s.mu.Lock()
	var expired []string
	for name := range s.objects[KindServers] {
		if time.Since(s.lastHeartbeat[name]) > maxAge {
			expired = append(expired, name)
		}
	}
	s.mu.Unlock()
	for _, name := range expired {
		s.Remove(KindServers, name)
	}
}

// Faults are the faults that an Endpoint injects into the calls of one daemon.
type Faults struct {
	// Unavailable refuses all calls with status 503.
	Unavailable bool
	// LoseAnswers drops the responses to writes, which take effect.
	LoseAnswers bool
	// Delay is the time before each call is handled.
	Delay time.Duration
	// SilentKind is a kind of objects about which calls get no response, KindServers or
	// KindConfiguration.
	SilentKind string
	// WriteDelay, if positive, delays the effect of writes by this time and drops their
	// responses.
	WriteDelay time.Duration
}

// Endpoint is the endpoint through which one daemon reaches the store.
type Endpoint struct {
	Address string

	store  *Store
	mu     sync.Mutex
	faults Faults
	calls  int
}

// OpenEndpoint opens an endpoint of the store at an address for one more daemon. It returns
// an error if the listener fails to start.
func (s *Site) OpenEndpoint(address string) (*Endpoint, error) {
	e := &Endpoint{store: s.Store}
	var err error
	e.Address, err = s.serve(address, e)
	return e, err
}

// Inject replaces the injected faults.
func (e *Endpoint) Inject(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Calls returns the number of calls received so far.
func (e *Endpoint) Calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// ServeHTTP answers a call of the daemon, with the injected faults.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.calls++
	f := e.faults
	e.mu.Unlock()
	time.Sleep(f.Delay)
	if !e.store.stateEra(w) || f.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.store.admit(r.Method != http.MethodGet) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	q := r.URL.Query()
	switch {
	case parts[0] == f.SilentKind:
		<-r.Context().Done()
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		e.store.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		e.store.list(w, parts[0], q.Get("after"))
	case r.Method == http.MethodGet:
		e.store.get(w, parts[0], parts[1])
	default:
		e.write(w, r, parts[0], f)
	}
}

func (e *Endpoint) write(w http.ResponseWriter, r *http.Request, kind string, f Faults) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if f.WriteDelay > 0 {
		time.AfterFunc(f.WriteDelay, func() { e.store.write(r.Method, kind, o) })
		panic(http.ErrAbortHandler)
	}
	status, written := e.store.write(r.Method, kind, o)
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	reply(w, written)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := sortedNames(s.objects[kind], after)
	a := listAnswer{Truncated: len(names) > pageSize, Revision: s.revision}
	for _, n := range names[:min(pageSize, len(names))] {
		a.Items = append(a.Items, s.objects[kind][n])
	}
	s.reply(w, a)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.reply(w, o)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from := uint64(numberOrZero(r.URL.Query().Get("watch")))
	wait := time.Duration(numberOrZero(r.URL.Query().Get("wait_ms"))) * time.Millisecond
	end := time.After(wait)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for waiting := true; ; {
		s.mu.Lock()
		expired, a, wake := from < s.droppedUpTo || from > s.revision, watchAnswer{s.changesSince(kind, from), s.revision}, s.wake
		cut := s.away || s.era != era
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if expired {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(a.Events) > 0 || !waiting {
			s.reply(w, a)
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

// changesSince returns the changes of a kind after a revision; the caller holds the lock.
func (s *Store) changesSince(kind string, from uint64) []change {
	var out []change
	for _, c := range s.changes {
		if c.kind == kind && c.Object.Metadata.Revision > from {
			out = append(out, c)
		}
	}
	return out
}

// write writes an object if the condition of the method holds: POST requires that it
// doesn't exist, PUT that it exists and has the given revision, if any. It returns the
// status and the object written, or the stored object on a conflict.
func (s *Store) write(method, kind string, o object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][o.Metadata.Name]
	switch {
	case method == http.MethodPost && ok:
		return http.StatusConflict, old
	case method == http.MethodPut && !ok:
		return http.StatusNotFound, old
	case method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	}
	return http.StatusOK, s.putLocked(kind, o.Metadata.Name, o.Spec)
}

// putLocked writes an object under a new revision; the caller holds the lock.
func (s *Store) putLocked(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.changes = append(s.changes, change{Object: o, kind: kind})
	s.wakeWatchers()
	return o
}

func (s *Store) wakeWatchers() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// Put writes an object as the operator or a backend server does. It panics if the value
// can't be encoded as JSON.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
}

// rawLifetime is longer than any test. Objects of PutRaw have no heartbeat.
const rawLifetime = time.Hour

// PutRaw writes an object whose spec is any text, as another writer may leave it. The
// object doesn't expire.
func (s *Store) PutRaw(kind, name, spec string) {
	text := strconv.Quote("raw spec of " + name)
	s.raw.Store(text, spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeartbeat[name] = time.Now().Add(rawLifetime)
	s.putLocked(kind, name, json.RawMessage(text))
}

// reply sends a message with the raw specs in their places.
func (s *Store) reply(w http.ResponseWriter, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.raw.Range(func(text, spec any) bool {
		data = bytes.ReplaceAll(data, []byte(text.(string)), []byte(spec.(string)))
		return true
	})
	_, _ = w.Write(data)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.changes = append(s.changes, change{Object: o, Removed: true, kind: kind})
	s.wakeWatchers()
}

// DropHistory drops the history of changes, as the platform's store does under load.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedUpTo, s.changes = s.revision, nil
	s.wakeWatchers()
}

// sortedNames returns the names of objects that follow a name, in order.
func sortedNames(objects map[string]object, after string) []string {
	var out []string
	for n := range objects {
		if n > after {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
