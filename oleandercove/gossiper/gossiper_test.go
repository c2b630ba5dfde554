package gossiper

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"oleandercove.example/core/logger"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/replicator"
)

// network connects simulated daemons; time advances only by step.
type network struct {
	platform.Client
	timer *timer.Manual
	nodes []*node
	steps int
}

// node is one simulated daemon and its Connector.
type node struct {
	net            *network
	host           unit.HostID
	g              *Gossiper
	handlers       map[uint32]connector.Handler
	onLink         []func(unit.HostID)
	wanted, linked map[unit.HostID]bool
	heard          map[unit.HostID]time.Time
	inbox          []func()
	dead, paused   bool
	cut            bool
	// sawUndisturbed is set once this instance of the daemon has had the undisturbed
	// one as a live member.
	sawUndisturbed bool
}

func newNetwork(n int) *network {
	w := &network{timer: timer.NewManual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))}
	for i := range n {
		w.nodes = append(w.nodes, &node{net: w, host: unit.HostID(fmt.Sprintf("entry-%d", i))})
		w.nodes[i].start()
	}
	return w
}

func (n *node) start() {
	n.handlers, n.onLink, n.inbox = map[uint32]connector.Handler{}, nil, nil
	n.dead, n.paused, n.sawUndisturbed = false, false, false
	n.wanted, n.linked, n.heard = map[unit.HostID]bool{}, map[unit.HostID]bool{}, map[unit.HostID]time.Time{}
	n.g = New(Options{
		Self:      Member{Host: n.host, Address: string(n.host), DataCentre: n.centre(), Region: "r"},
		Connector: n, Platform: n.net, Timer: n.net.timer, Log: logger.Discard(),
	})
	n.g.spawn = func(fn func()) { fn() }
}

func (n *node) centre() unit.DataCentre {
	return unit.DataCentre("dc-" + string(n.host[len(n.host)-1]%3+'a'))
}

func (w *network) Hosts(context.Context) ([]platform.Host, error) {
	var out []platform.Host
	for _, n := range w.nodes {
		out = append(out, platform.Host{ID: string(n.host), Role: platform.RoleEntry, Address: string(n.host)})
	}
	return out, nil
}

func (w *network) node(h unit.HostID) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.host == h })]
}

// reaches reports whether a message passes between two daemons now.
func reaches(a, b *node) bool { return !a.dead && !b.dead && !a.paused && !b.paused && a.cut == b.cut }

func (n *node) Handle(kind uint32, h connector.Handler) { n.handlers[kind] = h }
func (n *node) OnLink(fn func(unit.HostID))             { n.onLink = append(n.onLink, fn) }
func (n *node) Traffic() connector.Traffic              { return connector.Traffic{} }

func (n *node) Publish(to unit.HostID, kind uint32, m proto.Message) error {
	o := n.net.node(to)
	if !n.linked[to] || o.dead || n.cut != o.cut {
		return connector.ErrNoLink
	}
	body, _ := proto.Marshal(m)
	o.inbox = append(o.inbox, func() { _, _ = o.handlers[kind](context.Background(), n.host, body) })
	return nil
}

func (n *node) Request(ctx context.Context, to unit.HostID, kind uint32, m, reply proto.Message) error {
	o := n.net.node(to)
	if !reaches(n, o) {
		return connector.ErrNoLink
	}
	body, _ := proto.Marshal(m)
	r, err := o.handlers[kind](ctx, n.host, body)
	if err != nil {
		return err
	}
	b, _ := proto.Marshal(r)
	return proto.Unmarshal(b, reply)
}

func (n *node) SetPeers(peers []connector.Peer) {
	n.wanted = map[unit.HostID]bool{}
	for _, p := range peers {
		n.wanted[p.Host] = true
		if n.heard[p.Host].IsZero() {
			n.heard[p.Host] = n.net.timer.Now()
		}
	}
}

func (n *node) Join(_ context.Context, address string) (unit.HostID, error) {
	return unit.HostID(address), n.connect(n.net.node(unit.HostID(address)))
}

func (n *node) Probe(_ context.Context, address string) (unit.HostID, error) {
	if !reaches(n, n.net.node(unit.HostID(address))) {
		return "", connector.ErrNoLink
	}
	return unit.HostID(address), nil
}

func (n *node) Links() []connector.Link {
	var out []connector.Link
	for h, at := range n.heard {
		if n.wanted[h] || n.linked[h] {
			out = append(out, connector.Link{Host: h, LastHeard: at, Connected: n.linked[h]})
		}
	}
	return out
}

func (n *node) connect(o *node) error {
	if n == o || !reaches(n, o) {
		return connector.ErrNoLink
	}
	for _, side := range [][2]*node{{n, o}, {o, n}} {
		a, b := side[0], side[1]
		a.heard[b.host] = n.net.timer.Now()
		if first := !a.linked[b.host]; first {
			a.linked[b.host] = true
			for _, fn := range a.onLink {
				a.inbox = append(a.inbox, func() { fn(b.host) })
			}
		}
	}
	return nil
}

// step advances the time by one tick: heartbeats, messages, decisions.
func (w *network) step() {
	w.timer.Advance(tickInterval)
	w.steps++
	now := w.timer.Now()
	for _, n := range w.nodes {
		for h := range n.wanted {
			_ = n.connect(w.node(h))
		}
		for h := range n.linked {
			if o := w.node(h); reaches(n, o) && o.linked[n.host] {
				n.heard[h] = now
			} else if now.Sub(n.heard[h]) > 2*time.Second {
				delete(n.linked, h)
			}
		}
	}
	for busy := true; busy; {
		busy = false
		for _, n := range w.nodes {
			for !n.dead && !n.paused && len(n.inbox) > 0 {
				fn := n.inbox[0]
				n.inbox, busy = n.inbox[1:], true
				fn()
			}
		}
	}
	for _, n := range w.nodes {
		if n.dead || n.paused {
			continue
		}
		n.g.tick(context.Background(), now)
		n.g.seekPeer(context.Background(), now)
		if w.steps%int(replicator.DigestInterval/tickInterval) == 0 {
			n.g.table.SendDigests()
		}
	}
}

func (w *network) run(d time.Duration) {
	for range int(d / tickInterval) {
		w.step()
	}
}

func (n *node) sees(h unit.HostID) bool {
	return slices.ContainsFunc(n.g.Live(), func(m Member) bool { return m.Host == h })
}

// agreed reports whether all running daemons see exactly each other.
func (w *network) agreed() bool {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if !a.dead && a.sees(b.host) == b.dead {
				return false
			}
		}
	}
	return true
}

// Guards against a failed daemon that stays a live member, and against a short pause that
// removes one, which happen when silence is judged too late or too early.
func TestDetection(t *testing.T) {
	for _, c := range []struct {
		failure string
		size    int
		disturb func(*node)
		// removed is true if every other daemon must have removed the daemon.
		removed bool
		after   time.Duration
	}{
		{"killed daemon stays in a small fleet", 2, func(n *node) { n.dead = true }, true, 3 * time.Second},
		{"killed daemon stays for longer than 3 s", 9, func(n *node) { n.dead = true }, true, 3 * time.Second},
		{"killed daemon stays in a larger fleet", 60, func(n *node) { n.dead = true }, true, 3 * time.Second},
		{"short pause counts as a crash", 9, func(n *node) { n.paused = true }, false, 1500 * time.Millisecond},
		{"frozen daemon stays", 9, func(n *node) { n.paused = true }, true, 3 * time.Second},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(c.size)
			w.run(30 * time.Second)
			is.True(w.agreed())
			victim := w.nodes[1]
			c.disturb(victim)
			w.run(c.after)
			victim.paused = false
			if !c.removed {
				w.run(5 * time.Second)
				is.True(w.agreed())
			}
			for _, n := range w.nodes {
				if n != victim {
					is.Equal(n.sees(victim.host), !c.removed)
				}
			}
		})
	}
}

// Guards against views that stay different, and against the removal of a daemon that
// was never disturbed, which happen after some orders of kills, restarts, pauses and
// partitions.
func TestMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.IntRange(2, 7).Draw(t, "size"))
		w.run(20 * time.Second)
		daemon := func(t *rapid.T) *node { return rapid.SampledFrom(w.nodes[1:]).Draw(t, "daemon") }
		everCut := false
		t.Repeat(map[string]func(*rapid.T){
			"kill": func(t *rapid.T) { daemon(t).dead = true },
			"restart": func(t *rapid.T) {
				if n := daemon(t); n.dead {
					n.start()
				}
			},
			"pause":  func(t *rapid.T) { daemon(t).paused = true },
			"resume": func(t *rapid.T) { daemon(t).paused = false },
			"cut":    func(t *rapid.T) { daemon(t).cut, everCut = true, true },
			"heal": func(t *rapid.T) {
				daemon(t).cut = false
			},
			"drain": func(t *rapid.T) {
				if n := daemon(t); !n.dead && !n.paused {
					n.g.SetDraining(!n.g.Self().Draining)
				}
			},
			"wait": func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tickInterval) },
			"": func(t *rapid.T) {
				for _, n := range w.nodes {
					seen := n.sees(w.nodes[0].host)
					if !n.dead && !n.paused && !everCut && n.sawUndisturbed && !seen {
						t.Fatalf("%s lost a daemon that was never disturbed", n.host)
					}
					n.sawUndisturbed = n.sawUndisturbed || seen
				}
			},
		})
		for _, n := range w.nodes {
			n.paused, n.cut = false, false
		}
		for range 600 {
			w.step()
			if w.agreed() {
				break
			}
		}
		if !w.agreed() {
			t.Fatal("views differ 60 s after the last fault")
		}
		w.run(4 * replicator.DigestInterval)
		for _, n := range w.nodes {
			for _, m := range n.g.Live() {
				if !n.dead && m.Draining != w.node(m.Host).g.Self().Draining {
					t.Fatalf("%s has an outdated drain state of %s", n.host, m.Host)
				}
			}
		}
	})
}

// Guards against a split or overloaded overlay, which happens when daemons choose too few
// or too many neighbours, or a link that only one of the two wants.
func TestNeighbours(t *testing.T) {
	for _, c := range []struct {
		failure                  string
		regions, centres, hosts  int
		maxDegree, maxMeanDegree int
	}{
		{"one daemon links to itself", 1, 1, 1, 0, 0},
		{"two daemons find no link", 1, 1, 2, 1, 1},
		{"demo fleet is split", 1, 3, 3, 6, 5},
		{"largest fleet has unbounded links", 7, 16, 38, 40, 6},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			var all []Member
			for i := range c.centres * c.hosts {
				dc := i % c.centres
				all = append(all, Member{
					Host:       unit.HostID(fmt.Sprintf("entry-%d", i)),
					DataCentre: unit.DataCentre(fmt.Sprintf("dc-%d", dc)), Region: unit.Region(fmt.Sprintf("r-%d", dc%c.regions)),
				})
			}
			edges, total := map[unit.HostID][]unit.HostID{}, 0
			for _, m := range all {
				edges[m.Host] = Neighbours(m.Host, all)
				total += len(edges[m.Host])
				is.True(len(edges[m.Host]) <= c.maxDegree)
			}
			is.True(total <= c.maxMeanDegree*len(all))
			for a, out := range edges {
				for _, b := range out {
					is.True(slices.Contains(edges[b], a)) // both ends want the link
				}
			}
			is.Equal(len(reachableFrom(edges, all[0].Host)), len(all))
		})
	}
}

// reachableFrom returns the hosts that a message from one host reaches.
func reachableFrom(edges map[unit.HostID][]unit.HostID, from unit.HostID) map[unit.HostID]bool {
	seen, next := map[unit.HostID]bool{from: true}, []unit.HostID{from}
	for len(next) > 0 {
		for _, b := range edges[next[0]] {
			if !seen[b] {
				seen[b] = true
				next = append(next, b)
			}
		}
		next = next[1:]
	}
	return seen
}
