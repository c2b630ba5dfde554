// Package divider splits a fleet-wide limit between daemons by their demand.
//
// The split is max-min fair: the fair share of a daemon is never more than its
// demand, and what it leaves unused is divided among the others. Each daemon also gets a
// part of the limit that nobody demands, so that its demand can grow between two
// reports. The coordinator of an account keeps a Ledger of the valid slices, so
// that the sum of all slices stays within the limit while demand moves between
// daemons.
//
// Usage:
//
//	l := divider.NewLedger()
//	slice := l.Grant(now, limit, divider.Demand{Host: "entry-1", Wanted: 40})
package divider

import (
	"sort"
	"time"

	"oleandercove.example/core/unit"
)

// spareShare is the fraction of the unused limit that is granted beyond the
// demand, so that growth between two reports isn't rejected. The rest is kept for
// daemons without a slice.
const spareShare = 0.5

// Validity is how long a slice may be used without renewal.
const Validity = 2 * time.Second

// Demand is what a daemon would use without a limit, in units per second or in
// streams.
type Demand struct {
	Host   unit.HostID
	Wanted float64
}

// FairShares returns the max-min fair shares of the demands, in the same order. Their
// sum is at most the limit.
func FairShares(limit float64, demands []Demand) []float64 {
	weighted := make([]Weighted, len(demands))
	for i, d := range demands {
		weighted[i] = Weighted{Wanted: d.Wanted, Weight: 1}
	}
	return WeightedShares(limit, weighted)
}

// Weighted is a demand with a weight, which is positive.
type Weighted struct {
	Wanted, Weight float64
}

// WeightedShares returns the max-min fair shares of weighted demands, in the same order: a
// demand that isn't met has at least the share of any other one for each unit of weight. Their sum
// is at most the limit.
func WeightedShares(limit float64, demands []Weighted) []float64 {
	order := make([]int, len(demands))
	weights := 0.0
	for i := range order {
		order[i] = i
		weights += demands[i].Weight
	}
	perWeight := func(i int) float64 { return demands[i].Wanted / demands[i].Weight }
	sort.SliceStable(order, func(a, b int) bool { return perWeight(order[a]) < perWeight(order[b]) })
	shares := make([]float64, len(demands))
	left := max(0, limit)
	for _, i := range order {
		shares[i] = min(max(0, demands[i].Wanted), left*min(1, demands[i].Weight/weights))
		left -= shares[i]
		weights -= demands[i].Weight
	}
	return shares
}

// slice is the part of a limit that a daemon holds.
type slice struct {
	demand     float64
	granted    float64
	validUntil time.Time
}

// Ledger is the coordinator's record of the valid slices of one limit. It isn't
// safe for concurrent use.
type Ledger struct {
	slices map[unit.HostID]*slice
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{slices: map[unit.HostID]*slice{}} }

// Grant records the demand of a daemon and returns its slice, which is valid for
// Validity from the time at which the daemon sent its demand. The slice is the
// daemon's fair share plus a part of the unused limit, but never more than the
// slices of the others leave free: a daemon whose share shrinks keeps its old
// slice until it renews.
func (l *Ledger) Grant(now time.Time, limit float64, d Demand) float64 {
	l.expire(now)
	l.slice(d.Host).demand = d.Wanted
	granted := min(l.share(limit, d.Host), max(0, limit-l.grantedToOthers(d.Host)))
	s := l.slice(d.Host)
	s.granted, s.validUntil = granted, now.Add(Validity)
	return granted
}

// TotalGranted returns the sum of the valid slices.
func (l *Ledger) TotalGranted(now time.Time) float64 {
	l.expire(now)
	return l.grantedToOthers("")
}

// Empty reports whether no slice is valid.
func (l *Ledger) Empty(now time.Time) bool {
	l.expire(now)
	return len(l.slices) == 0
}

func (l *Ledger) slice(h unit.HostID) *slice {
	s := l.slices[h]
	if s == nil {
		s = &slice{}
		l.slices[h] = s
	}
	return s
}

func (l *Ledger) expire(now time.Time) {
	for h, s := range l.slices {
		if !now.Before(s.validUntil) {
			delete(l.slices, h)
		}
	}
}

// grantedToOthers sums the slices of all daemons except one.
func (l *Ledger) grantedToOthers(except unit.HostID) float64 {
	sum := 0.0
	for h, s := range l.slices {
		if h != except {
			sum += s.granted
		}
	}
	return sum
}

// share returns the fair share of a host plus its part of the unused limit.
func (l *Ledger) share(limit float64, host unit.HostID) float64 {
	demands := make([]Demand, 0, len(l.slices))
	for h, s := range l.slices {
		demands = append(demands, Demand{Host: h, Wanted: s.demand})
	}
	own, left := 0.0, limit
	for i, share := range FairShares(limit, demands) {
		left -= share
		if demands[i].Host == host {
			own = share
		}
	}
	return own + max(0, left)*spareShare/float64(len(demands))
}
