package dispatcher

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/classifier"
)

// Guards against a wrong verdict on a failed Open, which happens when the outcome doesn't
// state correctly what was sent and received.
func TestOpenError(t *testing.T) {
	rows := []struct {
		name    string
		handler http.HandlerFunc // nil: connections are refused
		verdict verdict.Verdict
	}{
		{"a refused connection counts as run", nil, verdict.NotRun},
		{"a cut connection counts as not run", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, verdict.MayHaveRun},
		{"a silent engine counts as not run", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body); <-r.Context().Done() }, verdict.MayHaveRun},
		{"a 503 without proof counts as not run", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, verdict.MayHaveRun},
		{"an error of an engine counts as not run", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, verdict.Ran},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(row.handler)
			defer s.Close()
			if row.handler == nil {
				s.Close()
			}
			d := New(Options{SilenceLimit: 200 * time.Millisecond})
			_, err := d.Open(t.Context(), engine.StreamRequest{Chain: []engine.Stage{{Address: s.Listener.Addr().String()}}})
			var e *OpenError
			is.True(errors.As(err, &e))
			is.Equal(classifier.Classify(e.Outcome), row.verdict)
		})
	}
}

// Guards against a stream that counts as not run although the engine runs it, which happens
// when the engine writes an earlier refusal once more on a kept connection.
func TestRefusalOnKeptConnection(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Verdict", string(verdict.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	d := New(Options{})
	for _, want := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun} {
		_, err := d.Open(t.Context(), engine.StreamRequest{Chain: []engine.Stage{{Address: s.Listener.Addr().String()}}})
		var e *OpenError
		is.True(errors.As(err, &e))
		is.Equal(classifier.Classify(e.Outcome), want)
	}
}

// Guards against a prompt that an engine's redirection sends to another host, and against its
// response that counts as that of the engine.
func TestRedirection(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer other.Close()
	s := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer s.Close()
	_, err := New(Options{}).Open(t.Context(), engine.StreamRequest{Chain: []engine.Stage{{Address: s.Listener.Addr().String()}}})
	var status *StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusTemporaryRedirect)
	is.Equal(received.Load(), int64(0))
}
