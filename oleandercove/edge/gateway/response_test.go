package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
)

// Guards against an engine's error response that is replaced by a failure of the daemon, which
// happens when the connection is closed before the response has been read.
func TestEngineError(t *testing.T) {
	const piece = 4 << 10
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Oleandercove-Attempt-Id", r.Header.Get("X-Oleandercove-Attempt-Id"))
		w.Header().Set("X-Oleandercove-Response-Stamp", "s")
		w.WriteHeader(http.StatusInternalServerError)
		for range 3 {
			_, _ = io.WriteString(w, strings.Repeat("x", piece))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
	}))
	defer s.Close()
	st, _ := newTestStream(t, 0)
	st.started, st.runs, st.sends = false, 1, 1
	st.Exchanger = newTestExchanger()
	w := httptest.NewRecorder()
	st.w, st.r = w, httptest.NewRequest(http.MethodPost, "/a", nil)
	st.call.Request = "1"
	st.r.Header.Set("X-Oleandercove-Attempt-Id", "1")
	st.Meter = newTestGateway().Meter
	ctx, cancel := context.WithCancel(t.Context())
	st.attempt = attempt{cancel: cancel}
	st.messages = st.sendAsync(ctx, backend.Address(s.Listener.Addr().String()), backend.RequestMetadata{})
	is.Equal(st.relay(), stepDone)
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(w.Body.Len(), 3*piece)
}
