package admitter

import (
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

const (
	// classes is the number of priorities.
	classes = 3
	// maxWaiting bounds the queue of a model. At a few hundred grants a second
	// it holds about as much as can be granted within the longest wait.
	maxWaiting = 512
	// maxAccounts bounds the remembered use of accounts.
	maxAccounts = 4096
)

// minShare is the share of the grants that a class gets at least while it
// waits, by class from the lowest to the highest.
var minShare = [classes]float64{0.1, 0.2, 0.3}

// ticket is a request that waits.
type ticket struct {
	account  unit.AccountID
	class    int
	deadline time.Time
	// cost is the expected number of tokens.
	cost float64
	// ready receives nil when the request may run, or its refusal.
	ready chan error
}

func classOf(p engine.Priority) int {
	return min(max(int(p)-int(engine.PriorityLow), 0), classes-1)
}

// queue orders waiting requests: the highest class first, but each class with
// its least share; within a class the account that used least; within an
// account the earliest deadline.
type queue struct {
	waiting []*ticket
	credit  [classes]float64
	turns   [classes]turns
}

// turns holds the use of the accounts of one class. Classes have different
// shares, so the use in one says nothing about another.
type turns struct {
	used map[unit.AccountID]float64
	// floor is the use of the account that was served last; an account that
	// was idle starts there and can't save up.
	floor float64
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.turns {
		q.turns[i].used = map[unit.AccountID]float64{}
	}
	return q
}

// push adds a ticket. If the queue is full it returns the one to refuse: of
// the lowest class, of the account with most waiting, the latest deadline.
func (q *queue) push(t *ticket) (evicted *ticket) {
	q.waiting = append(q.waiting, t)
	u := &q.turns[t.class]
	u.used[t.account] = max(u.used[t.account], u.floor)
	if len(q.waiting) <= maxWaiting {
		return nil
	}
	worst := t
	for _, w := range q.waiting {
		if q.shedBefore(w, worst) {
			worst = w
		}
	}
	q.remove(worst)
	return worst
}

func (q *queue) shedBefore(a, b *ticket) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if a.account != b.account {
		return q.count(a.account) > q.count(b.account)
	}
	return a.deadline.After(b.deadline)
}

func (q *queue) count(a unit.AccountID) int {
	n := 0
	for _, w := range q.waiting {
		if w.account == a {
			n++
		}
	}
	return n
}

// remove drops a ticket and tells whether it was waiting.
func (q *queue) remove(t *ticket) bool {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// pop removes and returns the next ticket, or nil.
func (q *queue) pop() *ticket {
	return q.take(q.nextClass())
}

// take removes and returns the next ticket of a class, or nil.
func (q *queue) take(class int) *ticket {
	var best *ticket
	for _, w := range q.waiting {
		if w.class == class && (best == nil || q.before(w, best)) {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	q.remove(best)
	q.turns[class].charge(best.account, best.cost)
	return best
}

// charge counts the use of a request that is granted.
func (u *turns) charge(a unit.AccountID, cost float64) {
	if len(u.used) > maxAccounts {
		clear(u.used)
	}
	use := max(u.used[a], u.floor)
	u.floor = use
	u.used[a] = use + cost
}

// settle corrects the charge of a ticket once its real use is known.
func (q *queue) settle(t *ticket, tokens int) {
	u := &q.turns[t.class]
	u.used[t.account] = max(0, u.used[t.account]+float64(tokens)-t.cost)
}

func (q *queue) before(a, b *ticket) bool {
	if a.account != b.account {
		u := &q.turns[a.class]
		return u.used[a.account] < u.used[b.account]
	}
	return a.deadline.Before(b.deadline)
}

// nextClass earns credit for each class that waits and takes the class whose
// credit is due, otherwise the highest one.
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

// ahead estimates how many tickets of the same class go before a new one.
func (q *queue) ahead(t *ticket) float64 {
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
	// Accounts take turns, so only so many tickets of others go first.
	return float64(min(same, (own+1)*len(accounts)-1))
}
