package watcher

import (
	"encoding/json"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/replicator"
	"oleandercove.example/wire/peer"
)

// origin is how a daemon obtained a report.
type origin string

const (
	// fromList is a row of the platform's host list.
	fromList origin = "list"
	// fromPoll is a status call.
	fromPoll origin = "poll"
)

// separator joins the parts of a key; ids don't contain it.
const separator = "\x00"

// source is a daemon and the origin of its report.
type source struct {
	origin origin
	host   unit.HostID
}

// report is one daemon's view of a backend server.
type report struct {
	version uint64
	// removed means that the backend server left the host list, or that the daemon
	// withdrew its report.
	removed bool
	backend Backend
}

func key(id unit.BackendID, s source) string {
	return strings.Join([]string{string(id), string(s.origin), string(s.host)}, separator)
}

// inDigest reports whether an item counts in digests; removed reports, which have
// no value, don't.
func inDigest(i replicator.Item) bool { return len(i.Value) > 0 }

func encode(id unit.BackendID, s source, r report) (replicator.Item, error) {
	i := replicator.Item{Key: key(id, s), Version: r.version}
	if r.removed {
		return i, nil
	}
	m := &peer.BackendReport{
		Role: string(r.backend.Role), Address: r.backend.Address, DataCentre: string(r.backend.DataCentre),
		Serves: string(r.backend.Serves), Healthy: r.backend.Healthy, Draining: r.backend.Draining,
	}
	var err error
	if r.backend.Engine != nil {
		if m.Status, err = json.Marshal(r.backend.Engine); err != nil {
			return i, err
		}
	}
	i.Value, err = proto.Marshal(m)
	return i, err
}

func decode(i replicator.Item, now time.Time) (id unit.BackendID, s source, r report, ok bool) {
	parts := strings.Split(i.Key, separator)
	if len(parts) != 3 {
		return id, s, r, false
	}
	id, s = unit.BackendID(parts[0]), source{origin(parts[1]), unit.HostID(parts[2])}
	r = report{version: i.Version, removed: len(i.Value) == 0}
	var m peer.BackendReport
	if proto.Unmarshal(i.Value, &m) != nil {
		return id, s, r, false
	}
	r.backend = Backend{
		ID: id, Role: platform.Role(m.Role), Address: m.Address, DataCentre: unit.DataCentre(m.DataCentre),
		Serves: unit.EntryName(m.Serves), Healthy: m.Healthy, Draining: m.Draining, Seen: now,
	}
	if len(m.Status) > 0 {
		r.backend.Engine = &engine.Status{}
		if json.Unmarshal(m.Status, r.backend.Engine) != nil {
			return id, s, r, false
		}
	}
	return id, s, r, true
}

// applyReports stores reports from peers.
func (w *Watcher) applyReports(items []replicator.Item) {
	now := w.options.Timer.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range items {
		id, s, r, ok := decode(i, now)
		if !ok {
			w.options.Log.Error("skipped a malformed report on a backend server", "key", i.Key)
			continue
		}
		w.storeReport(id, s, r)
	}
}

func (w *Watcher) storeReport(id unit.BackendID, s source, r report) {
	all := w.reports[id]
	if all == nil {
		all = map[source]report{}
		w.reports[id] = all
	}
	if old, ok := all[s]; !ok || old.version < r.version {
		all[s] = r
		w.stale[id] = true
		if s.host == w.self {
			w.reported[id] = true
		}
	}
}

// publish stores a report of this daemon and queues it for peers.
func (w *Watcher) publish(id unit.BackendID, o origin, r report) {
	s := source{o, w.options.Members.Self().Host}
	now := uint64(w.options.Timer.Now().UnixMilli())
	w.mu.Lock()
	r.version = max(now, w.reports[id][s].version+1)
	if old, ok := w.table.Get(key(id, s)); ok {
		// Peers may have a newer version from before a restart that set the clock back.
		r.version = max(r.version, old.Version+1)
	}
	w.storeReport(id, s, r)
	i, err := encode(id, s, r)
	if err == nil {
		w.outbox = append(w.outbox, i)
	}
	w.mu.Unlock()
	if err != nil {
		w.options.Log.Error("could not encode a report on a backend server", "backend", id, "err", err)
	}
}

// flush pushes the queued reports to peers as one change.
func (w *Watcher) flush() {
	w.mu.Lock()
	items := w.outbox
	w.outbox = nil
	w.mu.Unlock()
	if len(items) > 0 {
		w.table.Set(items...)
	}
}
