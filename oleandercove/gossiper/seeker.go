package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
)

const (
	// firstPeerInterval is the mean time between two attempts to find a first peer.
	firstPeerInterval = 500 * time.Millisecond
	// rejoinInterval is the mean time between two attempts to reach a candidate
	// that is not a live member. It is multiplied by 1 plus the number of
	// live members over rejoinDivisor, so that the fleet makes about eight attempts a
	// second.
	rejoinInterval = 2 * time.Second
	rejoinDivisor  = 16
	// listInterval is the time between two reads of the host list.
	listInterval = 5 * time.Second
	// listReaders is the number of daemons of a data centre that read the host list.
	listReaders = 2
)

// seekPeer connects to a daemon that is not a live member: the first peer of a
// new daemon, or the other side of a partition that has ended.
func (g *Gossiper) seekPeer(ctx context.Context, now time.Time) {
	live := g.Live()
	g.mu.Lock()
	if now.Before(g.nextSeek) {
		g.mu.Unlock()
		return
	}
	interval := rejoinInterval * time.Duration(1+len(live)/rejoinDivisor)
	if len(live) <= 1 {
		interval = firstPeerInterval
	}
	g.nextSeek = now.Add(interval/2 + rand.N(interval))
	g.mu.Unlock()
	g.spawn(func() {
		g.readHostList(ctx, now, live)
		if a := g.pickCandidate(live); a != "" {
			if h, err := g.options.Connector.Join(ctx, a); err == nil {
				g.options.Log.Debug("joined a peer", "peer", h, "address", a)
			}
		}
	})
}

// readHostList reads the candidates from the platform's host list if a read is due;
// while the platform is unavailable, the last ones stay.
func (g *Gossiper) readHostList(ctx context.Context, now time.Time, live []Member) {
	self := g.Self()
	reads := len(live) <= 1 || chooser.InTop("host list", self.Host, Hosts(live, self.DataCentre), listReaders)
	g.mu.Lock()
	due := reads && (len(live) <= 1 || now.Sub(g.lastListRead) >= listInterval)
	if due {
		g.lastListRead = now
	}
	g.mu.Unlock()
	if !due || g.options.Platform == nil {
		return
	}
	hosts, err := g.options.Platform.Hosts(ctx)
	if err != nil {
		return
	}
	var entries []platform.Host
	for _, h := range hosts {
		if h.Role == platform.RoleEntry && h.Address != "" {
			entries = append(entries, h)
		}
	}
	g.mu.Lock()
	g.candidates = entries
	g.mu.Unlock()
}

// pickCandidate returns the address of a random candidate that is no live member,
// or "" if there is none.
func (g *Gossiper) pickCandidate(live []Member) string {
	known := map[string]bool{}
	hosts := map[unit.HostID]bool{}
	for _, m := range live {
		known[m.Address], hosts[m.Host] = true, true
	}
	var out []string
	g.mu.RLock()
	for _, h := range g.candidates {
		if !hosts[unit.HostID(h.ID)] {
			out = append(out, h.Address)
		}
	}
	for _, r := range g.records {
		if r.member.State == Dead {
			out = append(out, r.member.Address)
		}
	}
	g.mu.RUnlock()
	for _, a := range g.options.Join {
		if !known[a] {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		return ""
	}
	return out[rand.IntN(len(out))]
}
