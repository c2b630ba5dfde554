// Package watcher keeps the health and load of backend servers current.
//
// Two daemons of a backend server's data centre poll its status and push
// changes of health, drain state, layers and rates to all peers; two daemons
// read the platform's lagging host list for it. A backend server is hidden at
// the first sign that it leaves. A daemon that sees a failed call suspects the
// backend server and polls it itself until it answers.
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
	// Stalled is true while an engine answers but runs no work.
	Stalled bool
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
	// Interval replaces the shortest time between two rounds of status calls.
	Interval time.Duration
	// Members selects the daemons that poll; nil means this one alone.
	Members gossiper.Members
	// Connector carries reports to and from peers; nil means none.
	Connector connector.Connector
}

// Watcher is the default Backends.
type Watcher struct {
	options Options
	self    unit.HostID
	http    *http.Client
	table   *replicator.Table

	mu sync.RWMutex
	// reports holds what each daemon last said about a backend server.
	reports map[unit.BackendID]map[source]report
	// polled holds this daemon's latest status, published or not.
	polled map[unit.BackendID]report
	// work holds what the status calls showed of the engines' iterations.
	work map[unit.BackendID]work
	// suspected holds backend servers that failed a call of this daemon.
	suspected map[unit.BackendID]bool
	// cached is the last snapshot, and stale holds the backend servers that
	// changed since. A change of the membership discards it.
	cached    []Backend
	stale     map[unit.BackendID]bool
	selection *selection
	// own holds the backend servers that this daemon has reported on.
	own map[unit.BackendID]bool
	// outbox holds reports that were not pushed yet.
	outbox []replicator.Item
	// signs holds the last sign that a backend server leaves.
	signs map[unit.BackendID]sign
	// listed is true after the first host list, ready after the first round of
	// status calls with known backend servers.
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
	if o.Members == nil {
		o.Members = gossiper.Alone{}
	}
	if o.Interval == 0 {
		o.Interval = minInterval
	}
	w := &Watcher{
		options:   o,
		self:      o.Members.Self().Host,
		http:      newHTTP(),
		reports:   map[unit.BackendID]map[source]report{},
		polled:    map[unit.BackendID]report{},
		work:      map[unit.BackendID]work{},
		suspected: map[unit.BackendID]bool{},
		selection: newSelection(nil),
		signs:     map[unit.BackendID]sign{},
		stale:     map[unit.BackendID]bool{},
		own:       map[unit.BackendID]bool{},
	}
	w.table = replicator.New(replicator.Options{
		Connector: o.Connector, Kind: peer.TypeBackends, Timer: o.Timer, Counted: counted,
		Changed: func(_ unit.HostID, items []replicator.Item) { w.received(items) },
	})
	return w
}

// newHTTP returns a client that keeps a connection for each parallel call. The
// default transport keeps two for each address, so that backend servers behind
// one address would get a new connection for most calls.
func newHTTP() *http.Client {
	return &http.Client{Timeout: statusTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: maxParallelCalls, IdleConnTimeout: idleLimit, DisableCompression: true, MaxResponseHeaderBytes: receiver.MaxHead,
	}}
}

// Backends returns a snapshot, ordered by id.
func (w *Watcher) Backends() []Backend {
	live := w.options.Members.Live()
	w.mu.RLock()
	cached, same := w.cached, w.selection.of(live) && len(w.stale) == 0
	w.mu.RUnlock()
	if cached != nil && same {
		return cached
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.selectFrom(live)
	w.refresh()
	return w.cached
}

// selectFrom selects the watchers anew after a change of the membership.
func (w *Watcher) selectFrom(live []gossiper.Member) {
	if !w.selection.of(live) {
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
// still read the old one. It returns false if rows come or go.
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
		b.Draining = w.settleSign(b)
	}
	return b, ok
}

// touchSigns makes the next snapshot check signs, which expire with time.
func (w *Watcher) touchSigns() {
	for id := range w.signs {
		w.stale[id] = true
	}
}

// Suspect marks a backend server as unhealthy until its next good status.
func (w *Watcher) Suspect(id unit.BackendID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.reports[id]; ok {
		w.suspected[id], w.stale[id] = true, true
	}
}
