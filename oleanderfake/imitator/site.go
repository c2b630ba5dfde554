// Package imitator simulates the users' platform: its store, the engines of a model and
// the servers of a plain service, at the level of their interfaces.
//
// It defines the names on the wire itself and shares none with the adapter, so that a
// mistake in the adapter is detected. Each daemon reaches the store through an Endpoint of
// its own, which can refuse calls, delay responses or drop them.
//
// Usage:
//
//	s, err := imitator.New(imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 2})
//	defer s.Close()
//	s.Configure(imitator.Key)
//	e, err := s.OpenEndpoint("127.0.0.1:0")
//	fmt.Println(e.Address)
package imitator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Names and paths in the configuration of a site.
const (
	Host       = "orders.example"
	ModelPath  = "/reports/"
	UrgentPath = "/urgent/"
	BookPath   = "/bookings/"
	StatusPath = "/status/"
	// OpenPath needs no key.
	OpenPath = "/open/"
	Account  = "depot"
	Key      = "key-of-depot"
	OtherKey = "key-of-harbour"
	// ModelLayers is the number of layers of the model.
	ModelLayers  = 8
	modelService = "model-service"
	plainService = "plain-service"
)

// Options sets the parts of a site.
type Options struct {
	DataCentres []string
	// Engines is the number of engines in each data centre.
	Engines int
	// EventTime is the time between two events of a stream; 0 means 15 ms.
	EventTime time.Duration
	// Servers is the number of servers of the plain service.
	Servers int
	// WorkTime is how long a request to the plain service takes.
	WorkTime time.Duration
	// Slots is the number of requests that a plain server runs at once; it rejects
	// others. 0 means no limit.
	Slots int64
	// BodyBytes is the largest body of a request; 0 means 64 KiB.
	BodyBytes int
}

// Site is a simulated platform with its backend servers.
type Site struct {
	Store *Store
	Runs  *Runs

	options Options
	// loadTime is how long engines load layers, in nanoseconds.
	loadTime   atomic.Int64
	mu         sync.Mutex
	engines    []*Engine
	servers    []*Server
	crashes    []Crash
	violations []string
	version    int
	// configuration is the last one that was written.
	configuration configurationSpec
	// connections counts the open connections by address.
	connections map[string]int
	listeners   map[string]*http.Server
	stop        chan struct{}
	closeOnce   sync.Once

	resumeFault atomic.Pointer[ResumeFault]
	poison      atomic.Pointer[PoisonPart]
}

// New starts the store and the backend servers of a site, which register in the store. It
// returns an error if a listener fails to start.
func New(o Options) (*Site, error) {
	s := &Site{Store: newStore(), Runs: &Runs{byID: map[string][]Run{}}, options: o, connections: map[string]int{}, listeners: map[string]*http.Server{}, stop: make(chan struct{})}
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
	go s.sendHeartbeats()
	return s, nil
}

// sendHeartbeats sends the heartbeats of the live backend servers until the site is
// closed. A server whose entry has been removed registers again.
func (s *Site) sendHeartbeats() {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.stop:
			return
		}
		for _, e := range s.Engines() {
			if e.alive() && !s.Store.recordHeartbeat(e.ID) {
				e.register()
			}
		}
		for _, p := range s.Servers() {
			if !p.withdrawn.Load() && !s.Store.recordHeartbeat(p.ID) {
				p.register()
			}
		}
		s.Store.expire(maxMissedHeartbeats * heartbeatInterval)
	}
}

// SetLoadTime sets how long engines load layers from now on. It is 0 at first.
func (s *Site) SetLoadTime(d time.Duration) { s.loadTime.Store(int64(d)) }

// Close closes all listeners and their connections.
func (s *Site) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeOnce.Do(func() { close(s.stop) })
	var err error
	for _, l := range s.listeners {
		err = errors.Join(err, l.Close())
	}
	clear(s.listeners)
	return err
}

// serve starts an HTTP server at an address and returns the address of its listener.
func (s *Site) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ConnState: s.countConnections(l.Addr().String())}
	s.mu.Lock()
	s.listeners[l.Addr().String()] = srv
	s.mu.Unlock()
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.ReportViolation("listener %s: %v", l.Addr(), err)
		}
	}()
	return l.Addr().String(), nil
}

// countConnections returns a function that counts the open connections to an address.
func (s *Site) countConnections(address string) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.connections[address]++
		case http.StateClosed, http.StateHijacked:
			s.connections[address]--
		}
	}
}

// ReportViolation records a violation of the platform's contract that the simulation
// detected.
func (s *Site) ReportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations recorded so far.
func (s *Site) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
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

// Covered reports whether the live engines together hold all layers.
func (s *Site) Covered() bool {
	var covered [ModelLayers]bool
	for _, e := range s.Engines() {
		for l := range covered {
			covered[l] = covered[l] || e.Holds(l, l+1)
		}
	}
	return !slices.Contains(covered[:], false)
}

func (s *Site) engineAt(address string) *Engine {
	for _, e := range s.Engines() {
		if e.address == address {
			return e
		}
	}
	return nil
}

// reply writes a message as JSON. It ignores write errors: they mean that the caller has
// closed the connection.
func reply(w http.ResponseWriter, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
