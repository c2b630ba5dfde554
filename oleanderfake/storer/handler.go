package storer

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/responder"
)

const maxBodyBytes = 1<<20 + 4096

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/v1/objects/:kind/:name", s.handleRead(s.handleGet))
	r.GET("/v1/objects/:kind", s.handleRead(s.handleList))
	r.PUT("/v1/objects/:kind/:name", s.handleWrite(false))
	r.DELETE("/v1/objects/:kind/:name", s.handleWrite(true))
	r.GET("/v1/watch/:kind", s.handleWatch)
	r.GET("/v1/hosts", s.handleHosts)
	r.PUT("/v1/hosts/:id", s.handleRegister)
	r.Handler(http.MethodGet, "/journal", s.journal)
	r.POST("/faults", s.handleFaults)
	r.GET("/calls", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		responder.Write(w, http.StatusOK, s.calls.snapshot())
	})
	return r
}

// injectFaults applies the faults that precede the effect of a call. It returns false if the
// call needs no further handling. It blocks for the injected delay, and with Hang until the
// request is done.
func (s *Store) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	f := s.faults.get()
	if d := s.faults.delay(); d > 0 {
		time.Sleep(d)
	}
	if f.Hang {
		<-r.Context().Done()
		return false
	}
	if f.Down {
		http.Error(w, "injected outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// handleRead applies the injected faults and the rate limit before a read.
func (s *Store) handleRead(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.calls.reads.Add(1)
		if !s.injectFaults(w, r) {
			return
		}
		if !s.faults.reads.Allow() {
			s.calls.limited.Add(1)
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		next(w, r, p)
	}
}

func (s *Store) handleGet(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	o, ok := s.get(platform.Kind(p.ByName("kind")), p.ByName("name"))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	responder.Write(w, http.StatusOK, o)
}

func (s *Store) handleList(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	l, _ := s.list(platform.Kind(p.ByName("kind")), unit.Revision{})
	responder.Write(w, http.StatusOK, l)
}

// handleWrite applies the injected faults and the rate limit before a write.
func (s *Store) handleWrite(deleted bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.calls.writes.Add(1)
		if !s.injectFaults(w, r) {
			return
		}
		if !s.faults.writes.Allow() {
			s.calls.limited.Add(1)
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		s.applyWrite(w, r, p, deleted)
	}
}

func (s *Store) applyWrite(w http.ResponseWriter, r *http.Request, p httprouter.Params, deleted bool) {
	expected, err := strconv.ParseUint(r.Header.Get("If-Version"), 10, 64)
	if err != nil {
		http.Error(w, "If-Version is missing or not a number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || (!deleted && !json.Valid(value)) {
		http.Error(w, "value is too large or not JSON", http.StatusBadRequest)
		return
	}
	f := s.faults.get()
	if withProbability(f.LoseWrites) {
		closeConnection(w)
		return
	}
	o, ok := s.put(platform.Kind(p.ByName("kind")), p.ByName("name"), unit.Version(expected), r.Header.Get("Write-Id"), value, deleted)
	switch {
	case withProbability(f.LoseAnswers):
		closeConnection(w)
	case !ok:
		http.Error(w, "version conflict", http.StatusConflict)
	default:
		responder.Write(w, http.StatusOK, o)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.calls.watches.Add(1)
	if !s.injectFaults(w, r) {
		return
	}
	after, err1 := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait"))
	if err1 != nil || err2 != nil {
		http.Error(w, "after or wait is not a number", http.StatusBadRequest)
		return
	}
	l := s.watch(r.Context(), platform.Kind(p.ByName("kind")), unit.Revision{Number: after}, time.Duration(wait)*time.Millisecond)
	if !s.injectFaults(w, r) {
		return
	}
	responder.Write(w, http.StatusOK, l)
}

func (s *Store) handleHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.calls.hosts.Add(1)
	if !s.injectFaults(w, r) {
		return
	}
	responder.Write(w, http.StatusOK, s.hosts.list(time.Now()))
}

func (s *Store) handleRegister(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var h platform.Host
	if !responder.Read(w, r, &h) {
		return
	}
	if !s.faults.get().StaleHosts {
		s.hosts.register(h, time.Now())
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if !responder.Read(w, r, &f) {
		return
	}
	s.faults.set(f)
	w.WriteHeader(http.StatusNoContent)
}
