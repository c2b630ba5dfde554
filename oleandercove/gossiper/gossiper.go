// Package gossiper keeps the membership of daemons.
//
// Each daemon keeps links with a bounded number of neighbours, and heartbeats on
// these links determine liveness:
//
//   - A neighbour that goes silent is probed through other peers.
//   - If none of them reaches it, it is suspected.
//   - It is declared dead unless it refutes the suspicion by a higher incarnation.
//
// The member table is replicated to all daemons. The platform's host list only
// provides candidates to connect to.
//
// Usage:
//
//	g := gossiper.New(gossiper.Options{Self: m, Connector: c, Platform: p, Timer: t, Log: l})
//	go g.Run(ctx)
//	hosts := gossiper.Hosts(g.Live(), "dc-a")
package gossiper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/replicator"
	"oleandercove.example/wire/peer"
)

// Members lists the daemons of the fleet.
type Members interface {
	// Self returns this daemon.
	Self() Member
	// Live returns the live members, including this daemon, ordered by host;
	// callers must not modify the slice.
	Live() []Member
}

// Hosts returns the live hosts of a data centre that are not draining, or those of
// all data centres if it has none.
func Hosts(live []Member, dc unit.DataCentre) []unit.HostID {
	var in, all []unit.HostID
	for _, m := range live {
		if m.Draining {
			continue
		}
		all = append(all, m.Host)
		if m.DataCentre == dc {
			in = append(in, m.Host)
		}
	}
	if len(in) == 0 {
		return all
	}
	return in
}

// Standalone is the membership of a daemon without peers.
type Standalone Member

// Self returns the daemon.
func (a Standalone) Self() Member { return Member(a) }

// Live returns only the daemon.
func (a Standalone) Live() []Member { return []Member{Member(a)} }

// Options configures a Gossiper.
type Options struct {
	Self      Member
	Connector connector.Connector
	Platform  platform.Client
	// Join lists addresses of peers, so that a daemon can join the fleet while the
	// platform is down.
	Join  []string
	Timer timer.Service
	Log   *log.Logger
}

// Gossiper is the default implementation of Members.
type Gossiper struct {
	options Options
	table   *replicator.Table

	mu               sync.RWMutex
	self             Member
	live             []Member
	records          map[unit.HostID]*record
	wanted           map[unit.HostID]bool
	liveChanged      bool
	lastTick         time.Time
	noSuspicionUntil time.Time
	nextSeek         time.Time
	lastListRead     time.Time
	// candidates are the entry hosts of the platform's last list.
	candidates []platform.Host

	// spawn runs a function that waits for peers, by default on a goroutine of its
	// own; tests run it synchronously.
	spawn func(func())
}

// New returns the membership of one daemon. The first incarnation is the start
// time in Unix milliseconds, so that a restarted daemon replaces its predecessor.
func New(o Options) *Gossiper {
	g := &Gossiper{
		options: o, self: o.Self, records: map[unit.HostID]*record{}, wanted: map[unit.HostID]bool{},
		spawn: func(fn func()) { go fn() },
	}
	g.self.State, g.self.Incarnation = Alive, uint64(o.Timer.Now().UnixMilli())
	g.table = replicator.New(replicator.Options{
		Connector: o.Connector, Kind: peer.TypeMembers, Timer: o.Timer, InDigest: inDigest,
		OnChanged: func(_ unit.HostID, items []replicator.Item) { g.applyItems(items) },
		Spawn:     func(fn func()) { g.spawn(fn) },
	})
	connector.Serve(o.Connector, peer.TypeProbe, g.onProbe)
	g.publishSelf()
	return g
}

// Self returns this daemon.
func (g *Gossiper) Self() Member {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.self
}

// Live returns the live members.
func (g *Gossiper) Live() []Member {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.live
}

// FleetSize returns the number of entry hosts that the platform lists or that are
// live, whichever is larger, and at least 1. Each side of a network partition
// can thus determine the size of the complete fleet.
func (g *Gossiper) FleetSize() int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return max(1, len(g.live), len(g.candidates))
}

// SetDraining notifies all peers whether this daemon is shutting down.
func (g *Gossiper) SetDraining(draining bool) {
	g.mu.Lock()
	g.self.Draining = draining
	g.self.Incarnation++
	g.mu.Unlock()
	g.publishSelf()
}

// Leave notifies all peers that this daemon stops.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.self.State = Left
	g.mu.Unlock()
	g.publishSelf()
}

// publishSelf writes this daemon's member record to the table. The table is never
// called with g.mu held, because it calls applyItems, which takes g.mu.
func (g *Gossiper) publishSelf() {
	i, err := g.Self().item()
	if err != nil {
		g.options.Log.Error("could not encode this daemon's member record", "err", err)
		return
	}
	g.table.Set(i)
	g.applyItems([]replicator.Item{i})
}

// applyItems updates the records of members from items of the table.
func (g *Gossiper) applyItems(items []replicator.Item) {
	refute := false
	g.mu.Lock()
	now := g.options.Timer.Now()
	for _, i := range items {
		m, err := decode(i)
		if err != nil {
			g.options.Log.Error("skipped a malformed member record", "member", i.Key, "err", err)
			continue
		}
		if m.Host == g.self.Host && i.Version > version(g.self.Incarnation, g.self.State) {
			// Another daemon suspects this one, or this one was restarted with
			// its clock set back.
			g.self.Incarnation, refute = m.Incarnation+1, g.self.State != Left
			continue
		}
		g.updateRecord(m, now)
	}
	g.refresh()
	g.mu.Unlock()
	if refute {
		g.options.Log.Info("refuted a suspicion against this daemon")
		g.publishSelf()
	}
}

// updateRecord stores a member unless its record has a higher version.
func (g *Gossiper) updateRecord(m Member, now time.Time) {
	r := g.records[m.Host]
	if r != nil && version(r.member.Incarnation, r.member.State) > version(m.Incarnation, m.State) {
		return
	}
	if r == nil {
		r = &record{member: Member{State: Left}}
		g.records[m.Host] = r
	}
	if r.member.State != m.State || r.member.Incarnation != m.Incarnation {
		r.since = now
	}
	if r.member.State != m.State && m.Host != g.self.Host {
		g.options.Log.Info("member changed state", "member", m.Host, "state", m.State.String())
	}
	r.member = m
}

// refresh rebuilds the list of live members.
func (g *Gossiper) refresh() {
	live := make([]Member, 0, len(g.records))
	for _, r := range g.records {
		if r.member.Live() || r.member.Host == g.self.Host {
			live = append(live, r.member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	g.live, g.liveChanged = live, true
}

// Run keeps the membership current; it blocks until ctx is done.
func (g *Gossiper) Run(ctx context.Context) {
	go g.table.Run(ctx)
	for ctx.Err() == nil {
		now := g.options.Timer.Now()
		g.tick(ctx, now)
		g.seekPeer(ctx, now)
		_ = g.options.Timer.Sleep(ctx, tickInterval)
	}
}

// tick decides about the members and carries out the decisions.
func (g *Gossiper) tick(ctx context.Context, now time.Time) {
	for _, a := range decide(g.takeSnapshot(now)) {
		switch a.kind {
		case probeMember:
			g.setProbing(a.member.Host, true)
			g.spawn(func() { g.probeIndirectly(ctx, a.member) })
		case declareDead:
			g.declareState(a.member, Dead)
		case forgetMember:
			g.table.Forget(string(a.member.Host))
			g.mu.Lock()
			delete(g.records, a.member.Host)
			g.mu.Unlock()
		}
	}
}

// takeSnapshot updates the wanted links and returns the input of decide. If this
// process was paused, no suspicion is raised for graceLimit, and the pause does not
// count towards the age of a state.
func (g *Gossiper) takeSnapshot(now time.Time) snapshot {
	g.updateLinks()
	links := g.options.Connector.Links()
	g.mu.Lock()
	defer g.mu.Unlock()
	if gap := now.Sub(g.lastTick); !g.lastTick.IsZero() && gap > pauseLimit {
		g.noSuspicionUntil = now.Add(graceLimit)
		for _, r := range g.records {
			r.since = r.since.Add(gap)
		}
	}
	g.lastTick = now
	s := snapshot{now: now, links: map[unit.HostID]connector.Link{}, wanted: g.wanted, noSuspicionUntil: g.noSuspicionUntil}
	for _, l := range links {
		s.links[l.Host] = l
	}
	for h, r := range g.records {
		// Most members are alive and not neighbours; nothing is decided about them.
		if h != g.self.Host && (r.member.State != Alive || g.wanted[h]) {
			s.records = append(s.records, *r)
		}
	}
	return s
}

// updateLinks passes the neighbours to the connector if the live members changed.
func (g *Gossiper) updateLinks() {
	g.mu.Lock()
	if !g.liveChanged {
		g.mu.Unlock()
		return
	}
	g.liveChanged = false
	wanted := map[unit.HostID]bool{}
	var peers []connector.Peer
	for _, h := range Neighbours(g.self.Host, g.live) {
		wanted[h] = true
		peers = append(peers, connector.Peer{Host: h, Address: g.records[h].member.Address})
	}
	g.wanted = wanted
	g.mu.Unlock()
	g.options.Connector.SetPeers(peers)
}
