package announcer

import (
	"context"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/wire/peer"
)

// maxStatedAge bounds the age of a view that a peer states. No bound on the age of a view is as
// long.
const maxStatedAge = 24 * time.Hour

// maxComparedAge is the age up to which the configuration of a peer shows that there is no later one. A
// daemon in touch confirms its own more often.
const maxComparedAge = 2 * time.Second

// configurationFetch requests the configuration of a peer that has a newer version than this
// daemon.
type configurationFetch struct {
	peer        unit.HostID
	address     string
	confirmedAt time.Time
}

// recordView records how current the peer's views are, and compares its version of the
// configuration with that of this daemon. It confirms an equal revision as of the time at which
// the peer's was the newest one, and requests a fetch of a newer version unless a fetch is
// waiting. A peer that has compared its version with others, and has no later one, shows that this
// daemon has the newest.
func (a *Announcer) recordView(b *peer.Beacon, now time.Time) {
	v, ok := a.viewOf(b)
	if !ok {
		return
	}
	a.Directory.RecordPeerView(v, now)
	known := a.Directory.Configuration().Version()
	if b.Compared && now.Sub(v.ConfiguredAt) <= maxComparedAge && !v.Configuration.IsNewer(known) {
		a.Directory.RecordCompared()
	}
	switch {
	case v.Configuration.Revision.IsUnknown():
	case v.Configuration.Revision == known.Revision:
		a.Directory.Confirm(known.Revision, v.ConfiguredAt)
	case v.Configuration.IsNewer(known):
		select {
		case a.fetches <- configurationFetch{peer: unit.HostID(b.Host), address: b.Address, confirmedAt: v.ConfiguredAt}:
		default:
		}
	}
}

// viewOf returns how current the peer's views were when it sent its beacon, or false if that
// can't be dated.
func (a *Announcer) viewOf(b *peer.Beacon) (directory.PeerView, bool) {
	sent, ok := a.earliestSendTime(b)
	v := directory.PeerView{Configuration: directory.ConfigurationVersion{
		Number: routing.Version(b.ConfigurationVersion), Revision: unit.Revision{Era: unit.Era(b.RevisionEra), Number: b.Revision},
	}, ConfiguredAt: sent.Add(-statedAge(b.ConfirmedMs)), ServersEra: unit.Era(b.ServersEra)}
	if b.ServersMs > 0 {
		v.ServersAt = sent.Add(-statedAge(b.ServersMs))
	}
	return v, ok
}

// statedAge returns an age that a peer states, cut so that it can't overflow.
func statedAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxStatedAge.Milliseconds()))) * time.Millisecond
}

// earliestSendTime returns the earliest time, on the clock of this daemon, at which the peer can
// have sent its beacon, or false if the beacon echoes no recent beacon or states impossible
// times: the peer sent it no earlier than echo_ms after this daemon sent the echoed one.
func (a *Announcer) earliestSendTime(b *peer.Beacon) (time.Time, bool) {
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
	return sent.Add(time.Duration(b.EchoMs) * time.Millisecond), true
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
