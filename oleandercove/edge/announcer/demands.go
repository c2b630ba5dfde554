package announcer

import (
	"math"

	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/surveyor"
	"oleandercove.example/wire/peer"
)

const (
	// maxClasses and maxAccounts bound what is taken from one message. Operators use a few
	// classes, and aggregators send fewer accounts.
	maxClasses  = 64
	maxAccounts = 256
)

func encodeDemands(list []surveyor.Demand) []*peer.ServiceDemand {
	out := make([]*peer.ServiceDemand, 0, len(list))
	for _, d := range list {
		m := &peer.ServiceDemand{Service: string(d.Service)}
		for _, c := range d.Classes {
			m.Classes = append(m.Classes, &peer.ClassDemand{Priority: int32(c.Urgency.Priority), RoutePriority: int32(c.Urgency.Route), Offered: encodeRate(c.Offered), Admitted: encodeRate(c.Admitted)})
		}
		for _, a := range d.Accounts {
			m.Accounts = append(m.Accounts, &peer.AccountDemand{Account: uint32(a.Hash), Offered: encodeRate(a.Offered), Admitted: encodeRate(a.Admitted)})
		}
		out = append(out, m)
	}
	return out
}

// encodeRate rounds a rate to whole tokens a second.
func encodeRate(r surveyor.TokensPerSecond) uint32 {
	return uint32(max(0, min(math.Round(float64(r)), math.MaxUint32)))
}

// decodeDemands returns the demand in a message. Entries that offer nothing are left out: no part of
// the demand can be computed from them.
func decodeDemands(list []*peer.ServiceDemand) []surveyor.Demand {
	out := make([]surveyor.Demand, 0, len(list))
	for _, m := range list {
		d := surveyor.Demand{Service: routing.ServiceName(m.Service)}
		for _, c := range m.Classes[:min(len(m.Classes), maxClasses)] {
			if c.Offered == 0 {
				continue
			}
			d.Classes = append(d.Classes, surveyor.Class{Urgency: routing.Urgency{Priority: routing.Priority(c.Priority), Route: routing.Priority(c.RoutePriority)}, Rates: decodeRates(c.Offered, c.Admitted)})
		}
		for _, a := range m.Accounts[:min(len(m.Accounts), maxAccounts)] {
			if a.Offered == 0 {
				continue
			}
			d.Accounts = append(d.Accounts, surveyor.Account{Hash: surveyor.AccountHash(a.Account), Rates: decodeRates(a.Offered, a.Admitted)})
		}
		out = append(out, d)
	}
	return out
}

func decodeRates(offered, admitted uint32) surveyor.Rates {
	return surveyor.Rates{Offered: surveyor.TokensPerSecond(offered), Admitted: surveyor.TokensPerSecond(min(offered, admitted))}
}
