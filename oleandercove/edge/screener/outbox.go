package screener

import (
	"time"

	"oleandercove.example/oleandercove/quarantiner"
)

const (
	// tellTime is how long peers are told of a mark; beacons get lost, and a large
	// fleet hears from each daemon within this time.
	tellTime = 3 * time.Second
	// withdrawnTime is how long a withdrawal is remembered. No peer tells of the mark
	// for longer, unless it has convicted the request.
	withdrawnTime = time.Minute
	// maxOutbox bounds the marks and withdrawals in one beacon, maxWithdrawn those that
	// are remembered, and maxConvictions the convicted requests in one beacon.
	maxOutbox      = 64
	maxWithdrawn   = 4096
	maxConvictions = 32
	// recentTime is the time for which a request that has run to its end gets no
	// mark; requests with the same content can be many, and servers end by themselves.
	recentTime = 30 * time.Second
	// maxRecent bounds the requests that are remembered in each half of that time.
	maxRecent = 8192
)

// markKey names one mark.
type markKey struct {
	fingerprint quarantiner.Fingerprint
	crash       quarantiner.CrashID
}

func keyOf(m quarantiner.Mark) markKey { return markKey{m.Fingerprint, m.Crash} }

// item is a mark or a withdrawal that peers are told of until a time.
type item struct {
	mark  quarantiner.Mark
	until time.Time
}

// outbox is what peers are told, and the withdrawals that are remembered, because a
// mark can arrive after its withdrawal.
type outbox struct {
	items []item
	gone  map[markKey]time.Time
}

func newOutbox() outbox { return outbox{gone: map[markKey]time.Time{}} }

// add tells peers of a mark or a withdrawal from now on.
func (o *outbox) add(m quarantiner.Mark, now time.Time) {
	if m.Cleared {
		o.remember(m, now)
	}
	o.items = append(o.items, item{mark: m, until: now.Add(tellTime)})
	o.items = o.items[max(0, len(o.items)-maxOutbox):]
}

// remember notes a withdrawal.
func (o *outbox) remember(m quarantiner.Mark, now time.Time) {
	if len(o.gone) >= maxWithdrawn {
		clear(o.gone)
	}
	o.gone[keyOf(m)] = now.Add(withdrawnTime)
}

// withdrawn tells whether a mark has been withdrawn.
func (o *outbox) withdrawn(m quarantiner.Mark, now time.Time) bool {
	until, ok := o.gone[keyOf(m)]
	return ok && now.Before(until)
}

// current returns what peers are told now. A mark that was withdrawn meanwhile is
// left out.
func (o *outbox) current(now time.Time) []quarantiner.Mark {
	kept, out := o.items[:0], []quarantiner.Mark(nil)
	for _, i := range o.items {
		if !now.Before(i.until) || (!i.mark.Cleared && o.withdrawn(i.mark, now)) {
			continue
		}
		kept, out = append(kept, i), append(out, i.mark)
	}
	o.items = kept
	return out
}

// recent holds the requests that ran to their end within recentTime, in two halves of
// which the older one is dropped as a whole.
type recent struct {
	young, old map[quarantiner.Fingerprint]bool
	// turned is when the halves changed last.
	turned time.Time
}

func (r *recent) add(f quarantiner.Fingerprint, now time.Time) {
	r.turn(now)
	if len(r.young) >= maxRecent {
		r.old, r.young, r.turned = r.young, nil, now
	}
	if r.young == nil {
		r.young = map[quarantiner.Fingerprint]bool{}
	}
	r.young[f] = true
}

func (r *recent) has(f quarantiner.Fingerprint, now time.Time) bool {
	r.turn(now)
	return r.young[f] || r.old[f]
}

// turn drops what is too old.
func (r *recent) turn(now time.Time) {
	age := now.Sub(r.turned)
	switch {
	case age >= recentTime:
		r.young, r.old, r.turned = nil, nil, now
	case age >= recentTime/2:
		r.old, r.young, r.turned = r.young, nil, now
	}
}
