package routing

import (
	"cmp"
	"slices"
)

// maxRank bounds the numbers of ranks that backend servers and metrics distinguish.
const maxRank = 9

// Urgency orders the requests of a service: by the priority of the client account, or of the route
// if the account has none, and then by the priority of the route.
type Urgency struct {
	Priority, Route Priority
}

// NewUrgency returns the urgency of a request on a route for an account, which is nil for requests
// without a key.
func NewUrgency(r *Route, a *Account) Urgency {
	u := Urgency{Priority: r.Priority, Route: r.Priority}
	if a != nil && a.Priority != nil {
		u.Priority = *a.Priority
	}
	return u
}

// Compare returns a negative number if u is more urgent than o, and zero if they are equal.
func (u Urgency) Compare(o Urgency) int {
	return cmp.Or(cmp.Compare(u.Priority, o.Priority), cmp.Compare(u.Route, o.Route))
}

// Rank is how urgent a request is among those of its service.
type Rank struct {
	Urgency Urgency
	// Number is the number of urgencies of the service that come before.
	Number int
	// Distinct is set if the service has requests of several urgencies.
	Distinct bool
}

// Label returns the number of the rank, at most maxRank: from 0, the most urgent, to 9.
func (r Rank) Label() int { return min(r.Number, maxRank) }

// rankTable holds the urgencies that requests for each service may have, sorted.
type rankTable map[ServiceName][]Urgency

// newRankTable returns the urgencies of the routes to each service, for all accounts.
func newRankTable(c *Configuration) rankTable {
	t := rankTable{}
	add := func(r *Route, a *Account) {
		u := NewUrgency(r, a)
		for _, s := range r.Shares {
			if i, ok := slices.BinarySearchFunc(t[s.Service], u, Urgency.Compare); !ok {
				t[s.Service] = slices.Insert(t[s.Service], i, u)
			}
		}
	}
	own := ownPriorities(c.Accounts)
	for i := range c.Routes {
		r := &c.Routes[i]
		add(r, nil)
		if r.Anonymous {
			continue
		}
		for _, p := range own {
			add(r, &Account{Priority: &p})
		}
	}
	return t
}

// ownPriorities returns the priorities that accounts have of their own, each once.
func ownPriorities(accounts []Account) []Priority {
	var out []Priority
	for i := range accounts {
		if p := accounts[i].Priority; p != nil && !slices.Contains(out, *p) {
			out = append(out, *p)
		}
	}
	return out
}

// Rank returns the rank of a request for a service with the given urgency.
func (t *Table) Rank(s ServiceName, u Urgency) Rank {
	list := t.ranks[s]
	n, _ := slices.BinarySearchFunc(list, u, Urgency.Compare)
	return Rank{Urgency: u, Number: n, Distinct: len(list) > 1}
}

// Ranks returns the number of urgencies that requests for a service may have.
func (t *Table) Ranks(s ServiceName) int { return len(t.ranks[s]) }
