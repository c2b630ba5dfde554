package announcer

import (
	"context"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/wire/peer"
)

// fetch is a configuration that a peer has and this daemon lacks.
type fetch struct {
	address   string
	confirmed time.Time
}

// confirm takes over up to which time the peer knows the configuration.
func (a *Announcer) confirm(b *peer.Beacon, now time.Time) {
	at, ok := a.confirmedAt(b)
	if !ok || b.Revision == 0 {
		return
	}
	k := a.Directory.Knowledge()
	switch {
	case k != nil && unit.Revision(b.Revision) == k.Revision:
		a.Directory.Confirm(k.Revision, at)
	case k == nil || unit.Revision(b.Revision) > k.Revision:
		select {
		case a.fetches <- fetch{address: b.Address, confirmed: at}:
		default:
		}
	}
}

// confirmedAt returns on the own clock a time at which the peer's configuration
// was the newest one. The peer sent its beacon no earlier than echo_ms after the
// own beacon that it answers was sent.
func (a *Announcer) confirmedAt(b *peer.Beacon) (time.Time, bool) {
	if b.EchoIncarnation != a.incarnation || b.Echo == 0 {
		return time.Time{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Echo > a.number || a.number-b.Echo >= uint64(len(a.sent)) {
		return time.Time{}, false
	}
	sent := a.sent[b.Echo%uint64(len(a.sent))]
	return sent.Add(time.Duration(b.EchoMs)*time.Millisecond - time.Duration(b.ConfirmedMs)*time.Millisecond), true
}

// fetchAll reads configurations that peers have and this daemon lacks.
func (a *Announcer) fetchAll(ctx context.Context) {
	for {
		select {
		case f := <-a.fetches:
			revision, packed, err := a.Fetch(ctx, f.address)
			if err != nil {
				a.Log.Warn("configuration of a peer not read", "peer", f.address, "err", err)
				continue
			}
			if err := a.Directory.InstallPacked(revision, packed, f.confirmed); err != nil {
				a.Log.Warn("configuration of a peer not usable", "peer", f.address, "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}
