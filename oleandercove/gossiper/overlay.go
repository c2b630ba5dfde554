package gossiper

import (
	"cmp"
	"math"
	"slices"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
)

// relays is the number of links between two data centres of a region, and
// between two regions; the second one is the spare of the first.
const relays = 2

// Neighbours returns the members that self keeps links with. All daemons with
// the same membership compute the same edges, from both of their ends.
//
// Within a data centre, members form a ring in hash order with chords of the
// square root of its size, so that a change needs about that many hops. Data
// centres of a region and regions are joined pairwise by relays.
func Neighbours(self unit.HostID, members []Member) []unit.HostID {
	byHost := map[unit.HostID]Member{}
	centres := map[unit.DataCentre][]unit.HostID{}
	regions := map[unit.Region][]unit.HostID{}
	for _, m := range members {
		byHost[m.Host] = m
		centres[m.DataCentre] = append(centres[m.DataCentre], m.Host)
		regions[m.Region] = append(regions[m.Region], m.Host)
	}
	me := byHost[self]
	out := map[unit.HostID]bool{}
	addRing(out, self, centres[me.DataCentre])
	regionOf := map[unit.DataCentre]unit.Region{}
	for _, m := range members {
		regionOf[m.DataCentre] = m.Region
	}
	for dc, hosts := range centres {
		if dc != me.DataCentre && regionOf[dc] == me.Region {
			addRelays(out, self, "data centre", string(me.DataCentre), string(dc), centres[me.DataCentre], hosts)
		}
	}
	for r, hosts := range regions {
		if r != me.Region {
			addRelays(out, self, "region", string(me.Region), string(r), regions[me.Region], hosts)
		}
	}
	delete(out, self)
	return sorted(out)
}

func sorted(set map[unit.HostID]bool) []unit.HostID {
	out := make([]unit.HostID, 0, len(set))
	for h := range set {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// addRing adds the neighbours on the ring of one data centre.
func addRing(out map[unit.HostID]bool, self unit.HostID, hosts []unit.HostID) {
	n := len(hosts)
	ring := slices.Clone(hosts)
	slices.SortFunc(ring, func(a, b unit.HostID) int {
		return cmp.Or(cmp.Compare(chooser.Score("ring", string(a)), chooser.Score("ring", string(b))), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	if at < 0 {
		return
	}
	for _, step := range []int{1, int(math.Ceil(math.Sqrt(float64(n))))} {
		out[ring[(at+step)%n]] = true
		out[ring[((at-step)%n+n)%n]] = true
	}
}

// addRelays adds the far ends of the links between two groups that self holds.
func addRelays(out map[unit.HostID]bool, self unit.HostID, level, own, other string, near, far []unit.HostID) {
	key := level + " " + min(own, other) + " " + max(own, other)
	a, b := chooser.Top(key, near, relays), chooser.Top(key, far, relays)
	for i := range max(len(a), len(b)) {
		if a[i%len(a)] == self {
			out[b[i%len(b)]] = true
		}
	}
}
