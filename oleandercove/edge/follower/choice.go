package follower

import (
	"slices"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
)

const (
	// watchers is the number of daemons that follow the store. One of them may be
	// lost at any time.
	watchers = 2
	// watchersKey is hashed with the hosts to choose the watchers.
	watchersKey = "store"
	// substitutes is the number of daemons, watchers included, that go to the store
	// first when the watchers tell nothing; the others ask them. It doubles each
	// substitutesGrow up to maxSubstitutes: a store that turns away a part of the
	// daemons serves one of these.
	substitutes     = 6
	maxSubstitutes  = 24
	substitutesGrow = 500 * time.Millisecond
	// patience is the age of knowledge at which a daemon goes to the store itself.
	// Removals of servers must be known within two seconds.
	patience = 1300 * time.Millisecond
	// longPatience is the age at which a daemon goes to the store that no peer answers.
	longPatience = 1800 * time.Millisecond
	// longestPatience is the age at which each daemon goes to the store.
	longestPatience = 8 * time.Second
)

// Peer is another daemon.
type Peer struct {
	Host    unit.HostID
	Address string
}

// View is what the choice of the way depends on.
type View struct {
	Self  unit.HostID
	Peers []Peer
	// Seed is true for a daemon that all others know from their start.
	Seed bool
	// Settled is false until the daemon has run long enough to know its peers.
	Settled bool
	// Age is the age of the knowledge of the servers, or the time since the start if
	// they are not known yet.
	Age time.Duration
	// Answered is true if a peer has answered lately, also with old knowledge.
	Answered bool
}

// Way says where knowledge comes from.
type Way struct {
	Store bool
	// Ask lists the peers to ask, if any.
	Ask []Peer
}

// Choose returns the way that fits a view.
//
// Load pattern: the store is away for some seconds and all daemons of a large fleet
// miss it at the same moment, or a whole fleet starts at once. Calls that fail are
// paid too, and a store that comes back must not be met by all at once.
func Choose(v View) Way {
	if !v.Settled {
		return starting(v)
	}
	ranked := byRank(v)
	rank := slices.Index(ranked, v.Self)
	if v.Age <= patience {
		if rank < watchers {
			return Way{Store: true}
		}
		return Way{Ask: among(v.Peers, ranked[:min(watchers, len(ranked))])}
	}
	// The watchers may be those that the store turns away.
	n := min(substitutesAt(v.Age), len(ranked))
	alone := !v.Answered && v.Age > longPatience
	return Way{Store: rank < n || alone || v.Age > longestPatience, Ask: among(v.Peers, ranked[:n])}
}

// starting is the way of a daemon that has read the store once and does not know its
// peers yet, so that it can't tell who watches the store. In a fleet that starts as a
// whole the seeds do, because they are the peers that all daemons know first.
func starting(v View) Way {
	return Way{Store: v.Seed || (v.Age > longPatience && !v.Answered), Ask: v.Peers}
}

// byRank returns all hosts in the order in which they go to the store.
func byRank(v View) []unit.HostID {
	hosts := []unit.HostID{v.Self}
	for _, p := range v.Peers {
		hosts = append(hosts, p.Host)
	}
	return chooser.Top(watchersKey, hosts, len(hosts))
}

// substitutesAt is the number of daemons that go to the store when the knowledge of
// all has an age. It doubles with time up to a bound.
func substitutesAt(age time.Duration) int {
	n := substitutes
	for at := patience + substitutesGrow; at < age && n < maxSubstitutes; at += substitutesGrow {
		n *= 2
	}
	return n
}

// among returns the peers whose hosts are listed.
func among(peers []Peer, hosts []unit.HostID) []Peer {
	var out []Peer
	for _, p := range peers {
		if slices.Contains(hosts, p.Host) {
			out = append(out, p)
		}
	}
	return out
}
