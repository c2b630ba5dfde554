package prioritizer

import (
	"math"
	"slices"
	"time"

	"oleandercove.example/oleandercove/divider"
	"oleandercove.example/oleandercove/edge/surveyor"
)

const (
	// usualTime is the time constant with which the usual demand of an account follows its
	// current one.
	usualTime = 30 * time.Second
	// burstRatio is the ratio of an account's demand to its usual one, relative to that of the median
	// account, beyond which it counts as a burst.
	burstRatio = 1.5
	// learningTime is how long demand is observed before shares are computed from it.
	learningTime = 3 * time.Second
)

// Usual is what the accounts of a service usually offer. The zero value has seen no demand.
type Usual struct {
	began, at time.Time
	rates     map[surveyor.AccountHash]float64
}

// Learn returns the usual demand with the current one taken into account. Nothing is learnt
// while requests are refused, so that a burst of an account doesn't become its usual demand.
func (u Usual) Learn(accounts []surveyor.Account, short bool, now time.Time) Usual {
	if u.rates == nil {
		u = Usual{began: now, at: now, rates: map[surveyor.AccountHash]float64{}}
		for _, a := range accounts {
			u.rates[a.Hash] = float64(a.Offered)
		}
		return u
	}
	elapsed := now.Sub(u.at)
	u.at = now
	if short {
		return u
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(min(usualTime, max(learningTime, now.Sub(u.began)))))
	next := make(map[surveyor.AccountHash]float64, len(accounts))
	for _, a := range accounts {
		next[a.Hash] = u.rates[a.Hash] + weight*(float64(a.Offered)-u.rates[a.Hash])
	}
	for h, r := range u.rates {
		if _, ok := next[h]; !ok && r*(1-weight) >= 1 {
			next[h] = r * (1 - weight)
		}
	}
	u.rates = next
	return u
}

// learnt reports whether demand was observed for long enough.
func (u Usual) learnt() bool { return u.rates != nil && u.at.Sub(u.began) >= learningTime }

// AccountShare is the share of an account in the room of a service, in tokens a second.
type AccountShare struct {
	Hash                     surveyor.AccountHash
	Offered, Admitted, Share float64
	// Excess is the part of the account's requests beyond its share, from 0 to 1, and Try the part of
	// these that leave only excessHeldBack.
	Excess, Try float64
}

// DivideByAccount divides what a service admits among its accounts by max-min fair shares. The weight
// of an account is what it usually offers, or the mean over all accounts if that is more, so that one
// that was idle or is new has the weight of others.
//
// Only accounts that send far more than usual have an excess: demand varies from second to second,
// and an account close to its usual demand has its part of the room free. Unless the service is short
// every account has all that it offers.
func DivideByAccount(accounts []surveyor.Account, u Usual, short bool) []AccountShare {
	out := make([]AccountShare, len(accounts))
	room, mean := 0.0, 0.0
	for i, a := range accounts {
		out[i] = AccountShare{Hash: a.Hash, Offered: float64(a.Offered), Admitted: float64(a.Admitted), Share: float64(a.Offered)}
		room += float64(a.Admitted)
		mean += u.rates[a.Hash] / float64(len(out))
	}
	if len(out) < 2 || !u.learnt() || !short {
		return out
	}
	weighted := make([]divider.Weighted, len(out))
	for i, a := range out {
		weighted[i] = divider.Weighted{Wanted: a.Offered, Weight: max(1, mean, u.rates[a.Hash])}
	}
	limit := burstRatio * max(1, medianGrowth(weighted))
	for i, share := range divider.WeightedShares(room, weighted) {
		out[i].Share = share
		if w := weighted[i]; w.Wanted > limit*w.Weight {
			out[i].Excess = max(0, 1-share/w.Wanted)
			out[i].Try = tryPart(w.Wanted-share, room)
		}
	}
	return out
}

// medianGrowth returns the median ratio of the demand of an account to its weight.
func medianGrowth(accounts []divider.Weighted) float64 {
	ratios := make([]float64, 0, len(accounts))
	for _, a := range accounts {
		ratios = append(ratios, a.Wanted/a.Weight)
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// accountPlan is what follows from the demand of the accounts of a service.
type accountPlan struct {
	madeAt time.Time
	shares []AccountShare
	// excess has the shares of the accounts with requests beyond their share.
	excess map[surveyor.AccountHash]AccountShare
}

func newAccountPlan(accounts []surveyor.Account, u Usual, short bool, now time.Time) *accountPlan {
	p := &accountPlan{madeAt: now, shares: DivideByAccount(accounts, u, short), excess: map[surveyor.AccountHash]AccountShare{}}
	for _, s := range p.shares {
		if s.Excess > 0 {
			p.excess[s.Hash] = s
		}
	}
	return p
}

// heldBack returns the share of an engine that a request of an account leaves to other accounts, for
// a random number in [0, 1).
func (p *accountPlan) heldBack(h surveyor.AccountHash, chance float64) float64 {
	s := p.excess[h]
	switch {
	case chance >= s.Excess:
		return 0
	case chance < s.Excess*(1-s.Try):
		return restHeldBack
	default:
		return excessHeldBack
	}
}
