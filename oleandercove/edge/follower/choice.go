package follower

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
)

const (
	// watcherCount is the number of daemons that watch the store. One of them may be
	// lost at any time.
	watcherCount = 2
	// watcherHashKey is hashed with the hosts to choose the watchers.
	watcherHashKey = "store"
	// minSubstitutes is the number of daemons, watchers included, that call the store
	// first when the watchers send no fresh views; the others query them. The
	// number doubles every substituteGrowthInterval up to maxSubstitutes: a store that
	// rejects a part of the daemons serves one of these.
	minSubstitutes           = 6
	maxSubstitutes           = 24
	substituteGrowthInterval = 500 * time.Millisecond
	// staleAge is the age of a view beyond which substitutes call the store, and beyond which
	// the answer of a peer is of no use. Removals of servers must be known within two seconds.
	staleAge = 1300 * time.Millisecond
	// isolatedStaleAge is the age beyond which a daemon that no peer answers calls the
	// store.
	isolatedStaleAge = 1800 * time.Millisecond
	// maxStaleAge is the age beyond which every daemon calls the store.
	maxStaleAge = 8 * time.Second
	// recoveryTime is how long after a view was stale a daemon still relies on the
	// substitutes. It is long enough for several calls to a slow store, and short because
	// the substitutes add to the calls.
	recoveryTime = 5 * time.Second
	// demandTime is how long a daemon that calls the store goes on after a query of a peer.
	// The peers that return to the watchers have found out by then whether the store still
	// rejects these.
	demandTime = 3 * time.Second
)

// staleness tracks when a daemon's views were last stale.
type staleness struct {
	at time.Time
}

// isRecovering reports whether the older view, which has the given age now, was stale within
// recoveryTime.
func (s *staleness) isRecovering(age time.Duration, now time.Time) bool {
	if age > staleAge {
		s.at = now
	}
	return !s.at.IsZero() && now.Sub(s.at) < recoveryTime
}

// Peer is another daemon, with the address at which it answers requests of peers.
type Peer struct {
	Host       unit.HostID
	DataCentre unit.DataCentre
	Address    string
	Capacity   Capacity
	// Era is that of its list of backend servers; 0 if it has none, or is of an earlier build.
	Era unit.Era
}

// Capacity is what a host can carry for other daemons. Only its order counts; 0 means that it is
// not known.
type Capacity uint32

// capacityUnit is the unit of a Capacity, in cores times megabits a second.
const capacityUnit = 0.01

// NewCapacity returns the capacity of a host with a number of cores, or a share of one, and a link
// of some megabits a second. Answering followers takes both.
func NewCapacity(cores, megabits float64) Capacity {
	return Capacity(min(max(0, cores*megabits/capacityUnit), math.MaxUint32))
}

// View is what the choice of a source depends on.
type View struct {
	Self     unit.HostID
	Capacity Capacity
	Peers    []Peer
	// Seed is set for a daemon whose address all others have from their start.
	Seed bool
	// Settled is set once the daemon has run long enough to have discovered its peers.
	Settled bool
	// Age is the age of the older of the configuration and the list of servers, or the time
	// since the start if the list is not known yet.
	Age time.Duration
	// Recovering is set for some time after a view was stale.
	Recovering bool
	// Demanded is set while the daemon calls the store and a peer has queried it within
	// demandTime.
	Demanded bool
	// PeerAnswered is true if a peer has answered lately, even with old views.
	PeerAnswered bool
}

// Source is where a daemon gets the configuration and the servers: the store, peers or
// both.
type Source struct {
	// Store is true if the daemon calls the store itself.
	Store bool
	// Peers are the peers to query, if any.
	Peers []Peer
}

// ChooseSource returns the source for a view.
//
// Load pattern: the store is unavailable for some seconds and all daemons of a large
// fleet notice it at the same moment, or a whole fleet starts at once. Failed calls are
// paid too, and a recovering store must not get the calls of all daemons at once.
//
// Load pattern: the store rejects the watchers for many seconds and is slow for the others.
// The substitutes must not stop after each answer: the list is stale again soon, and the
// configuration, which takes longer to arrive than the servers, would be cut off each time.
// They go on while peers query them.
func ChooseSource(v View) Source {
	if !v.Settled {
		return startingSource(v)
	}
	ranked := rankHosts(v)
	rank := slices.Index(ranked, v.Self)
	if v.Age <= staleAge && !v.Recovering {
		if rank < watcherCount || v.Demanded {
			return Source{Store: true}
		}
		return Source{Peers: peersOnHosts(v.Peers, ranked[:min(watcherCount, len(ranked))])}
	}
	// The store may be rejecting the watchers, so the others query all substitutes.
	count := min(substituteCount(v.Age), len(ranked))
	isolated := !v.PeerAnswered && v.Age > isolatedStaleAge
	return Source{Store: rank < count || isolated || v.Age > maxStaleAge, Peers: peersOnHosts(v.Peers, ranked[:count])}
}

// startingSource returns the source for a daemon that has read the store once and has
// not discovered its peers yet, so it can't compute the watchers. In a fleet that
// starts as a whole the seeds watch the store, because all daemons have their addresses.
func startingSource(v View) Source {
	return Source{Store: v.Seed || (v.Age > isolatedStaleAge && !v.PeerAnswered), Peers: v.Peers}
}

// rankHosts returns all hosts in the order in which they call the store: those with the most
// capacity first, hosts with the same in the order of a hash.
//
// Load pattern: each of two watchers answers half of a large fleet, and each substitute a part of it
// while the store is away. On a small host that takes the time in which it would follow the store
// itself.
func rankHosts(v View) []unit.HostID {
	hosts, capacities := []unit.HostID{v.Self}, map[unit.HostID]Capacity{v.Self: v.Capacity}
	for _, p := range v.Peers {
		hosts = append(hosts, p.Host)
		capacities[p.Host] = p.Capacity
	}
	ranked := chooser.Top(watcherHashKey, hosts, len(hosts))
	slices.SortStableFunc(ranked, func(a, b unit.HostID) int { return cmp.Compare(capacities[b], capacities[a]) })
	return ranked
}

// substituteCount returns the number of daemons that call the store when a view of all has
// the age. It doubles with time up to maxSubstitutes.
func substituteCount(age time.Duration) int {
	count := minSubstitutes
	for at := staleAge + substituteGrowthInterval; at < age && count < maxSubstitutes; at += substituteGrowthInterval {
		count *= 2
	}
	return count
}

// withoutEarlierBuilds returns the peers that state the era of their views, for a daemon that knows
// an era. Nothing that the others hand on can be ordered, so they are no sources.
func withoutEarlierBuilds(peers []Peer, known unit.Era) []Peer {
	if known == 0 {
		return peers
	}
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Era == 0 })
}

// peersOnHosts returns the peers whose hosts are listed.
func peersOnHosts(peers []Peer, hosts []unit.HostID) []Peer {
	var out []Peer
	for _, p := range peers {
		if slices.Contains(hosts, p.Host) {
			out = append(out, p)
		}
	}
	return out
}
