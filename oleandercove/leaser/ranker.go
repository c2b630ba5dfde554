package leaser

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandercove.example/core/unit"
)

// Rank returns the rank of a host among all hosts for a key, by rendezvous hashing; 0 is the
// first. The rank changes only when a host that ranks before this one joins or leaves.
func Rank(hosts []unit.HostID, key string, host unit.HostID) int {
	own, rank := score(host, key), 0
	for _, h := range hosts {
		if s := score(h, key); s > own || (s == own && h < host) {
			rank++
		}
	}
	return rank
}

func score(h unit.HostID, key string) uint64 {
	return xxhash.Sum64String(string(h) + "\x00" + key)
}

func withSelf(hosts []unit.HostID, self unit.HostID) []unit.HostID {
	if slices.Contains(hosts, self) {
		return hosts
	}
	return append(slices.Clone(hosts), self)
}
