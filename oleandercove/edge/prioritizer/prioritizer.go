// Package prioritizer decides how a request stands against the others of its service: how much room
// it leaves to others, how much its time counts, and when it resumes after the loss of an engine.
//
// The decisions are pure functions of the demand for a service. A Prioritizer makes them for a
// service at most every planInterval, so that a request costs a look-up.
//
// By class, which is the requests of one urgency:
//
//   - The time of a request counts less, the more of the demand is more urgent. So the fast engines
//     are for urgent requests first; the others take them while there is room.
//   - While all requests fit, a request leaves a small part of each engine to more urgent ones, in
//     proportion to their part of the demand. Where they don't come, nothing is left to them.
//   - While not all fit, what is admitted is divided among the classes, the most urgent first, with
//     a least share for each. Requests beyond the share of their class take only room that is left
//     over, most of them only at engines that are half empty.
//   - Streams of a lost engine resume in the order of their classes.
//
// By client account, while not all fit:
//
//   - The room is divided by max-min fair shares, weighted by what each account usually offers. The
//     requests beyond the share of their account take only room that is left over.
//
// Load patterns: a less urgent class sends several times as much as usual; an account sends six
// times as much as usual; engines are lost under both.
//
// Where all requests have one urgency, and accounts are within their shares, every request has the
// claim Full.
//
// Usage:
//
//	p := prioritizer.New(survey)
//	claim := p.Claim(request, rand.Float64(), now)
package prioritizer

import (
	"sync"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/surveyor"
)

const (
	// planInterval is how long a plan by class is used, accountInterval one by account, which
	// takes more time to make. The demand that they rely on is some beacons old in any case.
	planInterval    = 100 * time.Millisecond
	accountInterval = time.Second
)

// Rule is the rule that decided the claim of a request.
type Rule string

const (
	// NoRule means that the request competes with all others alike.
	NoRule Rule = "None"
	// ClassRule means that the request leaves room to more urgent ones.
	ClassRule Rule = "Class"
	// ClassShareRule means that it is beyond the share of its class.
	ClassShareRule Rule = "ClassShare"
	// AccountRule means that it is beyond the share of its account.
	AccountRule Rule = "AccountShare"
)

// Claim is how a request stands against others.
type Claim struct {
	// HeldBack is the share of an engine's memory and slots that the request leaves to others.
	HeldBack float64
	// TimeWeight is the weight of the request's time against the room that it takes, up to 1.
	TimeWeight float64
	// From and To are the place of the request's class among all requests, the most urgent
	// first, as shares of the demand.
	From, To float64
	Rule     Rule
	// Age is the age of the plan that decided.
	Age time.Duration
}

// Full is the claim of a request that competes with all others alike.
var Full = Claim{TimeWeight: 1, To: 1, Rule: NoRule}

// Place returns the place of a request within its class, for a random number in [0, 1).
func (c Claim) Place(random float64) float64 { return c.From + random*(c.To-c.From) }

// plan is what follows from the demand for a service.
type plan struct {
	classes  *classPlan
	accounts *accountPlan
	usual    Usual
}

// claim returns the claim of a request. The chance is a random number in [0, 1) that decides
// whether the request counts as beyond a share.
func (p plan) claim(r surveyor.Request, chance float64, now time.Time) Claim {
	c := Full
	if of, ok := p.classes.claims[r.Urgency]; ok {
		c = of.pick(chance)
	}
	if r.Account != "" {
		if heldBack := p.accounts.heldBack(surveyor.HashAccount(r.Account), chance); heldBack > c.HeldBack {
			c.HeldBack, c.Rule = heldBack, AccountRule
		}
	}
	c.Age = now.Sub(p.classes.madeAt)
	return c
}

// Prioritizer makes plans. It is safe for concurrent use. A nil Prioritizer gives each request the
// claim Full.
type Prioritizer struct {
	survey *surveyor.Surveyor
	mu     sync.Mutex
	plans  map[routing.ServiceName]plan
}

// New returns a Prioritizer without plans.
func New(s *surveyor.Surveyor) *Prioritizer {
	return &Prioritizer{survey: s, plans: map[routing.ServiceName]plan{}}
}

// Claim returns the claim of a request, for a random number in [0, 1).
func (p *Prioritizer) Claim(r surveyor.Request, chance float64, now time.Time) Claim {
	if p == nil {
		return Full
	}
	return p.current(r.Service, now).claim(r, chance, now)
}

// current returns the plan of a service, of which it makes the parts that are too old.
func (p *Prioritizer) current(s routing.ServiceName, now time.Time) plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.plans[s]
	if x.classes == nil || now.Sub(x.classes.madeAt) >= planInterval {
		x.classes = newClassPlan(p.survey.Classes(s, now), now)
	}
	if x.accounts == nil || now.Sub(x.accounts.madeAt) >= accountInterval {
		accounts := p.survey.Accounts(s, now)
		x.usual = x.usual.Learn(accounts, x.classes.short, now)
		x.accounts = newAccountPlan(accounts, x.usual, x.classes.short, now)
	}
	p.plans[s] = x
	return x
}

// State is what an operator sees of a service: the demand of its classes, and the shares of its
// accounts.
type State struct {
	Service routing.ServiceName
	// Short is set while the room is divided.
	Short    bool
	Classes  []ClassState
	Accounts []AccountShare
	// Age is the age of the plan, in nanoseconds.
	Age time.Duration
}

// ClassState is the demand of a class in tokens a second, and the claim of a request within its
// share.
type ClassState struct {
	Urgency           routing.Urgency
	Offered, Admitted float64
	// Excess is the part of the class's requests beyond its share, from 0 to 1.
	Excess     float64
	HeldBack   float64
	TimeWeight float64
	Rule       Rule
}

// States returns the state of all services with requests, here or at other daemons.
func (p *Prioritizer) States(now time.Time) []State {
	services := p.survey.Services()
	out := make([]State, 0, len(services))
	for _, s := range services {
		x := p.current(s, now)
		state := State{Service: s, Short: x.classes.short, Accounts: x.accounts.shares, Age: now.Sub(x.classes.madeAt)}
		for _, c := range x.classes.classes {
			of := x.classes.claims[c.Urgency]
			state.Classes = append(state.Classes, ClassState{
				Urgency: c.Urgency, Offered: float64(c.Offered), Admitted: float64(c.Admitted), Excess: of.share.excess,
				HeldBack: of.within.HeldBack, TimeWeight: of.within.TimeWeight, Rule: of.within.Rule,
			})
		}
		out = append(out, state)
	}
	return out
}
