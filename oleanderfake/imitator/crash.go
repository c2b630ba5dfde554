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

// A request whose body, or on a plain server also whose target, contains one of these
// triggers crashes or silences each backend server that begins to run it.
const (
	// CrashTrigger crashes a plain server, or the first engine of a chain.
	CrashTrigger = "ends-its-server"
	// LastEngineCrashTrigger crashes the last engine of a chain.
	LastEngineCrashTrigger = "ends-the-last-engine"
	// HiddenCrashTrigger crashes a plain server that restarts at once under the same id and
	// behind the same open listener, so that no connection attempt fails. The crash shows
	// only in the broken connection and in the start time of the entry.
	HiddenCrashTrigger = "ends-its-server-unseen"
	// SilenceTrigger silences a plain server until its restart: it accepts connections
	// and requests, but never responds to a request that it began to run. It still
	// answers health checks.
	SilenceTrigger = "silences-its-server"
	// restartDelay is the time from a crash to the restart of the process.
	restartDelay = 2 * time.Second
)

// PoisonPart is a part of prompts that crashes each engine that begins to answer a request
// with it.
type PoisonPart struct {
	// ID is the id of the part in hexadecimal.
	ID string
	// AfterHead makes the engine crash a moment after it has sent the head of the answer,
	// and otherwise before that.
	AfterHead bool
}

// answerStart is the time from the head of an answer to its first event.
const answerStart = 50 * time.Millisecond

// SetPoisonPart makes a part crash engines from now on; nil means that none does.
func (s *Site) SetPoisonPart(p *PoisonPart) { s.poison.Store(p) }

// crashOnPart crashes the engine if the prompt has the poison part anywhere.
func (e *Engine) crashOnPart(w http.ResponseWriter, r *http.Request) {
	p := e.site.poison.Load()
	if p == nil || !strings.Contains(r.Header.Get(headerParts), p.ID+":") {
		return
	}
	if p.AfterHead {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		time.Sleep(answerStart)
	}
	e.crash(r.Header.Get(headerAttempt))
	panic(http.ErrAbortHandler)
}

// Crash is a crash, a silence or a replacement of a backend server's process. Attempt is
// the request that caused it; it is empty for a replacement.
type Crash struct {
	Server, Attempt string
	At              time.Time
}

// Crashes returns all crashes in order of time.
func (s *Site) Crashes() []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// hasTrigger reports whether the body or the target of a request contains the trigger.
func hasTrigger(trigger string, body []byte, target string) bool {
	return bytes.Contains(body, []byte(trigger)) || strings.Contains(target, trigger)
}

// crashTarget returns the engine of a path that a request crashes, or nil.
func (e *Engine) crashTarget(body []byte, path []string) *Engine {
	switch {
	case bytes.Contains(body, []byte(CrashTrigger)):
		return e
	case bytes.Contains(body, []byte(LastEngineCrashTrigger)):
		last, _, _ := strings.Cut(path[len(path)-1], "=")
		return e.site.engineAt(last)
	}
	return nil
}

// crashOnTrigger crashes or silences the server if the request contains a trigger. The
// server restarts under another id after CrashTrigger, otherwise under the same.
func (p *Server) crashOnTrigger(attempt string, body []byte, target string) {
	s := p.site
	if hasTrigger(SilenceTrigger, body, target) && p.Silent.CompareAndSwap(false, true) {
		s.mu.Lock()
		s.crashes = append(s.crashes, Crash{Server: p.ID, Attempt: attempt, At: time.Now()})
		s.mu.Unlock()
		time.AfterFunc(restartDelay, func() {
			p.restarts.Add(1)
			p.register()
			p.Silent.Store(false)
		})
	}
	if hasTrigger(HiddenCrashTrigger, body, target) {
		s.mu.Lock()
		s.crashes = append(s.crashes, Crash{Server: p.ID, Attempt: attempt, At: time.Now()})
		s.mu.Unlock()
		p.restarts.Add(1)
		p.register()
		panic(http.ErrAbortHandler)
	}
	if !hasTrigger(CrashTrigger, body, target) {
		return
	}
	defer panic(http.ErrAbortHandler)
	if !s.kill(Crash{Server: p.ID, Attempt: attempt, At: time.Now()}, p.address) {
		return
	}
	s.mu.Lock()
	s.servers = slices.DeleteFunc(s.servers, func(x *Server) bool { return x == p })
	s.mu.Unlock()
	s.scheduleRestart(func() error { return s.startServer(nextID(p.ID), p.address) })
}

// crash crashes the process of the engine, which restarts under another id and without
// layers.
func (e *Engine) crash(attempt string) {
	s := e.site
	if !s.kill(Crash{Server: e.ID, Attempt: attempt, At: time.Now()}, e.address) {
		return
	}
	e.SetDead(true)
	s.scheduleRestart(func() error {
		s.mu.Lock()
		s.engines = slices.DeleteFunc(s.engines, func(x *Engine) bool { return x == e })
		s.mu.Unlock()
		return s.startEngine(nextID(e.ID), e.dataCentre, e.address)
	})
}

// Replace ends the process of a server and starts one with another id at its address. It
// returns ErrNotRunning if the process is not running, or the error of the new listener.
func (s *Site) Replace(p *Server) error {
	if !s.kill(Crash{Server: p.ID, At: time.Now()}, p.address) {
		return ErrNotRunning
	}
	s.mu.Lock()
	s.servers = slices.DeleteFunc(s.servers, func(x *Server) bool { return x == p })
	s.mu.Unlock()
	return s.startServer(nextID(p.ID), p.address)
}

// ErrNotRunning is returned by Replace for a process that is not running.
var ErrNotRunning = errors.New("process is not running")

// kill closes the listener and the connections of a process and records the crash. It
// reports whether the process was running.
func (s *Site) kill(c Crash, address string) bool {
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
		s.ReportViolation("close listener of %s: %v", c.Server, err)
	}
	return true
}

// scheduleRestart calls start after restartDelay unless the site has been closed by then.
func (s *Site) scheduleRestart(start func() error) {
	time.AfterFunc(restartDelay, func() {
		select {
		case <-s.stop:
			return
		default:
		}
		if err := start(); err != nil {
			s.ReportViolation("restart: %v", err)
		}
	})
}

// nextID returns the id of the next instance of a backend server: its name and the number
// of the instance.
func nextID(id string) string {
	name, instance, _ := strings.Cut(id, ".")
	return fmt.Sprintf("%s.%d", name, numberOrZero(instance)+1)
}
