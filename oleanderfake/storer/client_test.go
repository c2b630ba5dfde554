package storer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandercove.example/core/platform"
)

// newClient returns a store, a client of its HTTP interface, and a function that closes the
// connections of the client.
func newClient(o platform.Options) (*Store, platform.Client, func()) {
	s := New(Options{})
	h := httptest.NewServer(s.Handler())
	o.Address = h.Listener.Addr().String()
	return s, platform.NewClient(o), h.CloseClientConnections
}

// Guards against writes whose outcome is reported wrongly or too late, which happens when
// the platform is slow, unavailable, or loses writes or answers.
func TestClientWrite(t *testing.T) {
	rows := []struct {
		name   string
		faults Faults
		err    error
		limit  time.Duration
	}{
		{"a plain write fails", Faults{}, nil, time.Second},
		{"a write with a lost answer is reported as unknown", Faults{LoseAnswers: 1}, nil, time.Second},
		{"a lost write is reported as done", Faults{LoseWrites: 1}, platform.ErrOutcomeUnknown, time.Second},
		{"a write in an outage is reported as unknown", Faults{Down: true}, platform.ErrUnavailable, time.Second},
		{"a write that hangs is reported as refused", Faults{Hang: true}, platform.ErrOutcomeUnknown, 5 * time.Second},
		{"a slow platform fails writes", Faults{SlowMs: 100}, nil, 5 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s, c, stop := newClient(platform.Options{})
			defer stop()
			s.faults.set(row.faults)
			start := time.Now()
			_, err := c.Put(t.Context(), "Test", "a", 0, json.RawMessage("1"))
			is.True(errors.Is(err, row.err))
			is.True(time.Since(start) < row.limit)
		})
	}
}

// Guards against a conflict with another writer that the client mistakes for its own write
// with a lost answer.
func TestClientConflict(t *testing.T) {
	is := is.New(t)
	s, c, stop := newClient(platform.Options{})
	defer stop()
	_, _ = s.put("Test", "a", 0, "other", json.RawMessage("1"), false)
	s.faults.set(Faults{LoseAnswers: 0.5})
	for range 50 {
		_, err := c.Put(t.Context(), "Test", "a", 0, json.RawMessage("2"))
		is.True(errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown))
	}
	o, _ := s.get("Test", "a")
	is.Equal(o.WriteID, "other")
}

// Guards against callers that block during an outage, and against a breaker that stays open
// after it.
func TestClientOutage(t *testing.T) {
	is := is.New(t)
	s, c, stop := newClient(platform.Options{})
	defer stop()
	s.faults.set(Faults{Down: true})
	for range 2 {
		_, err := c.Get(t.Context(), "Test", "a")
		is.True(errors.Is(err, platform.ErrUnavailable))
	}
	is.Equal(c.(platform.Monitor).Snapshot().Breaker, platform.BreakerOpen)
	before := s.calls.snapshot().Reads
	start := time.Now()
	for range 1000 {
		_, err := c.Get(t.Context(), "Test", "a")
		is.True(errors.Is(err, platform.ErrBreakerOpen) || errors.Is(err, platform.ErrUnavailable))
	}
	is.True(time.Since(start) < 2*time.Second)
	is.True(s.calls.snapshot().Reads-before < 20)
	s.faults.set(Faults{})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for errors.Is(ctx.Err(), nil) {
		if _, err := c.Get(ctx, "Test", "a"); errors.Is(err, platform.ErrNotFound) {
			break
		}
	}
	is.Equal(c.(platform.Monitor).Snapshot().Breaker, platform.BreakerClosed)
}

// Guards against a daemon that uses up the rate limit of the platform.
func TestClientBudget(t *testing.T) {
	is := is.New(t)
	s, c, stop := newClient(platform.Options{WritesPerSecond: 5})
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	refused := 0
	for i := range 20 {
		if _, err := c.Put(ctx, "Test", string(rune('a'+i)), 0, json.RawMessage("1")); errors.Is(err, platform.ErrBudget) {
			refused++
		}
	}
	is.True(refused >= 13)
	is.True(s.calls.snapshot().Writes <= 7)
}

// Guards against an increment that counts twice, or a reported success without effect,
// which happen when answers and writes are lost.
func TestCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, stop := newClient(platform.Options{})
		h := httptest.NewServer(s.Handler())
		defer stop()
		defer h.CloseClientConnections()
		s.faults.set(Faults{
			LoseAnswers: rapid.Float64Range(0, 0.6).Draw(t, "LoseAnswers"),
			LoseWrites:  rapid.Float64Range(0, 0.3).Draw(t, "LoseWrites"),
		})
		clients := rapid.IntRange(1, 4).Draw(t, "clients")
		var mu sync.Mutex
		var wg sync.WaitGroup
		done, unknown := 0, 0
		for range clients {
			wg.Go(func() {
				c := platform.NewClient(platform.Options{Address: h.Listener.Addr().String()})
				for range 5 {
					ok, maybe := increment(c)
					mu.Lock()
					done, unknown = done+ok, unknown+maybe
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		o, _ := s.get("Test", "counter")
		n := 0
		_ = json.Unmarshal(o.Value, &n)
		if n < done || n > done+unknown {
			t.Fatalf("counter is %d after %d reported and %d unknown increments", n, done, unknown)
		}
	})
}

// increment adds 1 to the counter and returns the number of increments (0 or 1) that
// succeeded and that have an unknown outcome. It retries on a conflict.
func increment(c platform.Client) (done, unknown int) {
	for {
		o, err := c.Get(context.Background(), "Test", "counter")
		n := 0
		switch {
		case err == nil:
			_ = json.Unmarshal(o.Value, &n)
		case !errors.Is(err, platform.ErrNotFound):
			return 0, 0
		}
		v, _ := json.Marshal(n + 1)
		_, err = c.Put(context.Background(), "Test", "counter", o.Version, v)
		switch {
		case err == nil:
			return 1, 0
		case errors.Is(err, platform.ErrOutcomeUnknown):
			return 0, 1
		case !errors.Is(err, platform.ErrConflict):
			return 0, 0
		}
	}
}
