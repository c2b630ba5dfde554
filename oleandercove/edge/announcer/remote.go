package announcer

import (
	"net"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/wire/peer"
)

// remote is what is known of a peer.
type remote struct {
	host        unit.HostID
	dataCentre  unit.DataCentre
	address     string
	udp         *net.UDPAddr
	incarnation uint64
	number      uint64
	heard       time.Time
	leaving     bool
	served      bool
	// silence is how long the peer counts as live without a beacon.
	silence time.Duration
	// marks holds the servers that the last beacon said to be down.
	marks map[unit.BackendID]bool
}

// newMarks takes over the servers that a beacon says to be down, and returns those
// that the beacon before did not name.
//
// Load pattern: one daemon on a weak host holds a sound server to be down for
// seconds and says so four times a second to a large fleet. Each daemon checks
// that once and not at every beacon.
func (p *remote) newMarks(list []*peer.DownMark) []unit.BackendID {
	marks := make(map[unit.BackendID]bool, len(list))
	var news []unit.BackendID
	for _, m := range list {
		id := unit.BackendID(m.Server)
		marks[id] = true
		if !p.marks[id] {
			news = append(news, id)
		}
	}
	p.marks = marks
	return news
}

// live tells whether the peer may be relied on.
func (p *remote) live(now time.Time) bool {
	return p.host != "" && !p.leaving && now.Sub(p.heard) < max(silence, p.silence)
}

// silenceOf returns how long each one of a number of peers that send to each other
// counts as live without a beacon.
func silenceOf(peers int) time.Duration {
	expected := interval * time.Duration(max(1, peers)) / fanOut
	return max(silence, beaconsMissed*expected)
}
