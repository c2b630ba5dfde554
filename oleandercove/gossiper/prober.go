package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/unit"
	"oleandercove.example/wire/peer"
)

// freshLimit is the age up to which a received message proves that a peer is alive.
const freshLimit = 600 * time.Millisecond

// probeIndirectly probes a silent neighbour through peers, and suspects it if none of
// them reaches it.
func (g *Gossiper) probeIndirectly(ctx context.Context, m Member) {
	defer g.setProbing(m.Host, false)
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	if g.reachableViaPeers(ctx, m) {
		g.mu.Lock()
		if r := g.records[m.Host]; r != nil {
			r.probeValidUntil = g.options.Timer.Now().Add(probeValidity)
		}
		g.mu.Unlock()
		return
	}
	if g.recentlyHeard(m.Host) {
		return
	}
	g.mu.RLock()
	noSuspicion := g.options.Timer.Now().Before(g.noSuspicionUntil)
	g.mu.RUnlock()
	if !noSuspicion {
		g.declareState(m, Suspect)
	}
}

// reachableViaPeers probes m through some peers in parallel and reports whether one
// reached it. It blocks until the first success, the last reply or the end of ctx.
func (g *Gossiper) reachableViaPeers(ctx context.Context, m Member) bool {
	peers := g.probePeers(m.Host)
	answers := make(chan bool, len(peers))
	for _, h := range peers {
		g.spawn(func() {
			var reply peer.ProbeReply
			err := g.options.Connector.Request(ctx, h, peer.TypeProbe,
				&peer.ProbeRequest{Host: string(m.Host), Address: m.Address}, &reply)
			answers <- err == nil && reply.Reached
		})
	}
	for range peers {
		select {
		case ok := <-answers:
			if ok {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// probePeers returns up to indirectProbes random connected peers that are not silent.
func (g *Gossiper) probePeers(except unit.HostID) []unit.HostID {
	now := g.options.Timer.Now()
	var out []unit.HostID
	for _, l := range g.options.Connector.Links() {
		if l.Host != except && l.Connected && now.Sub(l.LastHeard) <= silenceLimit {
			out = append(out, l.Host)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), indirectProbes)]
}

// recentlyHeard reports whether the peer sent this daemon a message within freshLimit.
func (g *Gossiper) recentlyHeard(h unit.HostID) bool {
	now := g.options.Timer.Now()
	for _, l := range g.options.Connector.Links() {
		if l.Host == h && l.Connected {
			return now.Sub(l.LastHeard) <= freshLimit
		}
	}
	return false
}

func (g *Gossiper) onProbe(ctx context.Context, _ unit.HostID, q *peer.ProbeRequest) (proto.Message, error) {
	if g.recentlyHeard(unit.HostID(q.Host)) {
		return &peer.ProbeReply{Reached: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	h, err := g.options.Connector.Probe(ctx, q.Address)
	return &peer.ProbeReply{Reached: err == nil && h == unit.HostID(q.Host)}, nil
}

func (g *Gossiper) setProbing(h unit.HostID, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.records[h]; r != nil {
		r.probing = on
	}
}

// declareState publishes a new state of another member within its incarnation.
func (g *Gossiper) declareState(m Member, s State) {
	m.State = s
	i, err := m.item()
	if err != nil {
		return
	}
	g.applyItems(g.table.Set(i))
}

var _ Members = (*Gossiper)(nil)
