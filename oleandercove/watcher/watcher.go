// Package watcher keeps the health and load of backend servers current.
//
// It reads the platform's lagging host list, asks each backend server for its
// status, and hides a backend server at the first sign that it leaves.
//
// Usage:
//
//	w := watcher.New(watcher.Options{Platform: p, Timer: t, Log: l})
//	go w.Run(ctx)
//	for _, b := range w.Backends() {
//	}
package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

const (
	// pollInterval is the time between two rounds of status calls.
	pollInterval = 500 * time.Millisecond
	// statusTimeout bounds a status call.
	statusTimeout = 400 * time.Millisecond
	// maxParallelCalls bounds the status calls in flight.
	maxParallelCalls = 32
)

// Backend is what the daemon knows of a backend server.
type Backend struct {
	ID         unit.BackendID
	Role       platform.Role
	Address    string
	DataCentre unit.DataCentre
	Serves     unit.EntryName
	Healthy    bool
	Draining   bool
	// Engine is the last status of an engine; nil for services.
	Engine *engine.Status
	// Seen is the time of the last good status.
	Seen time.Time

	// Leaving is the state of the backend server's row in the host list.
	Leaving bool
	// signed is the time of the last sign that the backend server leaves.
	signed time.Time
}

// Usable tells whether the backend server may get new work.
func (b *Backend) Usable() bool { return b.Healthy && !b.Draining }

// Backends lists backend servers.
type Backends interface {
	// Backends returns a snapshot, ordered by id; callers don't change it.
	Backends() []Backend
	// Suspect reports a failed call, so that the backend server is checked
	// again before it gets new work.
	Suspect(id unit.BackendID)
}

// Options configures a Watcher.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Log      *log.Logger
	// Interval replaces the default time between two rounds of status calls.
	Interval time.Duration
}

// Watcher is the default Backends.
type Watcher struct {
	options Options
	http    *http.Client

	mu       sync.RWMutex
	backends map[unit.BackendID]Backend
	// listed is true after the first host list, ready after the first round of
	// status calls that followed a host list.
	listed, ready bool
}

// Ready tells whether the state of the backend servers is known. A daemon that
// takes requests earlier would refuse them for lack of backend servers.
func (w *Watcher) Ready() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.ready
}

// New returns a Watcher that knows no backend server yet.
func New(o Options) *Watcher {
	if o.Interval == 0 {
		o.Interval = pollInterval
	}
	return &Watcher{
		options:  o,
		http:     &http.Client{Timeout: statusTimeout},
		backends: map[unit.BackendID]Backend{},
	}
}

// Backends returns a snapshot, ordered by id.
func (w *Watcher) Backends() []Backend {
	w.mu.RLock()
	defer w.mu.RUnlock()
	out := make([]Backend, 0, len(w.backends))
	for _, b := range w.backends {
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Suspect marks a backend server as unhealthy until its next good status.
func (w *Watcher) Suspect(id unit.BackendID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b, ok := w.backends[id]; ok {
		b.Healthy = false
		w.backends[id] = b
	}
}

// Run polls until ctx is done.
//
// The host list has a loop of its own: a platform that hangs must not delay
// the status calls that notice a leaving backend server.
func (w *Watcher) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { w.repeat(ctx, w.list) })
	wg.Go(func() { w.repeat(ctx, w.round) })
	wg.Wait()
}

func (w *Watcher) repeat(ctx context.Context, poll func(context.Context)) {
	for ctx.Err() == nil {
		poll(ctx)
		_ = w.options.Timer.Sleep(ctx, w.options.Interval)
	}
}

func (w *Watcher) list(ctx context.Context) {
	hosts, err := w.options.Platform.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.options.Log.Warn("host list is unavailable; keeping the last one", "err", err)
		}
		return
	}
	w.install(hosts)
}

func (w *Watcher) round(ctx context.Context) {
	w.mu.RLock()
	known := w.listed || len(w.backends) > 0
	w.mu.RUnlock()
	p := pool.New().WithMaxGoroutines(maxParallelCalls)
	for _, b := range w.Backends() {
		p.Go(func() { w.check(ctx, b) })
	}
	p.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ready = w.ready || known
}

// install takes over the host list. A host that vanished from the list stays
// only while its own status is good.
func (w *Watcher) install(hosts []platform.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = true
	now := w.options.Timer.Now()
	listed := map[unit.BackendID]bool{}
	for _, h := range hosts {
		if h.Role == platform.RoleEntry {
			continue
		}
		id := unit.BackendID(h.ID)
		listed[id] = true
		b := w.backends[id]
		b.ID, b.Role, b.Address, b.DataCentre, b.Serves = id, h.Role, h.Address, h.DataCentre, h.Serves
		b.Leaving = h.State == platform.HostLeaving
		b.settle(now, b.Leaving)
		w.backends[id] = b
	}
	for id, b := range w.backends {
		if !listed[id] && !b.Healthy {
			delete(w.backends, id)
		}
	}
}

func (w *Watcher) check(ctx context.Context, b Backend) {
	status, draining, err := w.status(ctx, b)
	w.mu.Lock()
	defer w.mu.Unlock()
	now, ok := w.backends[b.ID]
	if !ok || now.Address != b.Address {
		return
	}
	if now.Healthy != (err == nil) {
		w.options.Log.Info("backend server changed health", "backend", b.ID, "healthy", err == nil, "err", err)
	}
	now.Healthy = err == nil
	if err == nil {
		at := w.options.Timer.Now()
		if now.Engine != nil && status != nil && now.Engine.Start != status.Start {
			now.Draining = false // the sign concerned the process before the restart
		}
		now.settle(at, draining || now.Leaving)
		now.Engine, now.Seen = status, at
	}
	w.backends[b.ID] = now
}

func (w *Watcher) status(ctx context.Context, b Backend) (s *engine.Status, draining bool, err error) {
	path := "/healthz"
	if b.Role == platform.RoleEngine {
		path = "/v1/status"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+path, nil)
	if err != nil {
		return nil, false, err
	}
	res, err := w.http.Do(req)
	if err != nil {
		return nil, false, err
	}
	defer res.Body.Close()
	if b.Role == platform.RoleService {
		return nil, res.StatusCode == http.StatusServiceUnavailable, serviceFault(res.StatusCode)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		w.Leaving(b.ID, "status call answered 503")
	}
	if res.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("status %d", res.StatusCode)
	}
	s = &engine.Status{}
	err = json.NewDecoder(res.Body).Decode(s)
	return s, s.Draining, err
}
