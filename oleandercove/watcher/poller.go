package watcher

import (
	"context"
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
	// calls. maxInterval and the push to peers together stay below 3 s, the time
	// after which a leaving backend server must get no new work.
	minInterval = 500 * time.Millisecond
	maxInterval = 1500 * time.Millisecond
	// callInterval times the number of backend servers that a daemon polls is the
	// interval of a round, within these bounds: 4 calls of about 500 bytes each second.
	callInterval = 250 * time.Millisecond
	// rowInterval is the time between two reads of the host list for each of its
	// rows, up to maxListInterval. At two reads a second, 2,710 rows of 200 bytes
	// would cost a reader 1 MB/s and more than 1% of a core. The list lags anyway;
	// the status of a backend server shows that it is leaving.
	rowInterval     = time.Millisecond
	maxListInterval = 3 * time.Second
	// flushInterval batches the reports of a round into few messages.
	flushInterval = 50 * time.Millisecond
	// settleTime is how long the membership must be stable before a starting
	// daemon polls; maxSettleTime bounds the wait. When a complete fleet starts, each
	// daemon would otherwise select itself as watcher of most backend servers.
	settleTime    = time.Second
	maxSettleTime = 6 * time.Second
	// statusTimeout bounds a status call.
	statusTimeout = 400 * time.Millisecond
	// maxParallelCalls bounds the status calls in flight.
	maxParallelCalls = 32
	// idleLimit is how long an unused connection for status calls stays open.
	idleLimit = 30 * time.Second
	// rateInterval bounds how often a changed rate or load is published.
	rateInterval = 5 * time.Second
	// maxSharedLoads is the largest number of backend servers whose load is
	// sent to all daemons. Each change costs about 400 bytes on each link.
	maxSharedLoads = 64
	// rateChange is the relative change above which a rate or load is published.
	rateChange = 0.25
)

// Run polls backend servers and reads the host list; it blocks until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	go w.table.Run(ctx)
	w.awaitStableMembership(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { w.flushLoop(ctx) })
	// The host list has a loop of its own: a platform that hangs must not
	// delay the status calls that detect a leaving backend server.
	wg.Go(func() {
		for ctx.Err() == nil {
			_ = w.options.Timer.Sleep(ctx, w.listDelay(w.readHostList(ctx)))
		}
	})
	wg.Go(func() {
		for ctx.Err() == nil {
			n := w.pollRound(ctx)
			pause := min(time.Duration(n)*callInterval, maxInterval)
			_ = w.options.Timer.Sleep(ctx, max(w.options.Interval, pause))
		}
	})
	wg.Wait()
}

// awaitStableMembership blocks until a starting daemon with peers has a stable
// membership, for at most maxSettleTime.
func (w *Watcher) awaitStableMembership(ctx context.Context) {
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
		if now.Sub(changed) >= settleTime || now.Sub(start) >= maxSettleTime {
			return
		}
		_ = w.options.Timer.Sleep(ctx, settleTime/10)
	}
}

func (w *Watcher) flushLoop(ctx context.Context) {
	for w.options.Timer.Sleep(ctx, flushInterval) == nil {
		w.flush()
	}
}

// task is a backend server that this daemon polls or has reported on.
type task struct {
	backend Backend
	// selected is true if this daemon is selected to poll the backend server; poll
	// is also true while it suspects the backend server.
	selected, poll bool
}

// listDelay returns the time until the next read of the host list, given its
// number of rows.
func (w *Watcher) listDelay(rows int) time.Duration {
	return max(w.options.Interval, min(time.Duration(rows)*rowInterval, maxListInterval))
}

// readHostList reads the host list if this daemon is selected to, and returns the
// number of rows; 0 if the list was not read.
func (w *Watcher) readHostList(ctx context.Context) int {
	self := w.options.Members.Self()
	if !w.readsHostList(self.Host, self.DataCentre) && !w.readsHostList(self.Host, "") {
		return 0
	}
	hosts, err := w.options.Platform.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.options.Log.Warn("host list is unavailable; keeping the last one", "err", err)
		}
		return 0
	}
	w.applyHostList(hosts)
	return len(hosts)
}

// pollRound polls the backend servers of this daemon and returns the number of calls.
func (w *Watcher) pollRound(ctx context.Context) int {
	self, n := w.options.Members.Self(), 0
	reader := w.readsHostList(self.Host, self.DataCentre)
	w.mu.Lock()
	w.markSignalsStale()
	known := w.listed || len(w.reports) > 0 || !reader
	w.mu.Unlock()
	p := pool.New().WithMaxGoroutines(maxParallelCalls)
	for _, t := range w.tasks(self.Host) {
		if t.poll {
			n++
			p.Go(func() { w.pollBackend(ctx, t.backend, t.selected) })
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
		selected := w.selection.polls(self, b.ID, b.DataCentre)
		poll := selected || w.suspected[b.ID]
		if _, ok := w.polled[b.ID]; ok && !poll {
			delete(w.polled, b.ID)
			w.stale[b.ID] = true
		}
		if poll || w.reported[b.ID] {
			out = append(out, task{b, selected, poll})
		}
	}
	return out
}

// readsHostList reports whether a daemon reads the host list for a data centre.
func (w *Watcher) readsHostList(host unit.HostID, dc unit.DataCentre) bool {
	live := w.options.Members.Live()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateSelection(live)
	return w.selection.readsHostList(host, dc)
}

// retract withdraws reports that this daemon made while it was selected, once a
// daemon that is now selected has reported.
func (w *Watcher) retract(t task, self unit.HostID) {
	id, dc := t.backend.ID, t.backend.DataCentre
	for _, o := range []origin{fromPoll, fromList} {
		w.mu.Lock()
		selected := func(h unit.HostID) bool {
			if o == fromPoll {
				return w.selection.polls(h, id, dc)
			}
			return w.selection.readsHostList(h, dc)
		}
		own, ok := w.reports[id][source{o, self}]
		replaced := false
		for s, r := range w.reports[id] {
			replaced = replaced || (s.origin == o && !r.removed && selected(s.host))
		}
		withdraw := ok && !own.removed && !selected(self) && replaced
		w.mu.Unlock()
		if withdraw {
			w.publish(id, o, report{removed: true})
		}
	}
}

// applyHostList publishes the changed rows of the host list that this daemon reads.
// A backend server that is no longer listed stays only while it is healthy.
func (w *Watcher) applyHostList(hosts []platform.Host) {
	self := w.options.Members.Self()
	w.mu.Lock()
	w.listed = true
	w.markSignalsStale()
	w.mu.Unlock()
	listed := map[string]bool{}
	for _, h := range hosts {
		if h.Role == platform.RoleEntry || !w.readsHostList(self.Host, h.DataCentre) {
			continue
		}
		listed[h.ID] = true
		w.publishIfChanged(source{fromList, self.Host}, Backend{
			ID: unit.BackendID(h.ID), Role: h.Role, Address: h.Address, DataCentre: h.DataCentre, Serves: h.Serves,
			Draining: h.State == platform.HostLeaving,
		})
	}
	for _, b := range w.Backends() {
		vanished := !listed[string(b.ID)] && !b.Healthy && w.readsHostList(self.Host, b.DataCentre)
		if vanished && !w.reportedRemoved(b.ID, source{fromList, self.Host}) {
			w.publish(b.ID, fromList, report{removed: true})
		}
	}
}

func (w *Watcher) reportedRemoved(id unit.BackendID, s source) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	r, ok := w.reports[id][s]
	return ok && r.removed
}

// publishIfChanged publishes a host list row that differs from the last one.
func (w *Watcher) publishIfChanged(s source, b Backend) {
	w.mu.RLock()
	old, ok := w.reports[b.ID][s]
	w.mu.RUnlock()
	o := old.backend
	o.Seen = time.Time{}
	if !ok || old.removed || o != b {
		w.publish(b.ID, s.origin, report{backend: b})
	}
}

// pollBackend polls a backend server and publishes what changed.
func (w *Watcher) pollBackend(ctx context.Context, b Backend, publish bool) {
	status, draining, err := w.fetchStatus(ctx, b)
	if err != nil {
		status = nil // discards a partly decoded status
	}
	now := w.options.Timer.Now()
	n := b
	if err == nil {
		n.Draining, n.Seen = draining, now
	}
	s := source{fromPoll, w.options.Members.Self().Host}
	w.mu.Lock()
	n.Engine, n.Stalled = status, w.updateStalled(b.ID, status, now)
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
	if publish && (!published || last.removed || shouldPublish(last.backend, n, now, w.sharesLoad())) {
		w.publish(b.ID, fromPoll, report{backend: n})
	}
}

// sharesLoad reports whether the fleet is small enough to send the load of backend
// servers to all daemons. In a larger fleet, a daemon gets the load only from its
// own streams and status calls.
func (w *Watcher) sharesLoad() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return len(w.reports) <= maxSharedLoads
}

// shouldPublish reports whether a status is published: at once after a change of
// health, drain state, address, layers or limits, and at most every rateInterval after a
// change of rates or of the load that planning reads.
func shouldPublish(old, b Backend, now time.Time, sharesLoad bool) bool {
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

func (w *Watcher) fetchStatus(ctx context.Context, b Backend) (s *engine.Status, draining bool, err error) {
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
		return nil, res.StatusCode == http.StatusServiceUnavailable, serviceHealthError(res.StatusCode)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		w.ReportLeaving(b.ID, "status call returned 503")
	}
	if res.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("status call returned status %d", res.StatusCode)
	}
	s, err = engine.ReadStatus(res.Body)
	if err != nil {
		return nil, false, err
	}
	return s, s.Draining, nil
}
