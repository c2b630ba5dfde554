package follower

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/unit"
)

// replica is the state of one daemon in a fleet whose store rejects some daemons.
type replica struct {
	host      unit.HostID
	rejected  bool
	staleness staleness
	// serversAt and configuredAt are when the server list and the configuration were current,
	// revision is that of the known configuration.
	serversAt, configuredAt time.Duration
	revision                int
	// storeSince is since when the daemon calls the store; negative while it doesn't.
	storeSince time.Duration
	// peer is the peer that the daemon queries, queriesAt when it last did, and queriedAt when
	// a peer last queried this daemon.
	peer                 *replica
	queriesAt, queriedAt time.Duration
}

const (
	// serversTime and configurationTime are how long a slow store takes to answer with the
	// servers and with a large configuration.
	serversTime       = 300 * time.Millisecond
	configurationTime = 900 * time.Millisecond
)

// step advances a daemon to a time at which the store has a revision since some time.
func (r *replica) step(fleet []*replica, now time.Duration, newest int, written time.Duration) {
	source := r.source(fleet, now)
	switch {
	case !source.Store:
		r.storeSince = -1
	case r.storeSince < 0:
		r.storeSince = now
	}
	if r.storeSince >= 0 && !r.rejected {
		if now-r.storeSince >= serversTime {
			r.serversAt = max(r.serversAt, now-serversTime)
		}
		// The first answer is to a list, which a change of the source cuts off.
		if now-r.storeSince >= configurationTime {
			r.configuredAt = max(r.configuredAt, now-configurationTime)
			if now-written >= configurationTime {
				r.revision = newest
			}
		}
	}
	r.query(fleet, source.Peers, now)
}

func (r *replica) source(fleet []*replica, now time.Duration) Source {
	v := View{Self: r.host, Settled: true, PeerAnswered: true, Age: r.age(now)}
	for _, x := range fleet {
		if x != r {
			v.Peers = append(v.Peers, Peer{Host: x.host})
		}
	}
	v.Recovering = r.staleness.isRecovering(v.Age, time.Unix(0, 0).Add(now))
	v.Demanded = r.storeSince >= 0 && r.queriedAt > 0 && now-r.queriedAt < demandTime
	return ChooseSource(v)
}

// age returns the age of the older view.
func (r *replica) age(now time.Duration) time.Duration {
	return now - min(r.serversAt, r.configuredAt)
}

// query applies the state of one of the candidates, which stays the peer while its own list is
// fresh.
func (r *replica) query(fleet []*replica, candidates []Peer, now time.Duration) {
	if len(candidates) == 0 || now-r.queriesAt < retryDelay {
		return
	}
	r.queriesAt = now
	if r.peer == nil || !slices.ContainsFunc(candidates, func(p Peer) bool { return p.Host == r.peer.host }) {
		host := candidates[rand.N(len(candidates))].Host
		r.peer = fleet[slices.IndexFunc(fleet, func(x *replica) bool { return x.host == host })]
	}
	r.peer.queriedAt = now
	if r.peer.revision >= r.revision {
		r.revision, r.configuredAt = r.peer.revision, max(r.configuredAt, r.peer.configuredAt)
	}
	if now-r.peer.serversAt <= staleAge {
		r.serversAt = max(r.serversAt, r.peer.serversAt)
	}
	if r.peer.age(now) > staleAge {
		r.peer = nil
	}
}

// Guards against a configuration that reaches no daemon in time, because the daemons that the
// store serves stop calling it whenever they have the servers, before the configuration has
// arrived.
//
// Load pattern: the store rejects the watchers and is slow for the others, while a large
// configuration is written.
func TestRejectedWatchers(t *testing.T) {
	const (
		step = 100 * time.Millisecond
		// applyLimit is the shortest time within which a configuration must be in force.
		applyLimit = 2 * time.Second
		newest     = 2
	)
	for _, n := range []int{8, 12} {
		for phase := range 5 {
			t.Run(fmt.Sprintf("%d daemons, phase %d", n, phase), func(t *testing.T) {
				is := is.New(t)
				watchers := storeFollowers(views(n, func(*View) {}))
				var fleet []*replica
				for _, p := range peers(n) {
					fleet = append(fleet, &replica{host: p.Host, rejected: slices.Contains(watchers, p.Host), revision: 1, storeSince: -1})
				}
				written := 6*time.Second + time.Duration(phase)*300*time.Millisecond
				for now := time.Duration(0); now < written+applyLimit; now += step {
					at := written
					if now < written {
						at = 0
					}
					revision := 1
					if now >= written {
						revision = newest
					}
					for _, r := range fleet {
						r.step(fleet, now, revision, at)
					}
				}
				for _, r := range fleet {
					is.Equal(r.revision, newest)
				}
			})
		}
	}
}
