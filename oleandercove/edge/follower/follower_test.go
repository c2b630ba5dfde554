package follower

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/unit"
)

func peers(n int) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{Host: unit.HostID(fmt.Sprintf("host-%d", i)), Address: fmt.Sprint(i)})
	}
	return out
}

// views returns how the daemons of a fleet see each other, changed by a function.
func views(n int, change func(v *View)) []View {
	all := peers(n)
	out := make([]View, n)
	for i, self := range all {
		out[i] = View{Self: self.Host, Peers: append(append([]Peer(nil), all[:i]...), all[i+1:]...), Settled: true, Answered: true}
		change(&out[i])
	}
	return out
}

// toStore returns the hosts that go to the store.
func toStore(list []View) []unit.HostID {
	var out []unit.HostID
	for _, v := range list {
		if Choose(v).Store {
			out = append(out, v.Self)
		}
	}
	return out
}

var fleets = []int{1, 2, 3, 9, 70, 195}

// TestWatchers guards against a fleet in which every daemon, or none, watches
// the store.
func TestWatchers(t *testing.T) {
	for _, n := range fleets {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			list := views(n, func(*View) {})
			is.Equal(len(toStore(list)), min(n, watchers))
			for _, v := range list {
				w := Choose(v)
				is.True(w.Store || len(w.Ask) > 0)
			}
		})
	}
}

// TestStart replays the start of a whole fleet, in which daemons know only the seeds
// at first. It guards against a fleet that all goes to the store at once, and against
// one that waits for seeds that are not there.
func TestStart(t *testing.T) {
	const seeds = 3
	for _, n := range fleets {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			all := peers(n)
			list := views(n, func(v *View) {
				*v = View{Self: v.Self, Peers: all[:min(seeds, n)], Seed: slices.ContainsFunc(all[:min(seeds, n)], func(p Peer) bool { return p.Host == v.Self })}
			})
			is.Equal(len(toStore(list)), min(seeds, n))
			for i := range list {
				list[i].Seed, list[i].Age = false, longPatience+time.Millisecond
			}
			is.Equal(len(toStore(list)), n)
			for i := range list {
				list[i].Answered = true
			}
			is.Equal(len(toStore(list)), 0)
		})
	}
}

// TestStoreAway replays an outage of the store on fleets of several sizes. It guards
// against calls that grow with the fleet, and against a daemon that no longer asks.
func TestStoreAway(t *testing.T) {
	for _, n := range fleets {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			for age := patience + time.Millisecond; age < longestPatience; age += substitutesGrow {
				list := views(n, func(v *View) { v.Age = age })
				is.True(len(toStore(list)) <= maxSubstitutes)
				for _, v := range list {
					w := Choose(v)
					is.True(w.Store || len(w.Ask) > 0)
				}
			}
			is.Equal(len(toStore(views(n, func(v *View) { v.Age = longestPatience + time.Millisecond }))), n)
		})
	}
}

// TestTurnedAway replays a store that turns away a part of the daemons. It guards
// against a fleet that none of the served daemons tells anything.
func TestTurnedAway(t *testing.T) {
	const turnedAway = 0.35
	random := rand.New(rand.NewPCG(14, 14))
	for range 20 {
		is := is.New(t)
		away := map[unit.HostID]bool{}
		list := views(195, func(v *View) {
			v.Age = 4 * time.Second
			away[v.Self] = random.Float64() < turnedAway
		})
		served := 0
		for _, host := range toStore(list) {
			if !away[host] {
				served++
			}
		}
		is.True(served > 0)
		// All others ask those that go to the store.
		is.True(len(Choose(list[0]).Ask) >= maxSubstitutes-1)
	}
}

// TestAlone guards against a daemon that waits for peers which don't answer it.
func TestAlone(t *testing.T) {
	is := is.New(t)
	list := views(195, func(v *View) { v.Age, v.Answered = longPatience+time.Millisecond, false })
	is.Equal(len(toStore(list)), 195)
}

// TestAge guards against an age that overflows on its way and looks young.
func TestAge(t *testing.T) {
	is := is.New(t)
	for _, d := range []time.Duration{math.MaxInt64, 400 * 24 * time.Hour, 2 * time.Second} {
		sent := roundUp(d)
		is.True(time.Duration(sent)*time.Millisecond > patience)
	}
	is.Equal(roundUp(-time.Second), uint64(1))
}
