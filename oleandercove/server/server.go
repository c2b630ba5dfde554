// Package server is the HTTP interface for callers: model completions, the model
// list and service calls.
//
// It reads the headers and the body of a request, passes the request to the filter
// chain, and writes the response or the refusal with its verdict.
//
// Usage:
//
//	s := server.New(server.Options{Handler: h, Catalogue: c})
//	http.Serve(listener, s.CallerHandler())
package server

import (
	"encoding/json"
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
	// startRetryAfter is how long a caller should wait before it retries at a
	// daemon that is starting.
	startRetryAfter = time.Second
	// defaultDeadline applies when the caller sets none.
	defaultDeadline = 2 * time.Minute
	// maxDeadline bounds the deadline that a caller may set.
	maxDeadline = 10 * time.Minute
	// maxIDLength bounds the request ids and idempotency keys of callers, in bytes.
	maxIDLength = 128
)

// Options configures a Server.
type Options struct {
	Handler   chain.Handler
	Catalogue spreader.Catalogue
	Recorder  recorder.Recorder
	Timer     timer.Service
	Log       *log.Logger
	// Ready reports whether the load balancer may send requests.
	Ready func() bool
	// CheckDraining returns the refusal of new requests during a shutdown, else nil.
	// The function may be nil.
	CheckDraining func() error
	// OnDone is called at the end of each request; it may be nil.
	OnDone func(kind catalogue.Kind, err error)
	// BodyTimeout bounds the time for the body of a request; 0 means the default.
	BodyTimeout time.Duration
}

// Server serves callers.
type Server struct{ options Options }

// New returns a Server.
func New(o Options) *Server { return &Server{options: o} }

// CallerHandler returns the HTTP interface for callers.
func (s *Server) CallerHandler() http.Handler {
	r := httprouter.New()
	// A redirect would leave the caller without a verdict.
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.NotFound, r.MethodNotAllowed = s.refuseRoute(verdict.UnknownPath), s.refuseRoute(verdict.WrongMethod)
	r.POST("/v1/chat/completions", s.handleChat)
	r.POST("/v1/completions", s.handleCompletion)
	r.GET("/v1/models", s.handleModels)
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) })
	r.GET("/readyz", s.handleReady)
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		r.Handle(m, "/services/:name/*path", s.handleService)
	}
	return s.limitBodyTime(r)
}

// refuseRoute returns a handler that refuses requests without a route.
func (s *Server) refuseRoute(reason verdict.Reason) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, _ := s.newRequest(r, "")
		s.refuseUnread(w, r, q, verdict.New(verdict.NotRun, reason, "no route for %s %s", r.Method, r.URL.Path))
	})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !s.options.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// startRequest reads the headers and reports whether the request may proceed; if
// not, it has written the refusal. The body of a caller without a known token
// is never read.
func (s *Server) startRequest(w http.ResponseWriter, r *http.Request, kind catalogue.Kind) (*request.Request, bool) {
	q, err := s.newRequest(r, kind)
	// Without a catalogue, known and unknown tokens can't be distinguished.
	if !s.options.Catalogue.Ready() {
		err = verdict.New(verdict.NotRun, verdict.Starting, "no catalogue yet").WithRetryAfter(startRetryAfter)
	} else if _, ok := s.options.Catalogue.AccountByToken(q.Bearer); !ok {
		err = verdict.New(verdict.NotRun, verdict.Unauthorized, "bearer token is missing or unknown")
	}
	if s.options.CheckDraining != nil {
		if refusal := s.options.CheckDraining(); refusal != nil {
			err = refusal
		}
	}
	if err != nil {
		s.refuseUnread(w, r, q, err)
	}
	return q, err == nil
}

// refuseUnread refuses a request whose body was not read. It closes the
// connection, because net/http would read the body before it sends the refusal.
func (s *Server) refuseUnread(w http.ResponseWriter, r *http.Request, q *request.Request, err error) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	s.refuse(w, q, err)
}

func (s *Server) reportDone(q *request.Request, err error) {
	if s.options.OnDone != nil {
		s.options.OnDone(q.Kind, err)
	}
}

// newRequest reads the headers that all kinds of requests share. After an error
// the request is still valid for a refusal.
func (s *Server) newRequest(r *http.Request, kind catalogue.Kind) (*request.Request, error) {
	now := s.options.Timer.Now()
	q := &request.Request{Kind: kind, Arrived: now, IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey)}
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		q.Bearer = token
	}
	q.ID = unit.RequestID(r.Header.Get(api.HeaderRequestID))
	if q.ID == "" {
		q.ID = unit.RequestID(uuid.NewString())
	}
	if !validID(string(q.ID)) || !validID(q.IdempotencyKey) {
		return q, verdict.New(verdict.NotRun, verdict.BadRequest, "ids are limited to %d visible ASCII characters", maxIDLength)
	}
	var err error
	if q.Deadline, err = parseDeadline(now, r.Header.Get(api.HeaderDeadline)); err != nil {
		return q, err
	}
	q.Priority, err = parsePriority(r.Header.Get(api.HeaderPriority))
	return q, err
}

func validID(id string) bool {
	invisible := func(c rune) bool { return c <= ' ' || c > '~' }
	return len(id) <= maxIDLength && strings.IndexFunc(id, invisible) < 0
}

func parseDeadline(now time.Time, header string) (time.Time, error) {
	if header == "" {
		return now.Add(defaultDeadline), nil
	}
	ms, err := strconv.Atoi(header)
	if err != nil || ms <= 0 {
		return now, verdict.New(verdict.NotRun, verdict.BadRequest, "%s must be a positive number of milliseconds", api.HeaderDeadline)
	}
	ms = min(ms, int(maxDeadline.Milliseconds()))
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

func parsePriority(header string) (engine.Priority, error) {
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

// refuse writes the verdict of an error to the caller, the log and the recorder.
func (s *Server) refuse(w http.ResponseWriter, q *request.Request, err error) {
	v := asVerdict(err)
	s.reportDone(q, v)
	setWriteDeadline(w)
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
	_ = json.NewEncoder(w).Encode(refusalBody(v))
}

func refusalBody(v *verdict.Error) api.Refusal {
	return api.Refusal{Verdict: v.Verdict, Reason: v.Reason, Detail: v.Detail}
}

func asVerdict(err error) *verdict.Error {
	if v, ok := verdict.FromError(err); ok {
		return v
	}
	return verdict.New(verdict.MayHaveRun, verdict.Internal, "%v", err)
}
