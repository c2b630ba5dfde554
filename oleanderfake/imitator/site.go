// Package imitator stands in for the users' platform: its store, the engines of a
// model and the servers of a plain service, at the level of their interfaces.
//
// It spells the names of the wire itself and shares none with the adapter, so that
// a mistake in the adapter shows. Each daemon has a door of its own to the store,
// which can turn it away, answer late, or lose answers.
//
// Usage:
//
//	s, err := imitator.New(imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 2})
//	defer s.Close()
//	s.Configure(imitator.Key)
//	d, err := s.OpenDoor("127.0.0.1:0")
//	fmt.Println(d.Address)
package imitator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The configuration of a site.
const (
	Host       = "orders.example"
	ModelPath  = "/reports/"
	BookPath   = "/bookings/"
	StatusPath = "/status/"
	Account    = "depot"
	Key        = "key-of-depot"
	OtherKey   = "key-of-harbour"
	// ModelLayers is the number of layers of the model.
	ModelLayers  = 8
	modelService = "model-service"
	plainService = "plain-service"
)

// Options says what a site consists of.
type Options struct {
	DataCentres []string
	// Engines is the number of engines in each data centre.
	Engines int
	// Servers is the number of servers of the plain service.
	Servers int
	// Work is how long a request to the plain service takes.
	Work time.Duration
	// Slots is how many requests a plain server runs at once; it rejects others. 0
	// means no bound.
	Slots int64
}

// Site is a platform with backend servers.
type Site struct {
	Store *Store
	Runs  *Runs

	options   Options
	mu        sync.Mutex
	engines   []*Engine
	servers   []*Server
	crashes   []Crash
	faults    []string
	version   int
	listeners map[string]*http.Server
	stop      chan struct{}
	ended     sync.Once
}

// New starts the store and the backend servers of a site, which register there.
func New(o Options) (*Site, error) {
	s := &Site{Store: newStore(), Runs: &Runs{byID: map[string][]Run{}}, options: o, listeners: map[string]*http.Server{}, stop: make(chan struct{})}
	for _, dc := range o.DataCentres {
		for i := range o.Engines {
			if err := s.startEngine(fmt.Sprintf("engine-%s%d", dc, i), dc, anyPort); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	for i := range o.Servers {
		if err := s.startServer(fmt.Sprintf("plain-%d", i+1), anyPort); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	go s.beat()
	return s, nil
}

// beat lets the backend servers that live give signs of life, and write their
// entry again if it is gone.
func (s *Site) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.stop:
			return
		}
		for _, e := range s.Engines() {
			if e.alive() && !s.Store.beat(e.ID) {
				e.register()
			}
		}
		for _, p := range s.Servers() {
			if !s.Store.beat(p.ID) {
				p.register()
			}
		}
		s.Store.expire(silentBeats * heartbeat)
	}
}

// Close ends all listeners.
func (s *Site) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended.Do(func() { close(s.stop) })
	var err error
	for _, l := range s.listeners {
		err = errors.Join(err, l.Close())
	}
	clear(s.listeners)
	return err
}

// serve starts a listener and returns its address.
func (s *Site) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	s.mu.Lock()
	s.listeners[l.Addr().String()] = srv
	s.mu.Unlock()
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.Fault("listener %s: %v", l.Addr(), err)
		}
	}()
	return l.Addr().String(), nil
}

// Fault records a broken promise that a stand-in saw.
func (s *Site) Fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// Faults returns the broken promises so far.
func (s *Site) Faults() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.faults)
}

// Engines returns the engines of the model.
func (s *Site) Engines() []*Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.engines)
}

// Servers returns the servers of the plain service.
func (s *Site) Servers() []*Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.servers)
}

// Covered tells whether the engines that live hold all layers.
func (s *Site) Covered() bool {
	var have [ModelLayers]bool
	for _, e := range s.Engines() {
		for l := range have {
			have[l] = have[l] || e.Holds(l, l+1)
		}
	}
	return !slices.Contains(have[:], false)
}

func (s *Site) engineAt(address string) *Engine {
	for _, e := range s.Engines() {
		if e.address == address {
			return e
		}
	}
	return nil
}

// reply writes a message. A caller that has gone sees that by itself.
func reply(w http.ResponseWriter, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
