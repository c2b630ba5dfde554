package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// historyLength is the number of server changes that are kept for peers. A peer that
// is further behind gets all servers.
const historyLength = 512

// history holds the last changes of servers. Its positions are valid for one
// incarnation, which is one run of the process in one era of the store.
type history struct {
	incarnation uint64
	// position is the number of all changes so far; changes holds the last ones.
	position uint64
	changes  []objects.Object
	// wake is closed at the next change of servers or of the configuration.
	wake chan struct{}
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

// restart begins another incarnation, so that no follower continues from a position.
func (h *history) restart() {
	h.incarnation, h.changes = rand.Uint64()|1, nil
	h.position++
	h.notify()
}

func (h *history) notify() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// since returns the changes after a position, or false if they are no longer kept.
func (h *history) since(position uint64) ([]objects.Object, bool) {
	missing := h.position - position
	if position > h.position || missing > uint64(len(h.changes)) {
		return nil, false
	}
	return h.changes[uint64(len(h.changes))-missing:], true
}

// Cursor is the state that a follower has reached.
type Cursor struct {
	Incarnation uint64
	Position    uint64
	// Configuration is the version of the configuration.
	Configuration ConfigurationVersion
}

// Update is the changes after a Cursor, with the age of the sender's view.
type Update struct {
	Cursor Cursor
	// Full is set if Servers holds all servers and not only changes.
	Full    bool
	Servers []objects.Object
	// ServersRevision is the revision of the store up to which all changes of servers are
	// known, ServersAge the time since the list was current, and CoveredFor the time for
	// which the store has answered daemons without a gap.
	ServersRevision unit.Revision
	ServersAge      time.Duration
	CoveredFor      time.Duration
	// EraFor is the time for which the sender has known the era of ServersRevision.
	EraFor time.Duration
	// Packed is the compressed configuration if it is newer than the cursor.
	Packed       []byte
	ConfirmedAge time.Duration
	// Waited is how long the request waited for changes; the ages are those at its end.
	Waited time.Duration
}

// hasChanges reports whether an update holds servers or a configuration.
func (u Update) hasChanges() bool { return u.Full || len(u.Servers) > 0 || u.Packed != nil }

// WaitForUpdate blocks until there are changes after the cursor, at most for wait or until ctx is
// done, and returns the changes. If the list of servers is older than maxAge, it returns at once
// and without servers: the receiver doesn't use them.
//
// Load pattern: the store is away, or rejects the daemons that watch it. All others query the few
// that call the store, again and again, and the lists of all servers would take the links and the
// processor time of these few.
func (d *Directory) WaitForUpdate(ctx context.Context, c Cursor, wait, maxAge time.Duration, now func() time.Time) Update {
	end := time.NewTimer(wait)
	defer end.Stop()
	began := time.Now()
	for {
		u, wake := d.update(c, maxAge, now())
		u.Waited = time.Since(began)
		if u.hasChanges() || u.ServersAge > maxAge {
			return u
		}
		select {
		case <-wake:
		case <-end.C:
			u, _ = d.update(c, maxAge, now())
			u.Waited = time.Since(began)
			return u
		case <-ctx.Done():
			return u
		}
	}
}

func (d *Directory) update(c Cursor, maxAge time.Duration, now time.Time) (Update, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := Update{
		Cursor:          Cursor{Incarnation: d.history.incarnation, Position: d.history.position, Configuration: c.Configuration},
		ServersRevision: d.servers.revision, ServersAge: now.Sub(d.coverage.at), CoveredFor: d.coverage.length(now),
		EraFor: now.Sub(d.eraSince),
	}
	if conf := d.configuration.Load(); conf != nil {
		u.ConfirmedAge = now.Sub(conf.ConfirmedAt)
		u.Cursor.Configuration = conf.Version()
		if conf.Version().IsNewer(c.Configuration) {
			u.Packed = d.pack(conf)
		}
	}
	if u.ServersAge > maxAge {
		// The receiver continues from where it is.
		u.Cursor.Incarnation, u.Cursor.Position = c.Incarnation, c.Position
		return u, d.history.wake
	}
	changes, ok := d.history.since(c.Position)
	if c.Incarnation == d.history.incarnation && ok {
		u.Servers = append(u.Servers, changes...)
		return u, d.history.wake
	}
	u.Full = true
	for _, e := range d.servers.entries {
		if !e.hasLapsed() {
			u.Servers = append(u.Servers, e.object)
		}
	}
	return u, d.history.wake
}

// pack returns a compressed configuration, or nil if that fails; the follower then
// requests it again.
func (d *Directory) pack(conf *Configuration) []byte {
	packed, err := conf.Packed()
	if err != nil {
		d.log.Error("configuration can't be compressed", "revision", conf.Revision, "err", err)
	}
	return packed
}

// ApplyUpdate applies an update from another daemon; the receipt is that of the
// configuration. The times are on this daemon's clock. It returns an error if the
// configuration can't be decompressed or decoded, and ErrOtherEra as Replace and Apply do.
func (d *Directory) ApplyUpdate(u Update, v View, r Receipt) error {
	apply := d.Apply
	if u.Full {
		apply = d.Replace
	}
	return errors.Join(apply(u.Servers, v, r.Received), d.ApplyConfiguration(u, r))
}

// ApplyConfiguration applies only the configuration of an update. It returns an error if the
// configuration can't be decompressed or decoded.
func (d *Directory) ApplyConfiguration(u Update, r Receipt) error {
	if u.Packed != nil {
		return d.InstallPacked(u.Cursor.Configuration.Revision, u.Packed, r)
	}
	d.Confirm(u.Cursor.Configuration.Revision, r.At)
	return nil
}
