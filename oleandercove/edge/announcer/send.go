package announcer

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/wire/peer"
)

// FlushNow sends a beacon to all peers at once, in addition to the regular beacons.
func (a *Announcer) FlushNow() {
	now := a.Timer.Now()
	a.mu.Lock()
	all := make([]peerState, 0, len(a.peers))
	for _, p := range a.peers {
		all = append(all, *p)
	}
	a.mu.Unlock()
	a.sendTo(all, a.currentAggregation(now), now)
}

// sendRound sends the regular beacon to a bounded number of peers and expires old
// entries of the ledger.
func (a *Announcer) sendRound(now time.Time) {
	a.Ledger.Expire(now)
	a.Ledger.SetOtherDaemons(a.knownPeers())
	a.Ledger.NextRound()
	g := a.currentAggregation(now)
	a.sendTo(a.targets(g, now), g, now)
}

func (a *Announcer) sendTo(peers []peerState, g aggregation, now time.Time) {
	parts := a.Screener.PartUpdate(now)
	data, err := proto.Marshal(a.newBeacon(parts.Sets, now))
	if err != nil {
		a.Log.Error("beacon encoding failed", "err", err)
		return
	}
	report := a.collectLoads(g, encodePasses(parts.Passes, now), now)
	for _, p := range peers {
		part := report.partFor(p)
		part.Echo, part.EchoIncarnation, part.EchoMs = p.lastNumber, p.incarnation, uint64(now.Sub(p.lastHeard).Milliseconds())
		// Concatenated encodings of a message are decoded as one message.
		datagram, err := proto.MarshalOptions{}.MarshalAppend(data[:len(data):len(data)], part)
		if err != nil {
			a.Log.Error("beacon encoding failed", "err", err)
			return
		}
		if _, err := a.conn.WriteToUDP(datagram, p.udp); err != nil {
			a.Log.Debug("beacon send failed", "peer", p.host, "err", err)
		}
		if p.dataCentre != a.DataCentre {
			a.Crossings.Add(measurer.Beacons, len(datagram))
		}
	}
}

// targets returns copies of the peers that get the next beacon: a bounded number of
// those in this data centre and of those in all others, and those with which this daemon
// exchanges as an aggregator. It removes peers that have been silent for longer than
// peerExpiry.
func (a *Announcer) targets(g aggregation, now time.Time) []peerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sameCentre, otherCentres, partners []*peerState
	for address, p := range a.peers {
		switch {
		case now.Sub(p.lastHeard) > peerExpiry:
			delete(a.peers, address)
		case p.dataCentre == a.DataCentre:
			sameCentre = append(sameCentre, p)
		case g.exchangesWith(p.host) && p.isLive(now):
			partners = append(partners, p)
		default:
			otherCentres = append(otherCentres, p)
		}
	}
	out := append(sample(sameCentre), sample(otherCentres)...)
	for _, p := range partners {
		p.livenessTimeout = livenessTimeoutFor(len(otherCentres) + len(partners))
		out = append(out, *p)
	}
	return out
}

// sample returns copies of up to fanOut random peers of a list. It sets the liveness
// timeout of all peers of the list according to its length.
func sample(list []*peerState) []peerState {
	for _, p := range list {
		p.livenessTimeout = livenessTimeoutFor(len(list))
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	out := make([]peerState, 0, fanOut)
	for _, p := range list[:min(fanOut, len(list))] {
		out = append(out, *p)
	}
	return out
}

// newBeacon returns the part of a beacon that is the same for all receivers, with the
// next number.
func (a *Announcer) newBeacon(sets []quarantiner.PoisonSet, now time.Time) *peer.Beacon {
	b := &peer.Beacon{Host: string(a.Host), DataCentre: string(a.DataCentre), Address: a.PeerAddress, Incarnation: a.incarnation, Served: a.Options.HasServedModel(), Capacity: uint32(a.Capacity)}
	if conf := a.Directory.Configuration(); conf != nil {
		b.Revision, b.ConfirmedMs = conf.Revision.Number, uint64(max(0, now.Sub(conf.ConfirmedAt).Milliseconds())+1)
		b.RevisionEra, b.ConfigurationVersion = uint64(conf.Revision.Era), int64(conf.Version().Number)
		b.Compared = conf.IsCompared(now)
	}
	b.ServersEra = uint64(a.Directory.ServersRevision().Era)
	b.ServersMs = uint64(max(0, a.Directory.Views(now).Servers.Age.Milliseconds()) + 1)
	for _, x := range a.Judge.Exclusions(now) {
		b.Marks = append(b.Marks, &peer.DownMark{Server: string(x.Server), LeftMs: uint32(x.Remaining.Milliseconds())})
	}
	for _, e := range a.EngineStates() {
		b.Engines = append(b.Engines, &peer.EngineState{
			Server: string(e.Server), Slowdown: uint32(e.Slowdown * 100),
			From: int32(e.Held.From), To: int32(e.Held.To), KeepFrom: int32(e.Kept.From), KeepTo: int32(e.Kept.To),
		})
	}
	for _, notice := range a.Directory.LeavingNotices(now) {
		b.LeavingServers = append(b.LeavingServers, &peer.LeavingMark{
			Server: string(notice.Server), Born: int64(notice.Born), AgeMs: uint32(max(0, now.Sub(notice.At).Milliseconds())),
		})
	}
	b.Crashes = encodeCrashes(a.Screener.Records(now), now)
	b.PoisonSets = encodeSets(sets, now)
	b.Limits = encodeLimits(a.Throttler.Marks(now), now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	a.sentAt[a.lastNumber%uint64(len(a.sentAt))] = now
	b.Number, b.Leaving = a.lastNumber, a.leaving
	return b
}
