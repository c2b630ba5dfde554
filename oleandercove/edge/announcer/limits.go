package announcer

import (
	"math"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/throttler"
	"oleandercove.example/wire/peer"
)

// encodeLimits encodes changes of limits with their age, because clocks of hosts are not
// compared.
func encodeLimits(marks []throttler.Mark, now time.Time) []*peer.LimitMark {
	var out []*peer.LimitMark
	for _, m := range marks {
		out = append(out, &peer.LimitMark{
			Server: string(m.Server), Born: int64(m.Born), Limited: m.Limited, Limit: float64(m.Limit), AgeMs: ageMs(m.At, now),
		})
	}
	return out
}

// decodeLimits returns the changes with times on the clock of this daemon. Limits that are no
// rate are left out.
func decodeLimits(list []*peer.LimitMark, now time.Time) []throttler.Mark {
	var out []throttler.Mark
	for _, m := range list {
		if !(m.Limit >= 0) || math.IsInf(m.Limit, 0) {
			continue
		}
		out = append(out, throttler.Mark{
			Server: unit.BackendID(m.Server), Born: backend.Incarnation(m.Born), Limited: m.Limited,
			Limit: unit.RequestsPerSecond(m.Limit), At: timeOf(m.AgeMs, now),
		})
	}
	return out
}
