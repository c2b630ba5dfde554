package announcer

import (
	"slices"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/budgeter"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/wire/peer"
)

// centrePrefix marks the aggregate load of a data centre in the ledger, among the loads
// of hosts. No host name begins with it.
const centrePrefix = "centre/"

// loadReport is the work in flight that one round of beacons reports, and the passes of parts of
// prompts.
type loadReport struct {
	aggregation
	ownCentre unit.DataCentre
	// ownLoads, ownUsage and ownDemands are those of this daemon, for peers in its data centre.
	ownLoads   []*peer.ServerLoad
	ownUsage   []*peer.ServiceUse
	ownDemands []*peer.ServiceDemand
	// ownSummary is the aggregate load of the data centre, and otherSummaries those of
	// others. Both are empty unless this daemon is an aggregator.
	ownSummary     *peer.CentreLoads
	otherSummaries []*peer.CentreLoads
	passes         []*peer.PartPass
}

// partFor returns the part of the report for one peer, as a beacon with nothing else.
func (l *loadReport) partFor(p peerState) *peer.Beacon {
	switch {
	case p.dataCentre == l.ownCentre:
		return &peer.Beacon{Loads: l.ownLoads, Uses: l.ownUsage, Demands: l.ownDemands, Centres: l.otherSummaries, Passes: l.passes}
	case l.exchangesWith(p.host):
		return &peer.Beacon{Centres: []*peer.CentreLoads{l.ownSummary}, Passes: l.passes}
	default:
		return &peer.Beacon{}
	}
}

// collectLoads returns the report for one round of beacons.
func (a *Announcer) collectLoads(g aggregation, passes []*peer.PartPass, now time.Time) *loadReport {
	report := &loadReport{
		aggregation: g, ownCentre: a.DataCentre, passes: passes,
		ownLoads: encodeLoads(a.Ledger.OwnLoads()), ownUsage: encodeUsage(a.Budgeter.OwnUsage()), ownDemands: encodeDemands(a.Surveyor.OwnDemand(now)),
	}
	if g.rank == notAggregator {
		return report
	}
	localHosts := a.hostsByCentre(now)[a.DataCentre]
	isLocal := func(h unit.HostID) bool { return slices.Contains(localHosts, h) }
	report.ownSummary = &peer.CentreLoads{
		DataCentre: string(a.DataCentre), Loads: encodeLoads(a.Ledger.SumLoads(isLocal)), Uses: encodeUsage(a.Budgeter.SumUsage(isLocal)),
		Demands: encodeDemands(a.Surveyor.SumDemand(isLocal, now)),
	}
	report.otherSummaries = a.receivedSummaries(now)
	return report
}

// receivedSummaries returns the load summaries of other data centres that are not too old.
func (a *Announcer) receivedSummaries(now time.Time) []*peer.CentreLoads {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*peer.CentreLoads
	for _, summary := range a.summaries {
		if now.Sub(summary.receivedAt) < summaryExpiry {
			out = append(out, summary.loads)
		}
	}
	return out
}

// summaryExpiry is how long a load summary of another data centre is passed on.
const summaryExpiry = time.Second

// centreSummary is the load summary of another data centre as one of its aggregators
// sent it.
type centreSummary struct {
	receivedAt time.Time
	loads      *peer.CentreLoads
}

// hostsByCentre returns the live daemons of each data centre.
func (a *Announcer) hostsByCentre(now time.Time) map[unit.DataCentre][]unit.HostID {
	out := map[unit.DataCentre][]unit.HostID{a.DataCentre: {a.Host}}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.isLive(now) {
			out[p.dataCentre] = append(out[p.dataCentre], p.host)
		}
	}
	return out
}

// liveHostsIn returns the number of live daemons of another data centre, at least 1.
func (a *Announcer) liveHostsIn(d unit.DataCentre, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.peers {
		if p.dataCentre == d && p.isLive(now) {
			n++
		}
	}
	return max(1, n)
}

// applyLoads records the work in flight from a beacon: the load of a peer in this
// data centre, and the load summaries of other data centres.
func (a *Announcer) applyLoads(b *peer.Beacon, now time.Time) {
	sameCentre := b.DataCentre == string(a.DataCentre)
	if sameCentre {
		a.Ledger.SetPeerLoad(unit.HostID(b.Host), decodeLoads(b.Loads), now)
		a.Budgeter.SetPeerUsage(unit.HostID(b.Host), decodeUsage(b.Uses), now)
		a.Surveyor.SetPeerDemand(unit.HostID(b.Host), decodeDemands(b.Demands), now)
	}
	for _, c := range b.Centres {
		if c.DataCentre == string(a.DataCentre) {
			continue
		}
		a.Ledger.SetPeerLoad(unit.HostID(centrePrefix+c.DataCentre), decodeLoads(c.Loads), now)
		a.Budgeter.SetSummedUsage(unit.HostID(centrePrefix+c.DataCentre), a.liveHostsIn(unit.DataCentre(c.DataCentre), now), decodeUsage(c.Uses), now)
		a.Surveyor.SetPeerDemand(unit.HostID(centrePrefix+c.DataCentre), decodeDemands(c.Demands), now)
		if !sameCentre {
			a.mu.Lock()
			a.summaries[unit.DataCentre(c.DataCentre)] = &centreSummary{receivedAt: now, loads: c}
			a.mu.Unlock()
		}
	}
}

func encodeLoads(entries []ledger.Entry) []*peer.ServerLoad {
	out := make([]*peer.ServerLoad, 0, len(entries))
	for _, e := range entries {
		out = append(out, &peer.ServerLoad{
			Server: string(e.Server), Running: uint32(e.Load.Running), Heads: uint32(e.Load.ChainStarts),
			Tokens: int64(e.Load.Tokens), Reading: int64(e.Load.Prefill),
		})
	}
	return out
}

func encodeUsage(usage []budgeter.Usage) []*peer.ServiceUse {
	out := make([]*peer.ServiceUse, 0, len(usage))
	for _, u := range usage {
		out = append(out, &peer.ServiceUse{Service: string(u.Service), First: uint32(u.Requests), Again: uint32(u.Retries), Guaranteed: uint32(u.Guaranteed)})
	}
	return out
}

func decodeUsage(list []*peer.ServiceUse) []budgeter.Usage {
	out := make([]budgeter.Usage, 0, len(list))
	for _, u := range list {
		out = append(out, budgeter.Usage{Service: routing.ServiceName(u.Service), Requests: int(u.First), Retries: int(u.Again), Guaranteed: int(u.Guaranteed)})
	}
	return out
}

func decodeLoads(list []*peer.ServerLoad) []ledger.Entry {
	out := make([]ledger.Entry, 0, len(list))
	for _, l := range list {
		out = append(out, ledger.Entry{Server: unit.BackendID(l.Server), Load: ledger.Load{
			Running: int(l.Running), ChainStarts: int(l.Heads), Tokens: decodeTokens(l.Tokens), Prefill: decodeTokens(l.Reading),
		}})
	}
	return out
}

// maxTokens is far more memory than a fleet has. The sum over all peers doesn't overflow.
const maxTokens = 1 << 44

func decodeTokens(n int64) unit.TokenLayers { return unit.TokenLayers(max(0, min(n, maxTokens))) }
