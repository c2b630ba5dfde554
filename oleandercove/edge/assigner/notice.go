package assigner

import (
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/partitioner"
)

// noticeDelay is the time between the notice to peers that an engine will release layers
// and the order. It covers the transit of one datagram and requests already sent.
const noticeDelay = 300 * time.Millisecond

// notice announces to peers that an engine will be ordered to release layers.
type notice struct {
	held, layers backend.Layers
	at           time.Time
}

// kept returns the held layers that the engine keeps.
func (n notice) kept() backend.Layers {
	kept := backend.Layers{From: max(n.held.From, n.layers.From), To: min(n.held.To, n.layers.To)}
	if kept.Len() <= 0 {
		return backend.Layers{}
	}
	return kept
}

// notices holds the engines that will be ordered to release layers.
type notices map[unit.BackendID]notice

// update returns the orders that are due now, the notices that are active, and whether
// one of them is new, so that peers must be notified. An order by which an engine
// releases layers waits for noticeDelay, because requests whose chain still includes
// these layers would be rejected.
//
// Load pattern: many daemons choose chains from a registry that lags, some hundred
// requests a second, while a repair migrates layers.
func (n notices) update(targets []partitioner.Target, engines []partitioner.Engine, now time.Time) (due []partitioner.Target, active notices, changed bool) {
	active = notices{}
	for _, t := range targets {
		layers := layersHeldBy(engines, t.Engine)
		if layers.Len() == 0 || t.Layers.Contains(layers) {
			due = append(due, t)
			continue
		}
		x, ok := n[t.Engine]
		if !ok || x.held != layers || x.layers != t.Layers {
			x, changed = notice{held: layers, layers: t.Layers, at: now}, true
		}
		active[t.Engine] = x
		if now.Sub(x.at) >= noticeDelay {
			due = append(due, t)
		}
	}
	return due, active, changed
}

func layersHeldBy(engines []partitioner.Engine, id unit.BackendID) backend.Layers {
	for _, e := range engines {
		if e.ID == id {
			return e.Layers
		}
	}
	return backend.Layers{}
}

// announceReleases notifies peers of the layers that engines will release, and returns
// the orders that are due now.
func (a *Assigner) announceReleases(targets []partitioner.Target, engines []partitioner.Engine, now time.Time) []partitioner.Target {
	a.mu.Lock()
	due, active, changed := a.notices.update(targets, engines, now)
	a.notices = active
	a.mu.Unlock()
	for id, n := range active {
		a.Judge.SetReleasing(id, n.held, n.kept(), now)
	}
	if changed {
		a.FlushNow()
	}
	return due
}
