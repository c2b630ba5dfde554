package gossiper

import (
	"cmp"
	"math"
	"slices"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
)

// relaysPerPair is the number of links between two data centres of a region, and
// between two regions; the second link is a spare.
const relaysPerPair = 2

// Neighbours returns the members that self keeps links with. All daemons with the
// same membership compute the same links, so that both ends agree on each.
//
// Within a data centre, members form a ring in hash order with chords that span the
// square root of its size, so that a change needs about that many hops. The data
// centres of a region, and the regions, are connected pairwise by relays.
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

// addRing adds the neighbours of self on the ring of one data centre.
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

// addRelays adds the far ends of those links between two groups that begin at self.
func addRelays(out map[unit.HostID]bool, self unit.HostID, level, own, other string, near, far []unit.HostID) {
	key := level + " " + min(own, other) + " " + max(own, other)
	a, b := chooser.Top(key, near, relaysPerPair), chooser.Top(key, far, relaysPerPair)
	for i := range max(len(a), len(b)) {
		if a[i%len(a)] == self {
			out[b[i%len(b)]] = true
		}
	}
}
