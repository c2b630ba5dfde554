package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"oleandercove.example/core/clock"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// record is the value of a lease object.
type record struct {
	Holder string
	Fence  unit.Fence
	// Released means that the holder ended its orders and gave the lease up.
	Released bool `json:",omitempty"`
	// Stamp lets the events of the next holder come after those of this one.
	Stamp clock.Stamp
}

// lease is what this daemon knows of one lease object. Only Step changes it.
type lease struct {
	index   int
	version unit.Version
	// seen is when this daemon first read the version.
	seen time.Time
	held bool
	// until and ready bound the time in which orders are allowed.
	until, ready time.Time
	fence        unit.Fence
}

func objectName(index int) string { return fmt.Sprintf("shards-%d", index) }

// write sends one conditional update and returns the time before it was sent.
func (l *Leaser) write(ctx context.Context, c *lease, r record) (time.Time, error) {
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
	l.mu.Lock()
	defer l.mu.Unlock()
	c.version, c.seen = o.Version, l.options.Timer.Now()
	return sent, nil
}

// renew extends a held lease. A renewal with an unknown outcome does not extend
// it; the version is read again before the next attempt, because the write may
// have taken effect.
func (l *Leaser) renew(ctx context.Context, c *lease) bool {
	sent, err := l.write(ctx, c, record{Holder: l.holder, Fence: c.fence})
	if err != nil {
		l.options.Log.Warn("lease was not renewed", "object", objectName(c.index), "until", c.until, "err", err)
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown) {
		l.refresh(ctx, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Timer.Now()
	// A lease that ended before the renewal was confirmed is taken again with a
	// new fencing number, as if it had belonged to another daemon.
	if !now.Before(c.until) {
		c.held = false
	}
	if err == nil && c.held {
		c.until = sent.Add(l.options.Term)
	}
	return c.held
}

// refresh reads a held lease again and drops it if another daemon took it.
func (l *Leaser) refresh(ctx context.Context, c *lease) {
	o, r, err := l.read(ctx, c)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.version, c.seen = o.Version, l.options.Timer.Now()
	if r.Holder != l.holder || r.Fence != c.fence {
		c.held = false
	}
}

// read returns the object and its record; version 0 means that there is none.
func (l *Leaser) read(ctx context.Context, c *lease) (platform.Object, record, error) {
	var r record
	o, err := l.options.Platform.Get(ctx, platform.KindLease, objectName(c.index))
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{}, r, nil
	}
	if err != nil || o.Deleted {
		return o, r, err
	}
	// A value that can't be decoded counts as held by an unknown daemon, so
	// that it is taken only after the whole term.
	if json.Unmarshal(o.Value, &r) != nil || r.Holder == "" {
		r = record{Holder: "unknown"}
	}
	l.options.Clock.Observe(r.Stamp)
	return o, r, nil
}

// observe reads a lease of another daemon and takes it once the same version
// has been there for the whole term. Candidates of a lower rank wait longer, so
// that they don't compete.
func (l *Leaser) observe(ctx context.Context, c *lease, rank int) bool {
	o, r, err := l.read(ctx, c)
	if err != nil {
		return false
	}
	now := l.options.Timer.Now()
	l.mu.Lock()
	if o.Version != c.version || c.seen.IsZero() {
		c.version, c.seen = o.Version, now
	}
	waited := now.Sub(c.seen)
	l.mu.Unlock()
	delay := time.Duration(rank) * l.interval()
	free := r.Holder == "" || r.Released
	if free && waited >= delay {
		return l.take(ctx, c, 0)
	}
	if r.Holder == l.holder {
		return l.take(ctx, c, l.options.OrderLimit)
	}
	if !free && waited >= l.wait()+delay {
		return l.take(ctx, c, l.options.OrderLimit)
	}
	return false
}

// wait is how long the same version must be seen: the term on the holder's
// clock, which may be slower than the own one.
func (l *Leaser) wait() time.Duration {
	return l.options.Term + l.options.Term/driftDivisor
}

// take writes a new fencing number; orders are allowed after the pause.
func (l *Leaser) take(ctx context.Context, c *lease, pause time.Duration) bool {
	fence := unit.Fence(c.version + 1)
	sent, err := l.write(ctx, c, record{Holder: l.holder, Fence: fence})
	if err != nil {
		l.options.Log.Info("lease was not taken", "object", objectName(c.index), "err", err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Timer.Now()
	c.until, c.ready, c.fence = sent.Add(l.options.Term), now.Add(pause+pause/driftDivisor), fence
	c.held = now.Before(c.until)
	l.options.Log.Info("lease taken", "object", objectName(c.index), "fence", fence)
	return c.held
}
