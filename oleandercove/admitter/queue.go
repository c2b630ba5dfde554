package admitter

import (
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

const (
	// classes is the number of priority classes.
	classes = 3
	// maxWaiting bounds the queue of a model. At a few hundred grants per second
	// it holds about as many requests as can be granted within the maximum wait.
	maxWaiting = 512
	// maxAccounts bounds the number of accounts whose usage is remembered.
	maxAccounts = 4096
)

// minShare is the minimum share of the grants that a class gets while it has
// waiting requests, by class from the lowest to the highest.
var minShare = [classes]float64{0.1, 0.2, 0.3}

// ticket is a request that waits in the queue or was granted.
type ticket struct {
	account  unit.AccountID
	class    int
	deadline time.Time
	// cost is the expected number of tokens.
	cost float64
	// ready receives nil when the request may run, or the error that rejects it.
	ready chan error
}

func classOf(p engine.Priority) int {
	return min(max(int(p)-int(engine.PriorityLow), 0), classes-1)
}

// queue orders waiting requests:
//
//   - between classes: the highest first, but each class with its minimum share;
//   - within a class: the account with the least usage first;
//   - within an account: the earliest deadline first.
type queue struct {
	waiting []*ticket
	// credit is the accumulated minimum share of each class; see nextClass.
	credit [classes]float64
	usage  [classes]accountUsage
}

// accountUsage holds the usage of the accounts of one class in tokens. Classes
// have different shares, so usage in one class doesn't count in another.
type accountUsage struct {
	byAccount map[unit.AccountID]float64
	// floor is the usage of the account that was served last. An idle account
	// restarts there, so that it can't save up credit.
	floor float64
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.usage {
		q.usage[i].byAccount = map[unit.AccountID]float64{}
	}
	return q
}

// push adds a ticket. If the queue is full it removes and returns the ticket to
// reject: of the lowest class, of the account with the most waiting requests, the
// one with the latest deadline.
func (q *queue) push(t *ticket) (evicted *ticket) {
	q.waiting = append(q.waiting, t)
	u := &q.usage[t.class]
	u.byAccount[t.account] = max(u.byAccount[t.account], u.floor)
	if len(q.waiting) <= maxWaiting {
		return nil
	}
	worst := t
	for _, w := range q.waiting {
		if q.evictBefore(w, worst) {
			worst = w
		}
	}
	q.remove(worst)
	return worst
}

func (q *queue) evictBefore(a, b *ticket) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if a.account != b.account {
		return q.countWaiting(a.account) > q.countWaiting(b.account)
	}
	return a.deadline.After(b.deadline)
}

func (q *queue) countWaiting(a unit.AccountID) int {
	n := 0
	for _, w := range q.waiting {
		if w.account == a {
			n++
		}
	}
	return n
}

// remove drops a ticket and reports whether it was waiting.
func (q *queue) remove(t *ticket) bool {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// pop removes and returns the next ticket, or nil if the queue is empty.
func (q *queue) pop() *ticket {
	return q.popClass(q.nextClass())
}

// popClass removes and returns the next ticket of a class, or nil if none waits.
func (q *queue) popClass(class int) *ticket {
	var best *ticket
	for _, w := range q.waiting {
		if w.class == class && (best == nil || q.grantBefore(w, best)) {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	q.remove(best)
	q.usage[class].charge(best.account, best.cost)
	return best
}

// charge adds the expected cost of a granted request to the usage of its account.
func (u *accountUsage) charge(a unit.AccountID, cost float64) {
	if len(u.byAccount) > maxAccounts {
		clear(u.byAccount)
	}
	use := max(u.byAccount[a], u.floor)
	u.floor = use
	u.byAccount[a] = use + cost
}

// correctCharge replaces the expected cost of a ticket by its real number of
// tokens.
func (q *queue) correctCharge(t *ticket, tokens int) {
	u := &q.usage[t.class]
	u.byAccount[t.account] = max(0, u.byAccount[t.account]+float64(tokens)-t.cost)
}

func (q *queue) grantBefore(a, b *ticket) bool {
	if a.account != b.account {
		u := &q.usage[a.class]
		return u.byAccount[a.account] < u.byAccount[b.account]
	}
	return a.deadline.Before(b.deadline)
}

// nextClass returns the class to serve next, or -1 if the queue is empty: a class
// whose accumulated credit is due, otherwise the highest waiting class. Each
// waiting class earns its minimum share as credit.
func (q *queue) nextClass() int {
	var waits [classes]bool
	top := -1
	for _, w := range q.waiting {
		waits[w.class] = true
		top = max(top, w.class)
	}
	if top < 0 {
		return -1
	}
	choice := top
	for c := range classes {
		if !waits[c] {
			q.credit[c] = 0
			continue
		}
		q.credit[c] = min(q.credit[c]+minShare[c], 2)
		if c != top && q.credit[c] >= 1 {
			choice = c
		}
	}
	q.credit[choice] = max(0, q.credit[choice]-1)
	return choice
}

// ticketsAhead estimates how many tickets of the same class are granted before a
// new one.
func (q *queue) ticketsAhead(t *ticket) float64 {
	same, own := 0, 0
	accounts := map[unit.AccountID]bool{t.account: true}
	for _, w := range q.waiting {
		if w.class != t.class {
			continue
		}
		same++
		accounts[w.account] = true
		if w.account == t.account {
			own++
		}
	}
	// Accounts take turns, so at most this many tickets of all accounts are granted
	// first.
	return float64(min(same, (own+1)*len(accounts)-1))
}
