package announcer

import (
	"slices"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
)

// aggregatorsPerCentre is the number of daemons of a data centre that exchange load and passes
// with other data centres. One of them may be lost at any time.
const aggregatorsPerCentre = 2

// notAggregator is the rank of a daemon that is no aggregator.
const notAggregator = -1

// aggregation says with which daemons of other data centres a daemon exchanges the aggregate load
// of its data centre, and the passes of parts of prompts.
//
// Load pattern: engines are lost under many requests, and each daemon of a large fleet has some
// dozen records for all others. If each sent them to other data centres by itself, these bytes
// would be most of those between data centres.
type aggregation struct {
	// rank is the daemon's rank among the aggregators of its data centre, or notAggregator.
	rank int
	// partners are the aggregators with that rank in the other data centres.
	partners []unit.HostID
}

// aggregate returns the aggregation of a daemon, given the live daemons of each data centre. The
// partner is the last aggregator of a data centre that has fewer than there are ranks.
func aggregate(self unit.HostID, centre unit.DataCentre, hosts map[unit.DataCentre][]unit.HostID) aggregation {
	g := aggregation{rank: slices.Index(aggregatorsOf(centre, hosts[centre]), self)}
	if g.rank == notAggregator {
		return g
	}
	for other, list := range hosts {
		if all := aggregatorsOf(other, list); other != centre && len(all) > 0 {
			g.partners = append(g.partners, all[min(g.rank, len(all)-1)])
		}
	}
	return g
}

// aggregatorsOf returns the aggregators among the hosts of a data centre, in the order of their
// ranks.
func aggregatorsOf(centre unit.DataCentre, hosts []unit.HostID) []unit.HostID {
	return chooser.Top(string(centre), hosts, aggregatorsPerCentre)
}

// exchangesWith reports whether the daemon exchanges with a daemon of another data centre.
func (g aggregation) exchangesWith(host unit.HostID) bool { return slices.Contains(g.partners, host) }

// currentAggregation returns the aggregation of this daemon now.
func (a *Announcer) currentAggregation(now time.Time) aggregation {
	return aggregate(a.Host, a.DataCentre, a.hostsByCentre(now))
}
