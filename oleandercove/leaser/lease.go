package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"oleandercove.example/core/clock"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// record is the value of a lease object.
type record struct {
	Holder string
	Fence  unit.Fence
	// Released means that the holder stopped sending orders and released the lease.
	Released bool `json:",omitempty"`
	// Stamp orders the events of the next holder after those of this one.
	Stamp clock.Stamp
}

// lease is the state of one lease object at this daemon. Only Step and Release change it.
type lease struct {
	index   int
	version unit.Version
	// era is the era of the store in which the version was read. It is a condition for a write
	// within that era only.
	era unit.Era
	// versionSeen is when this daemon first read the version.
	versionSeen time.Time
	// stoppedSince is when this daemon first noticed that the holder has stopped; zero if it
	// has not.
	stoppedSince time.Time
	held         bool
	// Orders are allowed from ordersFrom until expiry, on this daemon's clock.
	expiry, ordersFrom time.Time
	fence              unit.Fence
}

// holderSeparator separates the host and the process of a holder.
const holderSeparator = "/"

// splitHolder returns the host and the process of a holder.
func splitHolder(holder string) (unit.HostID, string) {
	i := strings.LastIndex(holder, holderSeparator)
	if i < 0 {
		return unit.HostID(holder), ""
	}
	return unit.HostID(holder[:i]), holder[i+len(holderSeparator):]
}

func objectName(index int) string { return fmt.Sprintf("shards-%d", index) }

// writeLease sends one conditional update and returns the time just before it was sent. An update
// that is answered in another era than that of its condition has an unknown outcome.
func (l *Leaser) writeLease(ctx context.Context, c *lease, r record) (time.Time, error) {
	r.Stamp = l.options.Clock.Now()
	value, err := json.Marshal(r)
	if err != nil {
		return time.Time{}, err
	}
	sent := l.options.Timer.Now()
	o, err := l.options.Platform.Put(ctx, platform.KindLease, objectName(c.index), c.version, value)
	if err != nil {
		return sent, err
	}
	l.observeEra(o.Revision.Era)
	if o.Revision.Era != c.era {
		return sent, errOtherEra
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.version, c.versionSeen = o.Version, l.options.Timer.Now()
	return sent, nil
}

// renewLease extends a held lease and reports whether it is still held. A renewal with an
// unknown outcome does not extend the lease; the version is read again before the next
// attempt, because the write may have taken effect. A lease that has expired, or is of an earlier
// era of the store, is not renewed.
func (l *Leaser) renewLease(ctx context.Context, c *lease) bool {
	if !l.dropExpired(c) {
		return false
	}
	sent, err := l.writeLease(ctx, c, record{Holder: l.holder, Fence: c.fence})
	if err != nil {
		l.options.Log.Warn("could not renew the lease", "object", objectName(c.index), "until", c.expiry, "err", err)
	}
	if isUnknown(err) {
		l.refreshLease(ctx, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Timer.Now()
	// A lease that expired before its renewal was confirmed is taken again with a
	// new fencing number, as if another daemon had held it.
	if !now.Before(c.expiry) || !l.isCurrent(c) {
		c.held = false
	}
	if err == nil && c.held {
		c.expiry = sent.Add(l.options.Term)
	}
	return c.held
}

// refreshLease reads a held lease again and drops it if another daemon has taken it.
func (l *Leaser) refreshLease(ctx context.Context, c *lease) {
	o, r, err := l.readLease(ctx, c)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Holder != l.holder || r.Fence != c.fence || o.Revision.Era != c.era {
		c.held = false
	}
	c.version, c.era, c.versionSeen = o.Version, o.Revision.Era, l.options.Timer.Now()
}

// readLease returns the object and its record; version 0 means that the object does not
// exist. The revision has the era of the answer in any case.
func (l *Leaser) readLease(ctx context.Context, c *lease) (platform.Object, record, error) {
	var r record
	o, err := l.options.Platform.Get(ctx, platform.KindLease, objectName(c.index))
	l.observeEra(o.Revision.Era)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Revision: unit.Revision{Era: o.Revision.Era}}, r, nil
	}
	if err != nil || o.Deleted {
		return o, r, err
	}
	// A value that can't be decoded counts as a lease of an unknown daemon, which
	// is taken only after the full term.
	if json.Unmarshal(o.Value, &r) != nil || r.Holder == "" {
		r = record{Holder: "unknown"}
	}
	l.options.Clock.Observe(r.Stamp)
	return o, r, nil
}

// watchLease reads a lease that this daemon does not hold, and takes it once it is released,
// its holder has stopped, or its version has not changed for the full term. Daemons of a lower
// rank wait longer, so that they don't compete. A lease whose record already names this
// process is taken at once. After the store has come back from a copy no record proves who holds the
// lease, so none is taken until the term of any earlier holder has passed. watchLease reports
// whether the lease is now held.
func (l *Leaser) watchLease(ctx context.Context, c *lease, rank int) bool {
	o, r, err := l.readLease(ctx, c)
	if err != nil {
		return false
	}
	now := l.options.Timer.Now()
	l.mu.Lock()
	if o.Version != c.version || o.Revision.Era != c.era || c.versionSeen.IsZero() {
		c.version, c.era, c.versionSeen = o.Version, o.Revision.Era, now
	}
	waited := now.Sub(c.versionSeen)
	l.mu.Unlock()
	if !l.isSettled(c) {
		return false
	}
	delay := time.Duration(rank) * l.stepInterval()
	free := r.Holder == "" || r.Released
	if free && waited >= delay {
		return l.takeLease(ctx, c, r, 0)
	}
	if r.Holder == l.holder {
		return l.takeLease(ctx, c, r, l.options.OrderLimit)
	}
	if !free && (waited >= l.takeoverWait()+delay || l.hasStoppedFor(c, r, delay)) {
		return l.takeLease(ctx, c, r, l.options.OrderLimit)
	}
	return false
}

// hasStoppedFor reports whether the holder is known to have stopped, for at least the given
// time.
func (l *Leaser) hasStoppedFor(c *lease, r record, d time.Duration) bool {
	now := l.options.Timer.Now()
	switch {
	case !l.options.HasStopped(splitHolder(r.Holder)):
		c.stoppedSince = time.Time{}
		return false
	case c.stoppedSince.IsZero():
		c.stoppedSince = now
	}
	return now.Sub(c.stoppedSince) >= d
}

// takeoverWait returns how long the version must be unchanged: the term on the holder's
// clock, which may be slower than this daemon's.
func (l *Leaser) takeoverWait() time.Duration {
	return l.options.Term + l.options.Term/driftDivisor
}

// takeLease writes a new fencing number over the record of the last holder and reports
// whether the lease is now held. Orders are allowed once the pause has passed after the
// write.
func (l *Leaser) takeLease(ctx context.Context, c *lease, last record, pause time.Duration) bool {
	fence := nextFence(c.era, c.version)
	sent, err := l.writeLease(ctx, c, record{Holder: l.holder, Fence: fence})
	if err != nil {
		l.options.Log.Info("could not take the lease", "object", objectName(c.index), "err", err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Timer.Now()
	c.expiry, c.ordersFrom, c.fence = sent.Add(l.options.Term), now.Add(pause+pause/driftDivisor), fence
	c.held = now.Before(c.expiry) && l.isCurrent(c)
	l.options.Log.Info("lease taken", "object", objectName(c.index), "fence", fence, "from", last.Holder,
		"released", last.Released, "stopped", !c.stoppedSince.IsZero())
	c.stoppedSince = time.Time{}
	return c.held
}
