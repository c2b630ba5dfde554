package prioritizer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/surveyor"
)

func class(route routing.Priority, offered, admitted surveyor.TokensPerSecond) surveyor.Class {
	return surveyor.Class{Urgency: urgency(route), Rates: surveyor.Rates{Offered: offered, Admitted: admitted}}
}

// Guards against room that is held back for requests that don't come, against a class that is held
// back within its share, and against an order of resumption that ignores the classes.
func TestClaim(t *testing.T) {
	tests := []struct {
		name   string
		give   []surveyor.Class
		of     routing.Priority
		chance float64
		want   Claim
	}{
		{"a daemon without any request holds room back", nil, 1, 0, Full},
		{"a class alone holds room back", []surveyor.Class{class(2, 100, 90)}, 2, 0, Full},
		{"the most urgent class holds room back", []surveyor.Class{class(0, 100, 100), class(2, 100, 100)}, 0, 0, Claim{TimeWeight: 1, To: 0.5, Rule: NoRule}},
		{"the least urgent class holds nothing back", []surveyor.Class{class(0, 100, 100), class(2, 100, 100)}, 2, 0, Claim{HeldBack: 0.05, TimeWeight: 0.5, From: 0.5, To: 1, Rule: ClassRule}},
		{"time counts for nothing", []surveyor.Class{class(0, 1900, 1900), class(2, 100, 100)}, 2, 0, Claim{HeldBack: 0.095, TimeWeight: 0.1, From: 0.95, To: 1, Rule: ClassRule}},
		{"a request within the share of its class is held back", []surveyor.Class{class(0, 100, 90), class(2, 100, 60)}, 2, 0.9, Claim{TimeWeight: 0.5, From: 0.5, To: 1, Rule: NoRule}},
		{"a request beyond the share of its class takes what it finds", []surveyor.Class{class(0, 100, 90), class(2, 100, 60)}, 2, 0.49, Claim{HeldBack: 0.15, TimeWeight: 0.5, From: 0.5, To: 1, Rule: ClassShareRule}},
		{"a request beyond the share fills an engine, or finds no room although engines are empty", []surveyor.Class{class(0, 100, 90), class(2, 100, 60)}, 2, 0, Claim{HeldBack: 0.5, TimeWeight: 0.5, From: 0.5, To: 1, Rule: ClassShareRule}},
		{"urgent requests are held back while most engines are lost", []surveyor.Class{class(0, 100, 10), class(2, 100, 10)}, 0, 0, Claim{TimeWeight: 1, To: 0.5, Rule: NoRule}},
		{"a class that only a newer configuration has is held back", []surveyor.Class{class(0, 100, 100)}, 5, 0, Full},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := plan{classes: newClassPlan(tt.give, epoch), accounts: newAccountPlan(nil, Usual{}, false, epoch)}
			got := p.claim(surveyor.Request{Service: service, Urgency: urgency(tt.of)}, tt.chance, epoch)
			is.True(math.Abs(got.HeldBack-tt.want.HeldBack)+math.Abs(got.TimeWeight-tt.want.TimeWeight) < 1e-9)
			got.HeldBack, got.TimeWeight = tt.want.HeldBack, tt.want.TimeWeight
			is.Equal(got, tt.want)
		})
	}
}

// drawDemand draws a demand with some classes and accounts.
func drawDemand(t *rapid.T) surveyor.Demand {
	rates := rapid.Custom(func(t *rapid.T) surveyor.Rates {
		offered := rapid.Float64Range(1, 1e6).Draw(t, "offered")
		return surveyor.Rates{Offered: surveyor.TokensPerSecond(offered), Admitted: surveyor.TokensPerSecond(offered * rapid.Float64Range(0, 1).Draw(t, "admitted"))}
	})
	d := surveyor.Demand{Service: service}
	for i, r := range rapid.SliceOfN(rates, 1, 5).Draw(t, "classes") {
		d.Classes = append(d.Classes, surveyor.Class{Urgency: urgency(routing.Priority(i)), Rates: r})
	}
	for i, r := range rapid.SliceOfN(rates, 0, 30).Draw(t, "accounts") {
		d.Accounts = append(d.Accounts, surveyor.Account{Hash: surveyor.AccountHash(i), Rates: r})
	}
	return d
}

// learntFrom returns the usual demand after it was observed for long enough.
func learntFrom(accounts []surveyor.Account) Usual {
	return Usual{}.Learn(accounts, false, epoch).Learn(accounts, false, epoch.Add(time.Minute))
}

// Guards against shares of accounts that exceed the room, that starve an account, or that refuse an
// account whose share is free.
func TestAccountShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := drawDemand(t).Accounts
		room, shared := 0.0, 0.0
		for _, a := range accounts {
			room += float64(a.Admitted)
		}
		// The weight of an account is at least half of the mean weight.
		least := room / float64(2*max(1, len(accounts)))
		for _, s := range DivideByAccount(accounts, learntFrom(accounts), true) {
			shared += s.Share
			if s.Excess < 0 || s.Excess > 1 || s.Share > s.Offered*1.000001 {
				t.Fatalf("account %d: share %g, excess %g of %g", s.Hash, s.Share, s.Excess, s.Offered)
			}
			if len(accounts) > 1 && s.Share < min(s.Offered, least)*0.999 {
				t.Fatalf("account %d is starved: %g of %g", s.Hash, s.Share, s.Offered)
			}
		}
		if len(accounts) > 1 && shared > room*1.000001 {
			t.Fatalf("shares add up to %g, room is %g", shared, room)
		}
	})
}

// Guards against shares of classes that exceed the room or starve a class, against a class that
// gets less than a less urgent one, and against claims outside of their ranges.
func TestClassShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := drawDemand(t).Classes
		total := surveyor.Total(classes)
		room := float64(total.Admitted)
		shared, last, lastExcess := 0.0, 0.0, 0.0
		for _, c := range divideByClass(classes) {
			share := (1 - c.excess) * float64(c.Offered)
			shared += share
			if least := leastShare * c.part * room; share < min(least, float64(c.Offered))*0.999 {
				t.Fatalf("class %v is starved: %g of %g", c.Urgency, share, c.Offered)
			}
			if c.excess < lastExcess-1e-9 {
				t.Fatalf("class %v has an excess of %g, a more urgent one %g", c.Urgency, c.excess, lastExcess)
			}
			x := newClaims(c, isShort(total))
			for _, claim := range []Claim{x.within, x.beyond} {
				if claim.HeldBack < 0 || claim.HeldBack > excessHeldBack || claim.TimeWeight < minTimeWeight || claim.TimeWeight > 1 {
					t.Fatalf("class %v: %+v", c.Urgency, claim)
				}
			}
			if x.within.From < last-1e-9 || x.within.To < x.within.From || x.within.To > 1+1e-9 {
				t.Fatalf("class %v resumes from %g to %g, the one before until %g", c.Urgency, x.within.From, x.within.To, last)
			}
			last, lastExcess = x.within.To, c.excess
		}
		if isShort(total) && len(classes) > 1 && shared > room*1.000001 {
			t.Fatalf("shares add up to %g, room is %g", shared, room)
		}
	})
}

// Guards against a burst that becomes the usual demand of its account while it lasts, and against an
// idle account that saves up a larger share.
func TestUsual(t *testing.T) {
	is := is.New(t)
	account := func(h surveyor.AccountHash, offered, admitted surveyor.TokensPerSecond) surveyor.Account {
		return surveyor.Account{Hash: h, Rates: surveyor.Rates{Offered: offered, Admitted: admitted}}
	}
	quiet := []surveyor.Account{account(1, 100, 100), account(2, 100, 100)}
	burst := []surveyor.Account{account(1, 600, 100), account(2, 100, 100)}
	u := learntFrom(quiet)
	for i := range 100 {
		u = u.Learn(burst, true, epoch.Add(time.Minute+time.Duration(i)*time.Second))
	}
	shares := DivideByAccount(burst, u, true)
	is.Equal(shares[0].Share, 100.0)
	is.Equal(shares[1].Share, 100.0)
	is.Equal(DivideByAccount(burst, Usual{}, true)[0].Excess, 0.0) // divided before demand was observed
	is.Equal(DivideByAccount(burst, u, false)[0].Excess, 0.0)      // divided although all fit
	for i := range 600 {
		u = u.Learn([]surveyor.Account{account(2, 100, 100)}, false, epoch.Add(3*time.Minute+time.Duration(i)*time.Second))
	}
	is.True(u.rates[1] < 1)
}

// Guards against daemons that go on to decide apart from each other after a split of the fleet has
// ended: with the same reports all have the same plan.
func TestConverge(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	f.isolated = 3
	f.replay(classes(1, 1, 4), 2*time.Second, 3*time.Second)
	f.isolated = 0
	now := epoch.Add(5 * time.Second)
	f.exchange(now)
	want := f.daemons[0].prioritizer.current(service, now).classes.claims
	for _, d := range f.daemons[1:] {
		got := d.prioritizer.current(service, now.Add(planInterval)).classes.claims
		for u := range want {
			is.True(math.Abs(got[u].within.TimeWeight-want[u].within.TimeWeight) < 0.01)
			is.True(math.Abs(got[u].share.excess-want[u].share.excess) < 0.05)
		}
	}
}

// BenchmarkClaim measures a decision with the reports of 300 hosts and 400 accounts, and with a new
// plan for each.
func BenchmarkClaim(b *testing.B) {
	s := surveyor.New()
	demands := make([]surveyor.Demand, 100)
	for h := range demands {
		var d surveyor.Demand
		d.Service = service
		for c := range 3 {
			d.Classes = append(d.Classes, class(routing.Priority(c), 1000, 900))
		}
		for a := range 24 {
			d.Accounts = append(d.Accounts, surveyor.Account{Hash: surveyor.HashAccount(unit.AccountID(fmt.Sprint((h*24 + a) % 400))), Rates: surveyor.Rates{Offered: 100, Admitted: 90}})
		}
		demands[h] = d
		s.SetPeerDemand(unit.HostID(fmt.Sprint(h)), demands[h:h+1], epoch)
	}
	p := New(s)
	r := surveyor.Request{Service: service, Urgency: urgency(1), Account: "7", Tokens: 900}
	b.Run("plan in use", func(b *testing.B) {
		for b.Loop() {
			p.Claim(r, 0.5, epoch)
		}
	})
	// A daemon with ten requests a second makes a plan by class for each of them, and one by account
	// for every tenth.
	b.Run("ten a second", func(b *testing.B) {
		now := epoch
		for n := 0; b.Loop(); n++ {
			now = now.Add(planInterval)
			if n%(len(demands)/10) == 0 {
				b.StopTimer()
				for h := range demands {
					s.SetPeerDemand(unit.HostID(fmt.Sprint(h)), demands[h:h+1], now)
				}
				b.StartTimer()
			}
			p.Claim(r, 0.5, now)
		}
	})
}
