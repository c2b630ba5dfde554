// Package surveyor keeps what the callers of the whole fleet offer to each service, and how much of
// it is admitted: by urgency, and by client account.
//
// Each daemon counts the tokens of its own requests in decaying sums. Daemons exchange the sums
// as they exchange load: each within its data centre, and the aggregators those of a whole data
// centre with the others. The sums of a peer count for at most peerExpiry. A daemon that was just
// started or is cut off has its own sums only.
//
// Priorities are exchanged as the configuration states them. Daemons that have different versions
// of the configuration for a moment each rank the same priorities by their own version.
//
// Usage:
//
//	s := surveyor.New()
//	s.Record(surveyor.Request{Service: "assistant", Urgency: u, Account: "depot-7", Tokens: 900}, true, now)
//	classes := s.Classes("assistant", now)
package surveyor

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

const (
	// averagingTime is the time constant of the decaying sums.
	averagingTime = 2 * time.Second
	// peerExpiry is how long the sums of a peer count. It spans a few beacons.
	peerExpiry = 1500 * time.Millisecond
	// maxHostAccounts and maxCentreAccounts bound the accounts that a daemon and an aggregator
	// send, those that offer the most. They bound the size of beacons, not what is kept.
	maxHostAccounts   = 24
	maxCentreAccounts = 64
	// negligible is the rate, in tokens a second, below which a sum is dropped.
	negligible = 1
)

// TokensPerSecond is a rate of prompt and output tokens together.
type TokensPerSecond float64

// AccountHash names a client account in messages between daemons.
type AccountHash uint32

// HashAccount returns the hash of an account.
func HashAccount(id unit.AccountID) AccountHash { return AccountHash(xxhash.Sum64String(string(id))) }

// Rates is what callers offer, and what is admitted of it.
type Rates struct {
	Offered, Admitted TokensPerSecond
}

// AdmittedShare returns the share of what is offered that is admitted; 1 if nothing is offered.
func (r Rates) AdmittedShare() float64 {
	if r.Offered <= 0 {
		return 1
	}
	return min(1, float64(r.Admitted/r.Offered))
}

func (r *Rates) add(o Rates, sign TokensPerSecond) {
	r.Offered += sign * o.Offered
	r.Admitted += sign * o.Admitted
}

// Class is the demand of the requests of one urgency.
type Class struct {
	Urgency routing.Urgency
	Rates
}

// Account is the demand of one client account.
type Account struct {
	Hash AccountHash
	Rates
}

// Demand is the demand for one service, as daemons exchange it. Classes are sorted, the most urgent first, and
// accounts by what they offer, the largest first.
type Demand struct {
	Service  routing.ServiceName
	Classes  []Class
	Accounts []Account
}

// Total returns the rates of all classes together.
func Total(classes []Class) Rates {
	var sum Rates
	for _, c := range classes {
		sum.add(c.Rates, 1)
	}
	return sum
}

// Request is a request as it is counted.
type Request struct {
	Service routing.ServiceName
	Urgency routing.Urgency
	// Account is empty for requests without a key.
	Account unit.AccountID
	Tokens  int
}

// rateTable holds rates by urgency and by account.
type rateTable struct {
	classes  map[routing.Urgency]*Rates
	accounts map[AccountHash]*Rates
}

func newRateTable() *rateTable {
	return &rateTable{classes: map[routing.Urgency]*Rates{}, accounts: map[AccountHash]*Rates{}}
}

// addRates adds sign times r to the entry of a key, and deletes the entry if nothing is left.
func addRates[K comparable](m map[K]*Rates, key K, r Rates, sign TokensPerSecond) {
	sum := m[key]
	if sum == nil {
		sum = &Rates{}
		m[key] = sum
	}
	sum.add(r, sign)
	if sum.Offered < negligible && sign < 0 {
		delete(m, key)
	}
}

// decayRates multiplies the entries by a factor, and deletes those that are negligible then.
func decayRates[K comparable](m map[K]*Rates, factor TokensPerSecond) {
	for key, r := range m {
		r.Offered *= factor
		r.Admitted *= factor
		if r.Offered < negligible {
			delete(m, key)
		}
	}
}

func (t *rateTable) add(d Demand, sign TokensPerSecond) {
	for _, c := range d.Classes {
		addRates(t.classes, c.Urgency, c.Rates, sign)
	}
	for _, a := range d.Accounts {
		addRates(t.accounts, a.Hash, a.Rates, sign)
	}
}

// demand returns the entries, with at most a number of accounts.
func (t *rateTable) demand(s routing.ServiceName, maxAccounts int) Demand {
	return Demand{Service: s, Classes: sortClasses(t.classes), Accounts: sortAccounts(t.accounts, maxAccounts)}
}

// sortClasses returns the entries in the order of their urgency.
func sortClasses(m map[routing.Urgency]*Rates) []Class {
	out := make([]Class, 0, len(m))
	for u, r := range m {
		out = append(out, Class{u, *r})
	}
	slices.SortFunc(out, func(a, b Class) int { return a.Urgency.Compare(b.Urgency) })
	return out
}

// sortAccounts returns the entries that offer the most, at most a number of them.
func sortAccounts(m map[AccountHash]*Rates, most int) []Account {
	out := make([]Account, 0, len(m))
	for h, r := range m {
		out = append(out, Account{h, *r})
	}
	slices.SortFunc(out, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Hash, b.Hash))
	})
	return out[:min(len(out), most)]
}

// ownTable is the table of this daemon, which decays with time.
type ownTable struct {
	*rateTable
	at time.Time
}

// advance decays the table up to now.
func (t *ownTable) advance(now time.Time) {
	elapsed := now.Sub(t.at)
	if elapsed <= 0 {
		return
	}
	factor := TokensPerSecond(math.Exp(-float64(elapsed) / float64(averagingTime)))
	decayRates(t.classes, factor)
	decayRates(t.accounts, factor)
	t.at = now
}

// peerDemand is what a peer sent last: its own demand, or that of a data centre.
type peerDemand struct {
	at      time.Time
	demands []Demand
}

// Surveyor keeps the demand of the fleet. It is safe for concurrent use. A nil Surveyor records
// nothing.
type Surveyor struct {
	mu    sync.Mutex
	own   map[routing.ServiceName]*ownTable
	peers map[unit.HostID]peerDemand
	// others is the sum over all peers.
	others map[routing.ServiceName]*rateTable
}

// New returns a Surveyor that knows no demand.
func New() *Surveyor {
	return &Surveyor{own: map[routing.ServiceName]*ownTable{}, peers: map[unit.HostID]peerDemand{}, others: map[routing.ServiceName]*rateTable{}}
}

// Record counts a request that was admitted, or refused for lack of room.
func (s *Surveyor) Record(r Request, admitted bool, now time.Time) {
	if s == nil {
		return
	}
	rate := Rates{Offered: TokensPerSecond(float64(max(1, r.Tokens)) / averagingTime.Seconds())}
	if admitted {
		rate.Admitted = rate.Offered
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.own[r.Service]
	if t == nil {
		t = &ownTable{newRateTable(), now}
		s.own[r.Service] = t
	}
	t.advance(now)
	addRates(t.classes, r.Urgency, rate, 1)
	if r.Account != "" {
		addRates(t.accounts, HashAccount(r.Account), rate, 1)
	}
}

// Services returns the services for which any daemon has reported demand, sorted.
func (s *Surveyor) Services() []routing.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[routing.ServiceName]bool{}
	for name := range s.own {
		known[name] = true
	}
	for name := range s.others {
		known[name] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// Classes returns the demand of the fleet for a service by urgency, as far as this daemon knows.
func (s *Surveyor) Classes(service routing.ServiceName, now time.Time) []Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := map[routing.Urgency]*Rates{}
	for _, t := range s.tables(service, now) {
		for u, r := range t.classes {
			addRates(sum, u, *r, 1)
		}
	}
	return sortClasses(sum)
}

// Accounts does the same by client account, the largest first.
func (s *Surveyor) Accounts(service routing.ServiceName, now time.Time) []Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := map[AccountHash]*Rates{}
	for _, t := range s.tables(service, now) {
		for h, r := range t.accounts {
			addRates(sum, h, *r, 1)
		}
	}
	return sortAccounts(sum, math.MaxInt)
}

// tables returns the tables of this daemon and of all peers for a service. The caller holds the
// lock.
func (s *Surveyor) tables(service routing.ServiceName, now time.Time) []*rateTable {
	s.expire(now)
	var out []*rateTable
	if t := s.own[service]; t != nil {
		t.advance(now)
		out = append(out, t.rateTable)
	}
	if t := s.others[service]; t != nil {
		out = append(out, t)
	}
	return out
}

// OwnDemand returns the demand at this daemon for all services, for peers.
func (s *Surveyor) OwnDemand(now time.Time) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Demand, 0, len(s.own))
	for service, t := range s.own {
		t.advance(now)
		if len(t.classes) > 0 {
			out = append(out, t.demand(service, maxHostAccounts))
		}
	}
	return out
}

// SumDemand returns the demand at this daemon and at the peers for which match returns true, for
// other data centres.
func (s *Surveyor) SumDemand(match func(unit.HostID) bool, now time.Time) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	tables := map[routing.ServiceName]*rateTable{}
	add := func(d Demand) {
		if tables[d.Service] == nil {
			tables[d.Service] = newRateTable()
		}
		tables[d.Service].add(d, 1)
	}
	for service, t := range s.own {
		t.advance(now)
		add(t.demand(service, math.MaxInt))
	}
	for host, p := range s.peers {
		if !match(host) {
			continue
		}
		for _, d := range p.demands {
			add(d)
		}
	}
	out := make([]Demand, 0, len(tables))
	for service, t := range tables {
		out = append(out, t.demand(service, maxCentreAccounts))
	}
	return out
}

// SetPeerDemand replaces the demand of a peer, or of a data centre under a name that no host has.
func (s *Surveyor) SetPeerDemand(name unit.HostID, demands []Demand, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(name)
	if len(demands) == 0 {
		return
	}
	s.peers[name] = peerDemand{now, demands}
	for _, d := range demands {
		if s.others[d.Service] == nil {
			s.others[d.Service] = newRateTable()
		}
		s.others[d.Service].add(d, 1)
	}
}

// remove removes the demand of a peer. The caller holds the lock.
func (s *Surveyor) remove(name unit.HostID) {
	for _, d := range s.peers[name].demands {
		s.others[d.Service].add(d, -1)
	}
	delete(s.peers, name)
}

// expire removes the demand of peers from which none was received for peerExpiry. The caller holds
// the lock.
func (s *Surveyor) expire(now time.Time) {
	for name, p := range s.peers {
		if now.Sub(p.at) > peerExpiry {
			s.remove(name)
		}
	}
}
