package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

const (
	// minInterval and maxInterval bound the time between two rounds of status
	// calls. With the push to peers, the longer one stays below the 3 s within
	// which a leaving backend server must get no new work.
	minInterval = 500 * time.Millisecond
	maxInterval = 1500 * time.Millisecond
	// callInterval is the time for each backend server that a daemon polls: 4
	// calls of about 500 bytes each second.
	callInterval = 250 * time.Millisecond
	// rowInterval is the time for each row of the host list, up to
	// maxListInterval. Twice a second, 2,710 rows of 200 bytes would cost a
	// reader 1 MB/s and more than 1% of a core. The list lags anyway; a leaving
	// backend server is noticed by its status.
	rowInterval     = time.Millisecond
	maxListInterval = 3 * time.Second
	// flushInterval joins the reports of a round into few messages.
	flushInterval = 50 * time.Millisecond
	// settleTime is how long the membership must be stable before a starting
	// daemon polls, at most startGrace. When a whole fleet starts, each daemon
	// would otherwise take itself for the watcher of most backend servers.
	settleTime = time.Second
	startGrace = 6 * time.Second
	// statusTimeout bounds a status call.
	statusTimeout = 400 * time.Millisecond
	// maxParallelCalls bounds the status calls in flight.
	maxParallelCalls = 32
	// idleLimit closes connections for status calls that are no longer used.
	idleLimit = 30 * time.Second
	// rateInterval bounds how often a changed rate or load is published.
	rateInterval = 5 * time.Second
	// maxSharedLoads is the largest number of backend servers whose load is
	// spread to all daemons. Each change costs about 400 bytes on each link.
	maxSharedLoads = 64
	// rateChange is the relative change that is published.
	rateChange = 0.25
)

// Run polls until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	go w.table.Run(ctx)
	w.settle(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { w.flushAlways(ctx) })
	// The host list has a loop of its own: a platform that hangs must not
	// delay the status calls that notice a leaving backend server.
	wg.Go(func() {
		for ctx.Err() == nil {
			_ = w.options.Timer.Sleep(ctx, w.listPause(w.list(ctx)))
		}
	})
	wg.Go(func() {
		for ctx.Err() == nil {
			n := w.round(ctx)
			pause := min(time.Duration(n)*callInterval, maxInterval)
			_ = w.options.Timer.Sleep(ctx, max(w.options.Interval, pause))
		}
	})
	wg.Wait()
}

// settle waits until a starting daemon with peers has a stable membership.
func (w *Watcher) settle(ctx context.Context) {
	if w.options.Connector == nil {
		return
	}
	start := w.options.Timer.Now()
	changed, size := start, 0
	for ctx.Err() == nil {
		now := w.options.Timer.Now()
		if n := len(w.options.Members.Live()); n != size {
			size, changed = n, now
		}
		if now.Sub(changed) >= settleTime || now.Sub(start) >= startGrace {
			return
		}
		_ = w.options.Timer.Sleep(ctx, settleTime/10)
	}
}

func (w *Watcher) flushAlways(ctx context.Context) {
	for w.options.Timer.Sleep(ctx, flushInterval) == nil {
		w.flush()
	}
}

// task says what this daemon does about a backend server.
type task struct {
	backend Backend
	// mine is whether this daemon is selected to poll.
	mine, poll bool
}

// listPause returns the time until the next read of a host list of so many rows.
func (w *Watcher) listPause(rows int) time.Duration {
	return max(w.options.Interval, min(time.Duration(rows)*rowInterval, maxListInterval))
}

// list reads the host list if this daemon is selected to, and returns the
// number of its rows.
func (w *Watcher) list(ctx context.Context) int {
	self := w.options.Members.Self()
	if !w.reads(self.Host, self.DataCentre) && !w.reads(self.Host, "") {
		return 0
	}
	hosts, err := w.options.Platform.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.options.Log.Warn("host list is unavailable; keeping the last one", "err", err)
		}
		return 0
	}
	w.install(hosts)
	return len(hosts)
}

// round polls and returns the number of calls.
func (w *Watcher) round(ctx context.Context) int {
	self, n := w.options.Members.Self(), 0
	reader := w.reads(self.Host, self.DataCentre)
	w.mu.Lock()
	w.touchSigns()
	known := w.listed || len(w.reports) > 0 || !reader
	w.mu.Unlock()
	p := pool.New().WithMaxGoroutines(maxParallelCalls)
	for _, t := range w.tasks(self.Host) {
		if t.poll {
			n++
			p.Go(func() { w.check(ctx, t.backend, t.mine) })
		}
		w.retract(t, self.Host)
	}
	p.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ready = w.ready || known
	return n
}

// tasks lists the backend servers that this daemon polls or has reported on.
func (w *Watcher) tasks(self unit.HostID) []task {
	backends := w.Backends()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []task
	for _, b := range backends {
		mine := w.selection.polls(self, b.ID, b.DataCentre)
		poll := mine || w.suspected[b.ID]
		if _, ok := w.polled[b.ID]; ok && !poll {
			delete(w.polled, b.ID)
			w.stale[b.ID] = true
		}
		if poll || w.own[b.ID] {
			out = append(out, task{b, mine, poll})
		}
	}
	return out
}

// reads tells whether a daemon reads the host list for a data centre.
func (w *Watcher) reads(host unit.HostID, dc unit.DataCentre) bool {
	live := w.options.Members.Live()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.selectFrom(live)
	return w.selection.reads(host, dc)
}

// retract withdraws reports that this daemon made while it was selected, once
// a daemon that is selected now has made its own.
func (w *Watcher) retract(t task, self unit.HostID) {
	id, dc := t.backend.ID, t.backend.DataCentre
	for _, o := range []origin{fromPoll, fromList} {
		w.mu.Lock()
		selected := func(h unit.HostID) bool {
			if o == fromPoll {
				return w.selection.polls(h, id, dc)
			}
			return w.selection.reads(h, dc)
		}
		own, ok := w.reports[id][source{o, self}]
		replaced := false
		for s, r := range w.reports[id] {
			replaced = replaced || (s.origin == o && !r.gone && selected(s.host))
		}
		withdraw := ok && !own.gone && !selected(self) && replaced
		w.mu.Unlock()
		if withdraw {
			w.publish(id, o, report{gone: true})
		}
	}
}

// install publishes the rows of the host list that this daemon reads. A host
// that vanished from the list stays only while its own status is good.
func (w *Watcher) install(hosts []platform.Host) {
	self := w.options.Members.Self()
	w.mu.Lock()
	w.listed = true
	w.touchSigns()
	w.mu.Unlock()
	listed := map[string]bool{}
	for _, h := range hosts {
		if h.Role == platform.RoleEntry || !w.reads(self.Host, h.DataCentre) {
			continue
		}
		listed[h.ID] = true
		w.offer(source{fromList, self.Host}, Backend{
			ID: unit.BackendID(h.ID), Role: h.Role, Address: h.Address, DataCentre: h.DataCentre, Serves: h.Serves,
			Draining: h.State == platform.HostLeaving,
		})
	}
	for _, b := range w.Backends() {
		vanished := !listed[string(b.ID)] && !b.Healthy && w.reads(self.Host, b.DataCentre)
		if vanished && !w.gone(b.ID, source{fromList, self.Host}) {
			w.publish(b.ID, fromList, report{gone: true})
		}
	}
}

func (w *Watcher) gone(id unit.BackendID, s source) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	r, ok := w.reports[id][s]
	return ok && r.gone
}

// offer publishes a row that differs from the last one.
func (w *Watcher) offer(s source, b Backend) {
	w.mu.RLock()
	old, ok := w.reports[b.ID][s]
	w.mu.RUnlock()
	o := old.backend
	o.Seen = time.Time{}
	if !ok || old.gone || o != b {
		w.publish(b.ID, s.origin, report{backend: b})
	}
}

// check polls a backend server and publishes what changed.
func (w *Watcher) check(ctx context.Context, b Backend, publish bool) {
	status, draining, err := w.status(ctx, b)
	if err != nil {
		status = nil // a broken status is none
	}
	now := w.options.Timer.Now()
	n := b
	if err == nil {
		n.Draining, n.Seen = draining, now
	}
	s := source{fromPoll, w.options.Members.Self().Host}
	w.mu.Lock()
	n.Engine, n.Stalled = status, w.stalled(b.ID, status, now)
	n.Healthy = err == nil && !n.Stalled
	if err == nil {
		delete(w.suspected, b.ID)
	}
	before, known := w.polled[b.ID]
	w.polled[b.ID], w.stale[b.ID] = report{version: uint64(now.UnixMilli()), backend: n}, true
	last, published := w.reports[b.ID][s]
	w.mu.Unlock()
	if known && before.backend.Healthy != n.Healthy {
		w.options.Log.Info("backend server changed health", "backend", b.ID, "healthy", n.Healthy, "stalled", n.Stalled, "err", err)
	}
	if publish && (!published || last.gone || changed(last.backend, n, now, w.sharesLoad())) {
		w.publish(b.ID, fromPoll, report{backend: n})
	}
}

// sharesLoad tells whether the fleet is small enough to spread the load of
// backend servers. In a larger one a daemon knows the load from its own streams
// and polls only.
func (w *Watcher) sharesLoad() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return len(w.reports) <= maxSharedLoads
}

// changed tells whether a status is worth a message: at once for health, drain
// state, layers and limits, and at an interval for rates and for the load that
// planning reads.
func changed(old, b Backend, now time.Time, sharesLoad bool) bool {
	if old.Healthy != b.Healthy || old.Draining != b.Draining || old.Address != b.Address {
		return true
	}
	if old.Engine == nil || b.Engine == nil {
		return old.Engine != b.Engine
	}
	if !sameLayers(old.Engine, b.Engine) {
		return true
	}
	if now.Sub(old.Seen) < rateInterval {
		return false
	}
	return differs(float64(old.Engine.TokenTimeMicros), float64(b.Engine.TokenTimeMicros)) ||
		(sharesLoad && differs(float64(old.Engine.Load.Running), float64(b.Engine.Load.Running))) ||
		!slices.Equal(old.Engine.Links, b.Engine.Links)
}

func sameLayers(a, b *engine.Status) bool {
	return a.Start == b.Start && a.Model == b.Model && a.From == b.From && a.To == b.To && a.Layers == b.Layers &&
		a.Kind == b.Kind && a.Draining == b.Draining && a.MaxStreams == b.MaxStreams && a.MaxBatch == b.MaxBatch &&
		a.Fencing == b.Fencing
}

func differs(a, b float64) bool { return math.Abs(a-b) > rateChange*max(a, b) }

func (w *Watcher) status(ctx context.Context, b Backend) (s *engine.Status, draining bool, err error) {
	path := "/healthz"
	if b.Role == platform.RoleEngine {
		path = "/v1/status"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+path, nil)
	if err != nil {
		return nil, false, err
	}
	req.Header["User-Agent"] = nil // saves bytes
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
