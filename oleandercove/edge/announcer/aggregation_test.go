package announcer

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"oleandercove.example/core/logger"
	"oleandercove.example/core/unit"
	"oleandercove.example/wire/peer"
)

// fleetOf returns a number of daemons in each of some data centres.
func fleetOf(sizes ...int) map[unit.DataCentre][]unit.HostID {
	out := map[unit.DataCentre][]unit.HostID{}
	for c, n := range sizes {
		centre := unit.DataCentre(fmt.Sprintf("dc-%d", c))
		for i := range n {
			out[centre] = append(out[centre], unit.HostID(fmt.Sprintf("entry-%d-%d", c, i)))
		}
	}
	return out
}

// Guards against records that never reach a data centre, and against exchanges between data
// centres that grow with the fleet. Both happen when daemons choose their partners apart from each
// other, or when a data centre has a single daemon.
func TestAggregation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(rapid.SliceOfN(rapid.IntRange(1, 40), 1, 5).Draw(t, "sizes")...)
		exchanges := map[[2]unit.DataCentre]int{}
		for from, hosts := range fleet {
			for _, h := range hosts {
				for _, partner := range aggregate(h, from, fleet).partners {
					for to, others := range fleet {
						if slices.Contains(others, partner) {
							exchanges[[2]unit.DataCentre{from, to}]++
						}
					}
				}
			}
		}
		for from := range fleet {
			for to := range fleet {
				n := exchanges[[2]unit.DataCentre{from, to}]
				if n > aggregatorsPerCentre || (n == 0) != (from == to) {
					t.Fatalf("%d daemons of %s exchange with %s", n, from, to)
				}
			}
		}
	})
}

// Guards against a data centre that is cut off from the records of others for long after one of its
// aggregators was lost: the pair of the other rank goes on, and the ranks move up.
func TestAggregatorLost(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(5, 5)
	lost := aggregatorsOf("dc-1", fleet["dc-1"])[0]
	first, second := aggregatorsOf("dc-0", fleet["dc-0"])[0], aggregatorsOf("dc-0", fleet["dc-0"])[1]
	is.True(aggregate(first, "dc-0", fleet).exchangesWith(lost))
	is.True(!aggregate(second, "dc-0", fleet).exchangesWith(lost)) // both pairs end with one daemon
	fleet["dc-1"] = slices.DeleteFunc(fleet["dc-1"], func(h unit.HostID) bool { return h == lost })
	is.Equal(aggregate(first, "dc-0", fleet).partners, aggregatorsOf("dc-1", fleet["dc-1"])[:1])
}

// Guards against bytes between data centres that grow with the records of each daemon: only the
// partner of an aggregator gets loads and passes from elsewhere.
func TestReportFor(t *testing.T) {
	passes := []*peer.PartPass{{Part: 7}}
	loads := []*peer.ServerLoad{{Server: "i-1"}}
	report := &loadReport{
		aggregation: aggregation{partners: []unit.HostID{"partner"}}, ownCentre: "near", ownLoads: loads,
		ownSummary: &peer.CentreLoads{DataCentre: "near", Loads: loads}, passes: passes,
	}
	tests := []struct {
		name         string
		to           peerState
		loads, pass  int
		summaryCount int
	}{
		{"a daemon of the data centre gets no passes", peerState{host: "entry-2", dataCentre: "near"}, 1, 1, 0},
		{"the partner gets no summary", peerState{host: "partner", dataCentre: "far"}, 0, 1, 1},
		{"every daemon elsewhere gets passes", peerState{host: "entry-9", dataCentre: "far"}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := report.partFor(tt.to)
			is.Equal(len(b.Loads), tt.loads)
			is.Equal(len(b.Passes), tt.pass)
			is.Equal(len(b.Centres), tt.summaryCount)
			is.True(tt.loads+tt.pass+tt.summaryCount > 0 || proto.Size(b) == 0)
		})
	}
}

// Guards against an aggregator whose partner gets its reports only when a random choice of peers
// contains it, which makes loads of other data centres old in a large fleet.
func TestPartnerIsTarget(t *testing.T) {
	is := is.New(t)
	a := newAnnouncer(logger.Discard())
	a.DataCentre = "near"
	now := a.Timer.Now()
	for i := range 100 {
		a.peers[fmt.Sprint(i)] = &peerState{host: unit.HostID(fmt.Sprint(i)), dataCentre: "far", udp: &net.UDPAddr{}, lastHeard: now.Add(-time.Second)}
	}
	for range 20 {
		targets := a.targets(aggregation{partners: []unit.HostID{"7"}}, now)
		is.True(slices.ContainsFunc(targets, func(p peerState) bool { return p.host == "7" }))
		is.True(len(targets) <= fanOut+1)
	}
}
