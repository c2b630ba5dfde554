package throttler

import (
	"cmp"
	"slices"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

// Mark is a change of the limit of a server, for peers.
type Mark struct {
	Server unit.BackendID
	Born   backend.Incarnation
	// Limited is set if the server names the limit, and not if it names none any more.
	Limited bool
	Limit   unit.RequestsPerSecond
	// At is when the server last said so.
	At time.Time
}

// Marks returns the changes of the last broadcastTime, at most maxBroadcast of them, the newest
// first.
func (t *Throttler) Marks(now time.Time) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Mark
	changed := map[unit.BackendID]time.Time{}
	for id, x := range t.servers {
		if now.Sub(x.changedAt) < broadcastTime {
			out = append(out, Mark{Server: id, Born: x.born, Limited: x.limited, Limit: x.limit, At: x.at})
			changed[id] = x.changedAt
		}
	}
	slices.SortFunc(out, func(a, b Mark) int {
		return cmp.Or(changed[b.Server].Compare(changed[a.Server]), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(len(out), maxBroadcast)]
}

// Merge applies the changes that a peer has received from servers. One that is older than the
// last response here is ignored.
func (t *Throttler) Merge(marks []Mark) {
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range marks {
		x := t.servers[m.Server]
		known := x != nil && x.born == m.Born
		if known && !m.At.After(x.at) {
			continue
		}
		switch {
		case m.Limited && (!known || !x.limited):
			t.setLimit(backend.Server{ID: m.Server, Born: m.Born}, m.Limit, m.At, now)
		case !m.Limited && known && x.limited:
			t.endLimit(m.Server, x, m.At, now)
		}
	}
}
