package throttler

import (
	"math"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
)

const (
	// usedShare is the share of a limit that daemons use together. The rest is for daemons that
	// don't agree yet on which of them are live.
	usedShare = 0.9
	// burstSeconds is the time in which an empty bucket of a fast server fills up.
	burstSeconds = 0.25
)

// share is what a daemon may send to a server that names a limit.
type share struct {
	rate unit.RequestsPerSecond
	// burst is the largest number of requests at once.
	burst float64
}

// shareOf returns the share of a daemon in the limit of a server. The limit is divided among as
// many of the live daemons as each can have one request a second, and among one at least;
// rendezvous hashing selects them. All bursts together are at most one second's requests, or
// one request.
//
// Load pattern: hundreds of daemons share a limit of a few requests a second. If each had its
// small part, all of them could send their first request at the same moment.
func shareOf(limit unit.RequestsPerSecond, self unit.HostID, live []unit.HostID, server unit.BackendID) share {
	used := usedShare * float64(limit)
	holders := min(max(1, int(min(used, math.MaxInt32))), len(live))
	if holders == 0 || !chooser.InTop(string(server), self, live, holders) {
		return share{}
	}
	rate := used / float64(holders)
	return share{rate: unit.RequestsPerSecond(rate), burst: max(1, burstSeconds*rate)}
}
