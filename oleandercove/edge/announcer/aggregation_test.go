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

// reached returns the daemons that know a record which one daemon has, after enough rounds within
// data centres and between aggregators.
func reached(fleet map[unit.DataCentre][]unit.HostID, origin unit.DataCentre) map[unit.HostID]bool {
	known := map[unit.HostID]bool{}
	for _, h := range fleet[origin] {
		known[h] = true
	}
	for centre, hosts := range fleet {
		for _, h := range hosts {
			if !known[h] || centre != origin {
				continue
			}
			for _, partner := range aggregate(h, centre, fleet).partners {
				known[partner] = true
			}
		}
	}
	for _, hosts := range fleet {
		if slices.ContainsFunc(hosts, func(h unit.HostID) bool { return known[h] }) {
			for _, h := range hosts {
				known[h] = true
			}
		}
	}
	return known
}

// Guards against records that never reach a data centre, and against exchanges between data
// centres that grow with the fleet. Both happen when daemons choose their partners apart from each
// other, or when a data centre has a single daemon.
func TestAggregation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(rapid.SliceOfN(rapid.IntRange(1, 40), 1, 5).Draw(t, "sizes")...)
		origin := unit.DataCentre("dc-0")
		exchanges := 0
		for centre, hosts := range fleet {
			for _, h := range hosts {
				exchanges += len(aggregate(h, centre, fleet).partners)
			}
		}
		if most := aggregatorsPerCentre * len(fleet) * (len(fleet) - 1); exchanges > most {
			t.Fatalf("%d exchanges between data centres, want at most %d", exchanges, most)
		}
		known := reached(fleet, origin)
		for _, hosts := range fleet {
			for _, h := range hosts {
				if !known[h] {
					t.Fatalf("%s does not get the record", h)
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
