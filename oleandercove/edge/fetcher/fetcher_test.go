package fetcher

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against large answers that are cut off and begun again from nothing because a link is
// slow, and against daemons that wait for a peer that sends nothing, or sends without end.
func TestStall(t *testing.T) {
	const pause, piece = 20 * time.Millisecond, 1 << 10
	options := Options{Dial: 200 * time.Millisecond, FirstByte: 200 * time.Millisecond, Stall: 200 * time.Millisecond, Total: 1500 * time.Millisecond, MaxBytes: 1 << 20}
	tests := []struct {
		name string
		// before is the time to the first byte; pieces follow after a pause each, and after the
		// piece silentAfter, if positive, nothing.
		before              time.Duration
		pieces, silentAfter int
		stalled, ok         bool
		atMost              time.Duration
	}{
		{"a slow answer is cut off", 0, 30, 0, false, true, options.Total},
		{"a silent peer holds the daemon", 5 * time.Second, 1, 0, true, false, options.FirstByte + lastChance + 200*time.Millisecond},
		{"a peer that falls silent holds the daemon", 0, 30, 5, true, false, 5*pause + 2*options.Stall + lastChance + 200*time.Millisecond},
		{"a peer that sends without end holds the daemon", 0, 1000, 0, false, false, options.Total + 200*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				wait := func(d time.Duration) {
					select {
					case <-time.After(d):
					case <-r.Context().Done():
					}
				}
				wait(tt.before)
				for i := range tt.pieces {
					if tt.silentAfter > 0 && i == tt.silentAfter {
						wait(time.Minute)
					}
					if _, err := w.Write(bytes.Repeat([]byte("x"), piece)); err != nil {
						return
					}
					_ = http.NewResponseController(w).Flush()
					wait(pause)
				}
			}))
			defer server.Close()
			began := time.Now()
			a, err := New(options).Get(t.Context(), server.URL)
			t.Log(time.Since(began), err)
			is.Equal(errors.Is(err, ErrStalled), tt.stalled)
			is.Equal(err == nil, tt.ok)
			is.True(!tt.ok || len(a.Body) == tt.pieces*piece)
			is.True(time.Since(began) < tt.atMost)
		})
	}
}

// Guards against an answer that is thrown away although it is here, because a process that was not
// run for a while finds its timer due first.
func TestLastChance(t *testing.T) {
	is := is.New(t)
	expired := 0
	w := newWatchdog(time.Hour, time.Hour, func() { expired++ })
	defer w.stop()
	w.check()
	is.Equal(expired, 0) // due, but the reader has not run yet
	w.progress()
	w.check()
	w.check()
	is.Equal(expired, 0)
	w.check()
	is.Equal(expired, 1)
}
