package announcer

import (
	"net"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/follower"
	"oleandercove.example/wire/peer"
)

// peerState is the state of a peer according to its beacons.
type peerState struct {
	host        unit.HostID
	dataCentre  unit.DataCentre
	address     string
	udp         *net.UDPAddr
	incarnation uint64
	// lastNumber is the number of the last beacon that the peer sent.
	lastNumber  uint64
	lastHeard   time.Time
	leaving     bool
	servedModel bool
	capacity    follower.Capacity
	// era is that of the peer's list of backend servers, 0 if it doesn't state one.
	era unit.Era
	// livenessTimeout is how long the peer counts as live without a beacon.
	livenessTimeout time.Duration
	// down holds the servers that the last beacon listed as down.
	down map[unit.BackendID]bool
}

// updateDown replaces the servers that the peer reports down, and returns those that
// its last beacon did not list.
//
// Load pattern: one daemon on a weak host considers a healthy server down for seconds
// and reports that four times a second to a large fleet. Each daemon checks the server
// once and not at every beacon.
func (p *peerState) updateDown(list []*peer.DownMark) []unit.BackendID {
	down := make(map[unit.BackendID]bool, len(list))
	var newlyDown []unit.BackendID
	for _, m := range list {
		id := unit.BackendID(m.Server)
		down[id] = true
		if !p.down[id] {
			newlyDown = append(newlyDown, id)
		}
	}
	p.down = down
	return newlyDown
}

// isLive reports whether the peer has sent a beacon within its liveness timeout and is
// not leaving.
func (p *peerState) isLive(now time.Time) bool {
	return p.host != "" && !p.leaving && now.Sub(p.lastHeard) < max(minLivenessTimeout, p.livenessTimeout)
}

// livenessTimeoutFor returns how long each of a number of peers that send to each other
// counts as live without a beacon.
func livenessTimeoutFor(peers int) time.Duration {
	expected := beaconInterval * time.Duration(max(1, peers)) / fanOut
	return max(minLivenessTimeout, maxMissedBeacons*expected)
}
