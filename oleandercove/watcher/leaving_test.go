package watcher

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
)

// Guards against new work on a leaving backend server, and against one that stays excluded,
// which happen when the state of its row in the host list changes back.
func TestLeavingRow(t *testing.T) {
	for _, row := range []struct {
		name   string
		states []platform.HostState // one a second
		want   bool
	}{
		{"leaving row is ignored", []platform.HostState{platform.HostLeaving}, true},
		{"row that flips back brings new work", []platform.HostState{platform.HostLeaving, platform.HostLive, platform.HostLive}, true},
		{"later signal does not extend the first", []platform.HostState{platform.HostLeaving, platform.HostLive, platform.HostLeaving, platform.HostLive, platform.HostLive, platform.HostLive}, true},
		{"withdrawn signal hides a backend server for ever", []platform.HostState{platform.HostLeaving, platform.HostLive, platform.HostLive, platform.HostLive, platform.HostLive, platform.HostLive}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual(time.Unix(0, 0))
			w := New(Options{Timer: clock, Log: logger.Discard()})
			for i, s := range row.states {
				if i > 0 {
					clock.Advance(time.Second)
				}
				w.applyHostList([]platform.Host{{ID: "e", Role: platform.RoleEngine, State: s}})
			}
			is.Equal(w.Backends()[0].Draining, row.want)
		})
	}
}

// hangingPlatform answers the first call of Hosts and hangs in later ones.
type hangingPlatform struct {
	platform.Client
	hosts []platform.Host
	calls atomic.Int64
}

func (h *hangingPlatform) Hosts(ctx context.Context) ([]platform.Host, error) {
	if h.calls.Add(1) > 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h.hosts, nil
}

// Guards against a leaving worker that keeps its traffic, which happens when the
// status calls wait for the platform.
func TestPlatformHangs(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(http.StatusOK)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) }))
	defer srv.Close()
	p := &hangingPlatform{hosts: []platform.Host{{ID: "s", Role: platform.RoleService, Address: srv.Listener.Addr().String(), State: platform.HostLive}}}
	w := New(Options{Platform: p, Timer: timer.NewReal(), Log: logger.Discard(), Interval: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	waitFor := func(condition func(b Backend) bool) {
		for end := time.Now().Add(10 * time.Second); ; <-time.After(time.Millisecond) {
			if all := w.Backends(); len(all) == 1 && condition(all[0]) {
				return
			}
			is.True(time.Now().Before(end)) // the state is not reached
		}
	}
	waitFor(func(b Backend) bool { return b.Usable() && w.Ready() && p.calls.Load() > 1 })
	status.Store(http.StatusServiceUnavailable)
	waitFor(func(b Backend) bool { return b.Draining && b.Healthy })
	status.Store(http.StatusInternalServerError)
	waitFor(func(b Backend) bool { return !b.Healthy })
	cancel()
	<-done
}

// Guards against an engine that gets no work after its restart, which happens when
// a leaving signal of its former instance still applies.
func TestRestart(t *testing.T) {
	is := is.New(t)
	var start atomic.Value
	var draining atomic.Bool
	start.Store("run-1")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(engine.Status{Start: start.Load().(string), Draining: draining.Load()})
	}))
	defer srv.Close()
	w := New(Options{Timer: timer.NewManual(time.Unix(0, 0)), Log: logger.Discard()})
	w.applyHostList([]platform.Host{{ID: "e", Role: platform.RoleEngine, Address: srv.Listener.Addr().String(), State: platform.HostLive}})
	for _, step := range []struct {
		run      string
		draining bool
		want     bool
	}{{"run-1", false, false}, {"run-1", true, true}, {"run-1", false, true}, {"run-2", false, false}} {
		start.Store(step.run)
		draining.Store(step.draining)
		w.pollRound(t.Context())
		is.Equal(w.Backends()[0].Draining, step.want)
	}
}
