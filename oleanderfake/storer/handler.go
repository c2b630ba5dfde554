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
	r.GET("/v1/objects/:kind/:name", s.read(s.handleGet))
	r.GET("/v1/objects/:kind", s.read(s.handleList))
	r.PUT("/v1/objects/:kind/:name", s.write(false))
	r.DELETE("/v1/objects/:kind/:name", s.write(true))
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

// disturb applies the injected faults that come before a call takes effect
// and returns false if the call was answered or cut.
func (s *Store) disturb(w http.ResponseWriter, r *http.Request) bool {
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

func (s *Store) read(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.calls.reads.Add(1)
		if !s.disturb(w, r) {
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
	l, _ := s.list(platform.Kind(p.ByName("kind")), 0)
	responder.Write(w, http.StatusOK, l)
}

func (s *Store) write(deleted bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.calls.writes.Add(1)
		if !s.disturb(w, r) {
			return
		}
		if !s.faults.writes.Allow() {
			s.calls.limited.Add(1)
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		s.apply(w, r, p, deleted)
	}
}

func (s *Store) apply(w http.ResponseWriter, r *http.Request, p httprouter.Params, deleted bool) {
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
	if draw(f.LoseWrites) {
		cut(w)
		return
	}
	o, ok := s.put(platform.Kind(p.ByName("kind")), p.ByName("name"), unit.Version(expected), r.Header.Get("Write-Id"), value, deleted)
	switch {
	case draw(f.LoseAnswers):
		cut(w)
	case !ok:
		http.Error(w, "version conflict", http.StatusConflict)
	default:
		responder.Write(w, http.StatusOK, o)
	}
}

// cut closes the connection without an answer.
func cut(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.calls.watches.Add(1)
	if !s.disturb(w, r) {
		return
	}
	after, err1 := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait"))
	if err1 != nil || err2 != nil {
		http.Error(w, "after or wait is not a number", http.StatusBadRequest)
		return
	}
	l := s.watch(r.Context(), platform.Kind(p.ByName("kind")), unit.Revision(after), time.Duration(wait)*time.Millisecond)
	if !s.disturb(w, r) {
		return
	}
	responder.Write(w, http.StatusOK, l)
}

func (s *Store) handleHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.calls.hosts.Add(1)
	if !s.disturb(w, r) {
		return
	}
	responder.Write(w, http.StatusOK, s.hosts.read(time.Now()))
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
