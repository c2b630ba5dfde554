// Package booker simulates a plain service with reads and bookings; a booking is not
// idempotent.
//
// Usage:
//
//	b, err := booker.New(booker.Options{Backend: "s1"})
//	http.ListenAndServe(address, b.Handler())
package booker

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/journaler"
	"oleandercove.example/oleanderfake/responder"
)

const maxBodyBytes = 1 << 20

// Options configures a Service.
type Options struct {
	Backend unit.BackendID
	// Delay is the execution time of each call.
	Delay time.Duration
	// Journal is the file of the journal; empty keeps the journal in memory.
	Journal string
}

// Record is a call that the service ran.
type Record struct {
	Backend unit.BackendID
	Method  string
	Path    string
	Key     string
	Body    string
	At      time.Time
}

// Faults are the injected faults of a service.
type Faults struct {
	// CutAfter closes the connection after the call ran, without a response.
	CutAfter bool
	// CutBefore closes the connection before the call runs.
	CutBefore bool
	// DelayMs is the least execution time of each call, in milliseconds.
	DelayMs int
}

// Service is a simulated backend server of the service.
type Service struct {
	options  Options
	journal  *journaler.Journal[Record]
	bookings atomic.Int64
	draining atomic.Bool

	mu     sync.Mutex
	faults Faults
}

// New returns a backend server, or the error of opening the journal.
func New(o Options) (*Service, error) {
	j, err := journaler.New[Record](o.Journal)
	return &Service{options: o, journal: j}, err
}

// Drain makes the health check answer with status 503, as a server that shuts down does.
func (s *Service) Drain() { s.draining.Store(true) }

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.Handler(http.MethodGet, "/journal", s.journal)
	r.POST("/faults", s.handleFaults)
	r.NotFound = http.HandlerFunc(s.handleCall)
	return r
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if !responder.Read(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Answer is the body of every successful response. Number is the number of the booking,
// and empty for a read.
type Answer struct {
	Backend unit.BackendID
	Number  string
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.CutBefore {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(max(s.options.Delay, time.Duration(f.DelayMs)*time.Millisecond))
	s.journal.Append(Record{
		Backend: s.options.Backend, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), Body: string(body), At: time.Now(),
	})
	if f.CutAfter {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		responder.Write(w, http.StatusOK, Answer{Backend: s.options.Backend})
		return
	}
	n := s.bookings.Add(1)
	responder.Write(w, http.StatusCreated, Answer{Backend: s.options.Backend, Number: string(s.options.Backend) + "-" + strconv.FormatInt(n, 10)})
}
