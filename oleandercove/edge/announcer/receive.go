package announcer

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/follower"
	"oleandercove.example/wire/peer"
)

// receive applies a beacon of a peer. Beacons of this daemon, and those that are not
// newer than the last one of the peer, are ignored.
func (a *Announcer) receive(data []byte, from *net.UDPAddr) {
	var b peer.Beacon
	if err := proto.Unmarshal(data, &b); err != nil {
		a.Log.Warn("beacon decoding failed", "from", from, "err", err)
		return
	}
	if b.Host == "" || b.Host == string(a.Host) {
		return
	}
	now := a.Timer.Now()
	isNewProcess := !a.knowsProcess(&b, from)
	newlyDown, ok := a.recordPeer(&b, from, now)
	if !ok {
		return
	}
	if isNewProcess {
		a.welcome(&b, from, now)
	}
	a.applyLoads(&b, now)
	if len(b.Crashes) > 0 {
		a.Screener.Merge(decodeCrashes(b.Crashes, now))
	}
	if len(b.Passes)+len(b.PoisonSets) > 0 {
		a.Screener.MergeParts(decodePassesAndSets(&b, now))
	}
	if len(b.Limits) > 0 {
		a.Throttler.Merge(decodeLimits(b.Limits, now))
	}
	for _, l := range b.LeavingServers {
		at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
		a.Directory.RecordLeaving(directory.LeavingNotice{Server: unit.BackendID(l.Server), Born: backend.Incarnation(l.Born), At: at}, false, now)
	}
	for _, id := range newlyDown {
		a.ProbeSuspect(id)
	}
	for _, e := range b.Engines {
		a.applyEngineState(e, now)
	}
	a.recordView(&b, now)
}

// knowsProcess reports whether a beacon of the sender's process was received before.
func (a *Announcer) knowsProcess(b *peer.Beacon, from *net.UDPAddr) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[from.String()]
	return p != nil && p.incarnation == b.Incarnation
}

// welcome sends a beacon at once to a process of the same data centre that has just started. It
// accepts no keys until it has compared its configuration with that of another daemon.
func (a *Announcer) welcome(b *peer.Beacon, from *net.UDPAddr, now time.Time) {
	conf := a.Directory.Configuration()
	if b.DataCentre != string(a.DataCentre) || conf == nil || conf.Revision.Era == 0 || !conf.IsCompared(now) {
		return
	}
	a.mu.Lock()
	p := *a.peers[from.String()]
	a.mu.Unlock()
	a.sendTo([]peerState{p}, a.currentAggregation(now), now)
}

// applyEngineState records the slowdown of an engine and the layers that it will release,
// as the holder of the placement lease has read them. Layers to keep that are not among
// those that the engine holds are ignored.
func (a *Announcer) applyEngineState(e *peer.EngineState, now time.Time) {
	id := unit.BackendID(e.Server)
	if e.Slowdown > 0 {
		a.Judge.SetSlowdown(id, float64(e.Slowdown)/100, now)
	}
	held, kept := layers(e.From, e.To), layers(e.KeepFrom, e.KeepTo)
	if e.To > 0 && (kept == backend.Layers{} || (kept.Len() > 0 && held.Contains(kept))) {
		a.Judge.SetReleasing(id, held, kept, now)
	}
}

func layers(from, to int32) backend.Layers {
	return backend.Layers{From: unit.Layer(from), To: unit.Layer(to)}
}

// recordPeer records the sender of a beacon and reports whether the beacon is newer
// than the last one. It returns the servers that the peer newly reports down.
func (a *Announcer) recordPeer(b *peer.Beacon, from *net.UDPAddr, now time.Time) ([]unit.BackendID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[from.String()]
	if p == nil {
		p = &peerState{udp: from}
		a.peers[from.String()] = p
	}
	if p.host == "" {
		a.Log.Info("peer discovered", "peer", b.Host, "address", from)
	}
	if p.incarnation == b.Incarnation && b.Number <= p.lastNumber {
		return nil, false
	}
	p.host, p.incarnation, p.lastNumber, p.lastHeard = unit.HostID(b.Host), b.Incarnation, b.Number, now
	p.dataCentre = unit.DataCentre(b.DataCentre)
	p.address, p.leaving, p.servedModel = b.Address, b.Leaving, b.Served
	p.capacity, p.era = follower.Capacity(b.Capacity), unit.Era(b.ServersEra)
	return p.updateDown(b.Marks), true
}
