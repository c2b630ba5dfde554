package announcer

import (
	"context"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/wire/peer"
)

// maxConfirmedAge bounds the age of a configuration that a peer states. No bound on the
// age of keys is as long.
const maxConfirmedAge = 24 * time.Hour

// configurationFetch requests the configuration of a peer that has a newer revision
// than this daemon.
type configurationFetch struct {
	peer        unit.HostID
	address     string
	confirmedAt time.Time
}

// confirmConfiguration compares the peer's revision of the configuration with that of
// this daemon. It confirms an equal revision as of the time that confirmedAt returns, and
// requests a fetch of a newer revision unless a fetch is waiting.
func (a *Announcer) confirmConfiguration(b *peer.Beacon, now time.Time) {
	at, ok := a.confirmedAt(b)
	if !ok || b.Revision == 0 {
		return
	}
	conf := a.Directory.Configuration()
	switch {
	case conf != nil && unit.Revision(b.Revision) == conf.Revision:
		a.Directory.Confirm(conf.Revision, at)
	case conf == nil || unit.Revision(b.Revision) > conf.Revision:
		select {
		case a.fetches <- configurationFetch{peer: unit.HostID(b.Host), address: b.Address, confirmedAt: at}:
		default:
		}
	}
}

// confirmedAt returns, on the clock of this daemon, a time at which the peer's
// configuration was the newest one, or false if the beacon echoes no recent beacon or
// states impossible times. The peer sent its beacon no earlier than echo_ms after this
// daemon sent the echoed one.
func (a *Announcer) confirmedAt(b *peer.Beacon) (time.Time, bool) {
	if b.EchoIncarnation != a.incarnation || b.Echo == 0 {
		return time.Time{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Echo > a.lastNumber || a.lastNumber-b.Echo >= uint64(len(a.sentAt)) {
		return time.Time{}, false
	}
	sent := a.sentAt[b.Echo%uint64(len(a.sentAt))]
	elapsed := a.Timer.Now().Sub(sent)
	if b.EchoMs > uint64(max(0, elapsed.Milliseconds())) {
		return time.Time{}, false
	}
	age := time.Duration(min(b.ConfirmedMs, uint64(maxConfirmedAge.Milliseconds()))) * time.Millisecond
	return sent.Add(time.Duration(b.EchoMs)*time.Millisecond - age), true
}

// runFetches fetches and installs the requested configurations, one at a time, until
// ctx is done.
func (a *Announcer) runFetches(ctx context.Context) {
	for {
		select {
		case f := <-a.fetches:
			a.fetch(ctx, f)
		case <-ctx.Done():
			return
		}
	}
}

// fetch fetches and installs the configuration of a peer.
func (a *Announcer) fetch(ctx context.Context, f configurationFetch) {
	r := directory.Receipt{Peer: f.peer, At: f.confirmedAt, Requested: a.Timer.Now()}
	revision, packed, err := a.FetchConfiguration(ctx, f.address)
	r.Received = a.Timer.Now()
	if err != nil {
		a.Log.Warn("configuration fetch from peer failed", "peer", f.peer, "took", r.Received.Sub(r.Requested), "err", err)
		return
	}
	if err := a.Directory.InstallPacked(revision, packed, r); err != nil {
		a.Log.Warn("configuration from peer not installed", "peer", f.peer, "err", err)
	}
}
