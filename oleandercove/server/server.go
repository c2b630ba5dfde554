// Package server holds the listeners for callers and operators.
//
// Usage:
//
//	s := server.New(server.Options{Handler: h, Catalogue: c})
//	http.Serve(listener, s.Callers())
package server

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/spreader"
)

const (
	// maxBodyBytes bounds the body of a caller's request.
	maxBodyBytes = 4 << 20
	// defaultDeadline applies when the caller names none.
	defaultDeadline = 2 * time.Minute
	// maxDeadline bounds the deadline that a caller may ask for.
	maxDeadline = 10 * time.Minute
	// maxIDLength bounds ids that callers choose.
	maxIDLength = 128
)

// Options configures a Server.
type Options struct {
	Handler   chain.Handler
	Catalogue spreader.Catalogue
	Recorder  recorder.Recorder
	Timer     timer.Service
	Log       *log.Logger
	// Ready tells whether the balancer may send requests.
	Ready func() bool
}

// Server serves callers.
type Server struct{ options Options }

// New returns a Server.
func New(o Options) *Server { return &Server{options: o} }

// Callers returns the HTTP interface for callers.
func (s *Server) Callers() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", s.handleChat)
	r.POST("/v1/completions", s.handleCompletion)
	r.GET("/v1/models", s.handleModels)
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) })
	r.GET("/readyz", s.handleReady)
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		r.Handle(m, "/services/:name/*path", s.handleService)
	}
	return r
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !s.options.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newRequest reads the parts that all requests share.
func (s *Server) newRequest(r *http.Request, kind catalogue.Kind) (*request.Request, error) {
	now := s.options.Timer.Now()
	q := &request.Request{Kind: kind, Arrived: now, IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey)}
	q.Bearer, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	q.ID = unit.RequestID(r.Header.Get(api.HeaderRequestID))
	if q.ID == "" {
		q.ID = unit.RequestID(uuid.NewString())
	}
	if len(q.ID) > maxIDLength || len(q.IdempotencyKey) > maxIDLength {
		return q, verdict.New(verdict.NotRun, verdict.BadRequest, "ids are limited to %d characters", maxIDLength)
	}
	var err error
	if q.Deadline, err = deadline(now, r.Header.Get(api.HeaderDeadline)); err != nil {
		return q, err
	}
	q.Priority, err = priority(r.Header.Get(api.HeaderPriority))
	return q, err
}

func deadline(now time.Time, header string) (time.Time, error) {
	if header == "" {
		return now.Add(defaultDeadline), nil
	}
	ms, err := strconv.Atoi(header)
	if err != nil || ms <= 0 {
		return now, verdict.New(verdict.NotRun, verdict.BadRequest, "%s must be a positive number of milliseconds", api.HeaderDeadline)
	}
	return now.Add(min(time.Duration(ms)*time.Millisecond, maxDeadline)), nil
}

func priority(header string) (engine.Priority, error) {
	switch header {
	case "", "normal":
		return engine.PriorityNormal, nil
	case "high":
		return engine.PriorityHigh, nil
	case "low":
		return engine.PriorityLow, nil
	default:
		return 0, verdict.New(verdict.NotRun, verdict.BadRequest, "%s must be high, normal or low", api.HeaderPriority)
	}
}

// readBody reads a bounded body.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, verdict.TooLarge, "body is limited to %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "read body: %v", err)
	}
	return body, nil
}

// refuse answers with the verdict of an error.
func (s *Server) refuse(w http.ResponseWriter, q *request.Request, err error) {
	v := asVerdict(err)
	s.options.Log.Info("refused a request", "request", q.ID, "account", q.Account, "verdict", v.Verdict, "reason", v.Reason, "detail", v.Detail)
	s.options.Recorder.Record(recorder.Event{Request: q.ID, Part: "server", Decision: "Refuse", Cause: v.Error()})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderRequestID, string(q.ID))
	h.Set(api.HeaderVerdict, string(v.Verdict))
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(v.RetryAfter.Seconds()))))
	}
	w.WriteHeader(v.Reason.Status())
	_ = json.NewEncoder(w).Encode(refusal(v))
}

func refusal(v *verdict.Error) api.Refusal {
	return api.Refusal{Verdict: v.Verdict, Reason: v.Reason, Detail: v.Detail}
}

func asVerdict(err error) *verdict.Error {
	if v, ok := verdict.Of(err); ok {
		return v
	}
	return verdict.New(verdict.MayHaveRun, verdict.Internal, "%v", err)
}
