// Package operator is the HTTP interface for operators.
//
// Every call needs the bearer token from the settings. The response to an edit
// states its outcome, or that the outcome is unknown.
//
// Usage:
//
//	o := operator.New(operator.Options{Token: "...", Editor: e, Catalogue: c})
//	http.Serve(listener, o.Handler())
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/api"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/dumper"
	"oleandercove.example/oleandercove/editor"
	"oleandercove.example/oleandercove/marker"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/spreader"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// maxBodyBytes bounds the body of an operator's request; it is the
	// platform's limit on a value.
	maxBodyBytes = 1 << 20
	// maxNameBytes bounds the name of an operator, which the history stores.
	maxNameBytes = 128
	// defaultOperator is the author of edits whose request names no operator.
	defaultOperator = "operator"
)

// Options configures a Server.
type Options struct {
	// Host is the id of this entry host.
	Host unit.HostID
	// Token is the bearer token of the operators; it must not be empty.
	Token     string
	Catalogue spreader.Catalogue
	Editor    editor.Editor
	Backends  watcher.Backends
	Tracker   *tracker.Tracker
	Recorder  recorder.Recorder
	Dumper    *dumper.Registry
	Marks     marker.Marks
	// Hosts reads the platform's list of hosts.
	Hosts func(ctx context.Context) ([]platform.Host, error)
	// Metrics serves GET /metrics; if nil, the path answers with status 404.
	Metrics http.Handler
	Log     *log.Logger
}

// Server serves operators.
type Server struct{ options Options }

// New returns a Server.
func New(o Options) *Server { return &Server{options: o} }

// Handler returns the HTTP interface for operators.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/v1/entries", s.listEntries)
	r.GET("/v1/entries/:kind/:name", s.getEntry)
	r.GET("/v1/entries/:kind/:name/history", s.getHistory)
	r.PUT("/v1/entries/:kind/:name", s.putEntry)
	r.PATCH("/v1/entries/:kind/:name", s.patchEntry)
	r.DELETE("/v1/entries/:kind/:name", s.deleteEntry)
	r.GET("/v1/hosts", s.getHosts)
	r.GET("/v1/backends", s.getBackends)
	r.GET("/v1/dump", s.getDump)
	r.GET("/v1/explain/:id", s.getExplanation)
	r.POST("/v1/drain", s.postDrain)
	if s.options.Metrics != nil {
		r.Handler(http.MethodGet, "/metrics", s.options.Metrics)
	}
	return s.authenticate(r)
}

// authenticate refuses requests without the operators' token. It compares hashes
// in constant time, so that the time of the response reveals neither the content
// nor the length of the token.
func (s *Server) authenticate(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.options.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderHost, string(s.options.Host))
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if s.options.Token == "" || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			s.refuse(w, verdict.New(verdict.NotRun, verdict.Unauthorized, "bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// author returns the name of the operator who sent the request.
func author(r *http.Request) (string, error) {
	name := strings.TrimSpace(r.Header.Get(api.HeaderOperator))
	if name == "" {
		return defaultOperator, nil
	}
	if len(name) > maxNameBytes {
		return "", verdict.New(verdict.NotRun, verdict.BadRequest, "%s is limited to %d bytes", api.HeaderOperator, maxNameBytes)
	}
	return name, nil
}
