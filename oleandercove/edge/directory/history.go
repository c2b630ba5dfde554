package directory

import (
	"context"
	"math/rand/v2"
	"time"

	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// historyLength is the number of changes of servers that are kept for peers. A
// peer that is further behind gets all servers.
const historyLength = 512

// history holds the last changes of servers. Its positions are those of this
// run of the process.
type history struct {
	incarnation uint64
	// position counts all changes; changes holds the last ones.
	position uint64
	changes  []objects.Object
	wake     chan struct{}
}

func newHistory() history {
	return history{incarnation: rand.Uint64() | 1, wake: make(chan struct{})}
}

func (h *history) add(o objects.Object) {
	h.position++
	h.changes = append(h.changes, o)
	if len(h.changes) > historyLength {
		h.changes = h.changes[len(h.changes)-historyLength:]
	}
	h.notify()
}

func (h *history) notify() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// since returns the changes after a position, or false if they are gone.
func (h *history) since(position uint64) ([]objects.Object, bool) {
	missing := h.position - position
	if position > h.position || missing > uint64(len(h.changes)) {
		return nil, false
	}
	return h.changes[uint64(len(h.changes))-missing:], true
}

// Cursor is what a follower knows already.
type Cursor struct {
	Incarnation uint64
	Position    uint64
	Revision    unit.Revision
}

// Update is what a follower lacks, with the age of the knowledge.
type Update struct {
	Cursor Cursor
	// Full means that Servers holds all servers, not only changes.
	Full       bool
	Servers    []objects.Object
	ServersAge time.Duration
	// Packed is the configuration if it is news, compressed.
	Packed       []byte
	ConfirmedAge time.Duration
	// Held is how long the question was held; the ages are those at its end.
	Held time.Duration
}

// news tells whether an update says more than that nothing has changed.
func (u Update) news() bool { return u.Full || len(u.Servers) > 0 || u.Packed != nil }

// Follow waits until there is something that a follower lacks, at most for a
// time.
func (d *Directory) Follow(ctx context.Context, c Cursor, wait time.Duration, now func() time.Time) Update {
	end := time.NewTimer(wait)
	defer end.Stop()
	began := time.Now()
	for {
		u, wake := d.update(c, now())
		u.Held = time.Since(began)
		if u.news() {
			return u
		}
		select {
		case <-wake:
		case <-end.C:
			u, _ = d.update(c, now())
			u.Held = time.Since(began)
			return u
		case <-ctx.Done():
			return u
		}
	}
}

func (d *Directory) update(c Cursor, now time.Time) (Update, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := Update{
		Cursor:     Cursor{Incarnation: d.history.incarnation, Position: d.history.position, Revision: c.Revision},
		ServersAge: now.Sub(d.serversAt),
	}
	if k := d.knowledge.Load(); k != nil {
		u.ConfirmedAge = now.Sub(k.Confirmed)
		u.Cursor.Revision = k.Revision
		if k.Revision > c.Revision {
			u.Packed = d.pack(k)
		}
	}
	changes, ok := d.history.since(c.Position)
	if c.Incarnation == d.history.incarnation && ok {
		u.Servers = append(u.Servers, changes...)
		return u, d.history.wake
	}
	u.Full = true
	for _, e := range d.servers.entries {
		u.Servers = append(u.Servers, e.object)
	}
	return u, d.history.wake
}

// pack returns a compressed configuration, or nil if that fails; the follower
// then asks again.
func (d *Directory) pack(k *Knowledge) []byte {
	packed, err := k.Packed()
	if err != nil {
		d.log.Error("configuration can't be compressed", "revision", k.Revision, "err", err)
	}
	return packed
}

// TakeOver applies what another daemon knows. The times are on the own clock.
func (d *Directory) TakeOver(u Update, serversAt, confirmedAt, now time.Time) error {
	if u.Full {
		d.Replace(u.Servers, serversAt, now)
	} else {
		d.Apply(u.Servers, serversAt, now)
	}
	if u.Packed != nil {
		return d.InstallPacked(u.Cursor.Revision, u.Packed, confirmedAt)
	}
	d.Confirm(u.Cursor.Revision, confirmedAt)
	return nil
}
