package announcer

import (
	"slices"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
	"oleandercove.example/oleandercove/edge/budgeter"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/wire/peer"
)

// speakers is the number of daemons of a data centre that exchange loads with
// other data centres. One of them may be lost at any time.
const speakers = 2

// centrePrefix marks the load of a whole data centre in the ledger, which no
// host has as its name.
const centrePrefix = "centre/"

// loads is what one round of beacons says of the work in flight.
type loads struct {
	centre unit.DataCentre
	// own is the load of this daemon, for peers in its data centre.
	own  []*peer.ServerLoad
	uses []*peer.ServiceUse
	// sum is the load of the data centre, and foreign those of others; both are
	// empty unless this daemon speaks for its data centre.
	sum     *peer.CentreLoads
	foreign []*peer.CentreLoads
	// speakers are the daemons that speak for other data centres.
	speakers []unit.HostID
}

// of returns the loads for one peer.
func (l *loads) of(p remote) *peer.Beacon {
	switch {
	case p.dataCentre == l.centre:
		return &peer.Beacon{Loads: l.own, Uses: l.uses, Centres: l.foreign}
	case l.sum != nil && slices.Contains(l.speakers, p.host):
		return &peer.Beacon{Centres: []*peer.CentreLoads{l.sum}}
	default:
		return &peer.Beacon{}
	}
}

// loads collects the work in flight for one round of beacons.
func (a *Announcer) loads(now time.Time) *loads {
	out := &loads{centre: a.DataCentre, own: encodeLoads(a.Ledger.Own()), uses: encodeUses(a.Budgeter.Own())}
	hosts := a.hostsByCentre(now)
	if !slices.Contains(chooser.Top(string(a.DataCentre), hosts[a.DataCentre], speakers), a.Host) {
		return out
	}
	near := hosts[a.DataCentre]
	isNear := func(h unit.HostID) bool { return slices.Contains(near, h) }
	out.sum = &peer.CentreLoads{
		DataCentre: string(a.DataCentre), Loads: encodeLoads(a.Ledger.Sum(isNear)), Uses: encodeUses(a.Budgeter.Sum(isNear)),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for centre, list := range hosts {
		if centre == a.DataCentre {
			continue
		}
		out.speakers = append(out.speakers, chooser.Top(string(centre), list, speakers)...)
		if f := a.foreign[centre]; f != nil && now.Sub(f.at) < foreignExpiry {
			out.foreign = append(out.foreign, f.loads)
		}
	}
	return out
}

// foreignExpiry is how long the load of another data centre is passed on.
const foreignExpiry = time.Second

// foreign is the load of another data centre as one of its speakers told it.
type foreign struct {
	at    time.Time
	loads *peer.CentreLoads
}

// hostsByCentre returns the live daemons of each data centre.
func (a *Announcer) hostsByCentre(now time.Time) map[unit.DataCentre][]unit.HostID {
	out := map[unit.DataCentre][]unit.HostID{a.DataCentre: {a.Host}}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.live(now) {
			out[p.dataCentre] = append(out[p.dataCentre], p.host)
		}
	}
	return out
}

// takeLoads takes over what a beacon says of the work in flight.
func (a *Announcer) takeLoads(b *peer.Beacon, now time.Time) {
	near := b.DataCentre == string(a.DataCentre)
	if near {
		a.Ledger.Tell(unit.HostID(b.Host), decodeLoads(b.Loads), now)
		a.Budgeter.Tell(unit.HostID(b.Host), decodeUses(b.Uses), now)
	}
	for _, c := range b.Centres {
		if c.DataCentre == string(a.DataCentre) {
			continue
		}
		a.Ledger.Tell(unit.HostID(centrePrefix+c.DataCentre), decodeLoads(c.Loads), now)
		a.Budgeter.Tell(unit.HostID(centrePrefix+c.DataCentre), decodeUses(c.Uses), now)
		if !near {
			a.mu.Lock()
			a.foreign[unit.DataCentre(c.DataCentre)] = &foreign{at: now, loads: c}
			a.mu.Unlock()
		}
	}
}

func encodeLoads(entries []ledger.Entry) []*peer.ServerLoad {
	out := make([]*peer.ServerLoad, 0, len(entries))
	for _, e := range entries {
		out = append(out, &peer.ServerLoad{
			Server: string(e.Server), Running: uint32(e.Load.Running), Heads: uint32(e.Load.Heads),
			Tokens: int64(e.Load.Tokens), Reading: int64(e.Load.Reading),
		})
	}
	return out
}

func encodeUses(uses []budgeter.Use) []*peer.ServiceUse {
	out := make([]*peer.ServiceUse, 0, len(uses))
	for _, u := range uses {
		out = append(out, &peer.ServiceUse{Service: string(u.Service), First: uint32(u.First), Again: uint32(u.Again)})
	}
	return out
}

func decodeUses(list []*peer.ServiceUse) []budgeter.Use {
	out := make([]budgeter.Use, 0, len(list))
	for _, u := range list {
		out = append(out, budgeter.Use{Service: routing.ServiceName(u.Service), First: int(u.First), Again: int(u.Again)})
	}
	return out
}

func decodeLoads(list []*peer.ServerLoad) []ledger.Entry {
	out := make([]ledger.Entry, 0, len(list))
	for _, l := range list {
		out = append(out, ledger.Entry{Server: unit.BackendID(l.Server), Load: ledger.Load{
			Running: int(l.Running), Heads: int(l.Heads), Tokens: ledger.TokenLayers(l.Tokens), Reading: ledger.TokenLayers(l.Reading),
		}})
	}
	return out
}
