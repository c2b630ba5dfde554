package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/recorder"
)

// emptyCatalogue is the catalogue of a daemon that has loaded none yet.
type emptyCatalogue struct{ testCatalogue }

func (emptyCatalogue) AccountByToken(string) (*catalogue.Entry, bool) { return nil, false }
func (emptyCatalogue) Ready() bool                                    { return false }

// Guards against a restarted daemon that refuses known accounts as unauthorized before
// it has a catalogue.
func TestStarting(t *testing.T) {
	is := is.New(t)
	clock := timer.NewReal()
	s := New(Options{
		Catalogue: emptyCatalogue{}, Recorder: recorder.New(recorder.Options{Capacity: 1, Timer: clock}),
		Timer: clock, Log: logger.Discard(), Ready: func() bool { return false },
	})
	r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
	r.Header.Set("Authorization", "Bearer t")
	w := httptest.NewRecorder()
	s.CallerHandler().ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.True(strings.Contains(w.Body.String(), `"Verdict":"NotRun","Reason":"Starting"`))
}
