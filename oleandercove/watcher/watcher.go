// Package watcher keeps the health and load of backend servers current.
//
// It combines status calls, the platform's host list, reports of peers and the
// failed calls of this daemon:
//
//   - Two daemons of a backend server's data centre poll its status and push
//     changes of health, drain state, layers and rates to all peers.
//   - Two daemons of the data centre read its rows of the host list, which lags.
//   - From the first signal that it is leaving, a backend server gets no new work.
//   - After a failed call, a daemon considers the backend server unhealthy and
//     polls it itself until a status call succeeds.
//
// Usage:
//
//	w := watcher.New(watcher.Options{Platform: p, Timer: t, Log: l})
//	go w.Run(ctx)
//	for _, b := range w.Backends() {
//	}
package watcher

import (
	"cmp"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/receiver"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/replicator"
	"oleandercove.example/wire/peer"
)

// Backend is the daemon's view of a backend server.
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
	// Leaving is true while the host list shows the backend server as leaving.
	Leaving bool
	// Stalled is true while an engine responds but runs no work.
	Stalled bool
}

// Usable reports whether the backend server may get new work.
func (b *Backend) Usable() bool { return b.Healthy && !b.Draining }

// Backends lists backend servers.
type Backends interface {
	// Backends returns a snapshot, ordered by id; callers must not modify it.
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
	// Interval is the shortest time between two rounds of status calls, and
	// between two reads of the host list; 0 means minInterval.
	Interval time.Duration
	// Members selects the daemons that poll; nil means this one alone.
	Members gossiper.Members
	// Connector carries reports to and from peers; nil means none.
	Connector connector.Connector
}

// Watcher is the default implementation of Backends.
type Watcher struct {
	options Options
	self    unit.HostID
	http    *http.Client
	table   *replicator.Table

	mu sync.RWMutex
	// reports holds the last report of each daemon on a backend server.
	reports map[unit.BackendID]map[source]report
	// polled holds the results of this daemon's last status calls, published or not.
	polled map[unit.BackendID]report
	// progress holds the progress of the engines' iterations.
	progress map[unit.BackendID]engineProgress
	// suspected holds the backend servers with a failed call of this daemon.
	suspected map[unit.BackendID]bool
	// cached is the last snapshot, and stale holds the backend servers that
	// changed since. A change of the membership discards the snapshot.
	cached    []Backend
	stale     map[unit.BackendID]bool
	selection *selection
	// reported holds the backend servers that this daemon has reported on.
	reported map[unit.BackendID]bool
	// outbox holds reports that wait to be pushed to peers.
	outbox []replicator.Item
	// leavingSignals holds, for each backend server, the last signal that it is leaving.
	leavingSignals map[unit.BackendID]leavingSignal
	// listed is true after the first host list. ready is true after the first
	// complete round of status calls. A round that begins without a host list and
	// without reports counts only if this daemon doesn't read the host list.
	listed, ready bool
}

// Ready reports whether the state of the backend servers is known. A daemon that
// accepts requests earlier would refuse them for lack of backend servers.
func (w *Watcher) Ready() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.ready
}

// New returns a Watcher without backend servers.
func New(o Options) *Watcher {
	if o.Members == nil {
		o.Members = gossiper.Standalone{}
	}
	if o.Interval == 0 {
		o.Interval = minInterval
	}
	w := &Watcher{
		options:        o,
		self:           o.Members.Self().Host,
		http:           newHTTP(),
		reports:        map[unit.BackendID]map[source]report{},
		polled:         map[unit.BackendID]report{},
		progress:       map[unit.BackendID]engineProgress{},
		suspected:      map[unit.BackendID]bool{},
		selection:      newSelection(nil),
		leavingSignals: map[unit.BackendID]leavingSignal{},
		stale:          map[unit.BackendID]bool{},
		reported:       map[unit.BackendID]bool{},
	}
	w.table = replicator.New(replicator.Options{
		Connector: o.Connector, Kind: peer.TypeBackends, Timer: o.Timer, InDigest: inDigest,
		OnChanged: func(_ unit.HostID, items []replicator.Item) { w.applyReports(items) },
	})
	return w
}

// newHTTP returns a client that keeps an idle connection for each parallel call.
// The default transport keeps two for each address, so that most calls to backend
// servers behind one address would open a new connection.
func newHTTP() *http.Client {
	return &http.Client{Timeout: statusTimeout, Transport: receiver.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxParallelCalls, IdleConnTimeout: idleLimit, DisableCompression: true,
	})}
}

// Backends returns a snapshot, ordered by id.
func (w *Watcher) Backends() []Backend {
	live := w.options.Members.Live()
	w.mu.RLock()
	cached, same := w.cached, w.selection.matches(live) && len(w.stale) == 0
	w.mu.RUnlock()
	if cached != nil && same {
		return cached
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateSelection(live)
	w.refresh()
	return w.cached
}

// updateSelection selects the watchers again after a change of the membership.
func (w *Watcher) updateSelection(live []gossiper.Member) {
	if !w.selection.matches(live) {
		w.selection, w.cached = newSelection(live), nil
	}
}

// refresh brings the snapshot up to date. It combines only the reports on
// backend servers that changed, because each status call changes one.
func (w *Watcher) refresh() {
	if w.cached == nil || !w.patch() {
		w.cached = w.snapshot()
	}
	clear(w.stale)
}

// patch replaces the stale rows in a copy of the snapshot, since callers may
// still read the old one. It returns false if a row was added or removed, which
// needs a new snapshot.
func (w *Watcher) patch() bool {
	if len(w.stale) == 0 {
		return true
	}
	out := slices.Clone(w.cached)
	for id := range w.stale {
		i, listed := slices.BinarySearchFunc(out, id, func(b Backend, id unit.BackendID) int { return cmp.Compare(b.ID, id) })
		b, ok := w.view(id)
		if ok != listed {
			return false
		}
		if ok {
			out[i] = b
		}
	}
	w.cached = out
	return true
}

func (w *Watcher) snapshot() []Backend {
	out := make([]Backend, 0, len(w.reports))
	for id := range w.reports {
		if b, ok := w.view(id); ok {
			out = append(out, b)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// view combines the reports on one backend server.
func (w *Watcher) view(id unit.BackendID) (Backend, bool) {
	b, ok := combine(id, w.reports[id], w.polled[id], w.selection)
	if ok {
		b.Healthy = b.Healthy && !w.suspected[id]
		b.Draining = w.resolveLeaving(b)
	}
	return b, ok
}

// markSignalsStale makes the next snapshot check the leaving signals, which expire.
func (w *Watcher) markSignalsStale() {
	for id := range w.leavingSignals {
		w.stale[id] = true
	}
}

// Suspect marks a backend server as unhealthy until its next successful status call.
func (w *Watcher) Suspect(id unit.BackendID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.reports[id]; ok {
		w.suspected[id], w.stale[id] = true, true
	}
}
