package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

// slowBooking sends a booking whose body is complete after a time, and returns the response.
func (s *site) slowBooking(router int, id string, bodyTime time.Duration) response {
	pr, pw := io.Pipe()
	body := "first half, second half"
	go func() {
		_, _ = io.WriteString(pw, body[:10])
		time.Sleep(bodyTime)
		_, _ = io.WriteString(pw, body[10:])
		_ = pw.Close()
	}()
	call := imitator.Call{ID: id, Method: http.MethodPost, Path: imitator.BookPath, Key: imitator.Key, Timeout: 3 * defaultTimeout}
	r, err := call.Request(context.Background(), s.routers[router].CallerAddress)
	if err != nil {
		return response{err: err}
	}
	r.Body, r.ContentLength = pr, int64(len(body))
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// Guards against requests that are sent to a server although they can't end within the grace time
// of a daemon that shuts down, and against requests that end without an answer then.
func TestLateInShutdown(t *testing.T) {
	// No booking ends within the grace time.
	const workTime = 20 * time.Second
	tests := []struct {
		name string
		// sentAfter is the time from the signal to the request, bodyTime the time until its body
		// is complete.
		sentAfter, bodyTime time.Duration
		wantRuns, status    int
	}{
		{"booking ends without an answer", time.Second, 0, 1, http.StatusGatewayTimeout},
		{"booking is sent to a server late in the grace time", time.Second, 4 * time.Second, 0, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSiteWith(t, 1, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 1, WorkTime: workTime})
			is.NoErr(s.routers[0].Terminate())
			time.Sleep(tt.sentAfter)
			got := s.slowBooking(0, "late", tt.bodyTime)
			t.Logf("status %d, %v: %s", got.status, got.err, strings.TrimSpace(got.body))
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.Equal(len(s.Runs.ByAttempt("late")), tt.wantRuns)
			code, err := s.routers[0].WaitExit(10 * time.Second)
			is.NoErr(err)
			is.Equal(code, 0)
		})
	}
}
