package imitator

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// A request whose body or target holds one of these words ends the process of each
// backend server that begins to run it.
const (
	// EndsServer ends a plain server, or the first engine of a chain.
	EndsServer = "ends-its-server"
	// EndsLastEngine ends the last engine of a chain.
	EndsLastEngine = "ends-the-last-engine"
	// EndsUnseen ends a plain server that starts again at once behind a listener that
	// stays open, so that only its connections show it.
	EndsUnseen = "ends-its-server-unseen"
	// SilencesServer lets a plain server fall silent: it takes connections and answers
	// nothing on any of them until it starts again.
	SilencesServer = "silences-its-server"
	// restartTime is how long a process that has ended is away.
	restartTime = 2 * time.Second
)

// Crash is the end of a backend server's process under a request.
type Crash struct {
	Server, Attempt string
	At              time.Time
}

// Crashes returns the ends of processes in order of time.
func (s *Site) Crashes() []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

func contains(word string, body []byte, target string) bool {
	return bytes.Contains(body, []byte(word)) || strings.Contains(target, word)
}

// endedBy returns the engine of a path that a request ends, or nil.
func (e *Engine) endedBy(body []byte, path []string) *Engine {
	switch {
	case bytes.Contains(body, []byte(EndsServer)):
		return e
	case bytes.Contains(body, []byte(EndsLastEngine)):
		last, _, _ := strings.Cut(path[len(path)-1], "=")
		return e.site.engineAt(last)
	}
	return nil
}

// crash ends the process of the server if the request does that. It starts again under
// another id, unless nobody sees it.
func (p *Server) crash(attempt string, body []byte, target string) {
	s := p.site
	if contains(SilencesServer, body, target) && p.silent.CompareAndSwap(false, true) {
		s.mu.Lock()
		s.crashes = append(s.crashes, Crash{Server: p.ID, Attempt: attempt, At: time.Now()})
		s.mu.Unlock()
		time.AfterFunc(restartTime, func() {
			p.starts.Add(1)
			p.register()
			p.silent.Store(false)
		})
	}
	if contains(EndsUnseen, body, target) {
		s.mu.Lock()
		s.crashes = append(s.crashes, Crash{Server: p.ID, Attempt: attempt, At: time.Now()})
		s.mu.Unlock()
		p.starts.Add(1)
		p.register()
		panic(http.ErrAbortHandler)
	}
	if !contains(EndsServer, body, target) {
		return
	}
	defer panic(http.ErrAbortHandler)
	if !s.end(Crash{Server: p.ID, Attempt: attempt, At: time.Now()}, p.address) {
		return
	}
	s.mu.Lock()
	s.servers = slices.DeleteFunc(s.servers, func(x *Server) bool { return x == p })
	s.mu.Unlock()
	s.afterRestart(func() error { return s.startServer(nextID(p.ID), p.address) })
}

// crash ends the process of the engine. It starts again under another id, without
// layers.
func (e *Engine) crash(attempt string) {
	s := e.site
	if !s.end(Crash{Server: e.ID, Attempt: attempt, At: time.Now()}, e.address) {
		return
	}
	e.SetDead(true)
	s.afterRestart(func() error {
		s.mu.Lock()
		s.engines = slices.DeleteFunc(s.engines, func(x *Engine) bool { return x == e })
		s.mu.Unlock()
		return s.startEngine(nextID(e.ID), e.dataCentre, e.address)
	})
}

// Replace ends the process of a server and starts one with another id at its address.
func (s *Site) Replace(p *Server) error {
	if !s.end(Crash{Server: p.ID, At: time.Now()}, p.address) {
		return ErrEnded
	}
	s.mu.Lock()
	s.servers = slices.DeleteFunc(s.servers, func(x *Server) bool { return x == p })
	s.mu.Unlock()
	return s.startServer(nextID(p.ID), p.address)
}

// ErrEnded is returned for a process that is not running.
var ErrEnded = errors.New("the process has ended before")

// end closes the listener and the connections of a process, and tells whether it was
// running.
func (s *Site) end(c Crash, address string) bool {
	s.mu.Lock()
	l := s.listeners[address]
	if l != nil {
		s.crashes = append(s.crashes, c)
	}
	delete(s.listeners, address)
	s.mu.Unlock()
	if l == nil {
		return false
	}
	if err := l.Close(); err != nil {
		s.Fault("end of %s: %v", c.Server, err)
	}
	return true
}

// afterRestart starts a process again unless the site has been closed.
func (s *Site) afterRestart(start func() error) {
	time.AfterFunc(restartTime, func() {
		select {
		case <-s.stop:
			return
		default:
		}
		if err := start(); err != nil {
			s.Fault("restart: %v", err)
		}
	})
}

// nextID returns the id of the next run of a backend server: the name with the number
// of the run.
func nextID(id string) string {
	name, run, _ := strings.Cut(id, ".")
	return fmt.Sprintf("%s.%d", name, number(run)+1)
}
