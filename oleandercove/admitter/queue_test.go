package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

func waiting(account string, p engine.Priority, deadline int) *ticket {
	return &ticket{
		account: unit.AccountID(account), class: classOf(p), cost: 10,
		deadline: time.Unix(int64(deadline), 0), ready: make(chan error, 1),
	}
}

// Guards against requests that are admitted in the wrong order, which happens when class,
// account usage or deadline is ignored.
func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name    string
		tickets []*ticket
		want    string
	}{
		{"a lower class is granted first", []*ticket{waiting("a", engine.PriorityLow, 1), waiting("b", engine.PriorityHigh, 9)}, "ba"},
		{"an account with many requests starves another account", []*ticket{
			waiting("f", 0, 1), waiting("f", 0, 2), waiting("f", 0, 3), waiting("f", 0, 4), waiting("a", 0, 9), waiting("a", 0, 9),
		}, "fafaff"},
		{"a later deadline within an account is granted first", []*ticket{waiting("a", 0, 9), waiting("a", 0, 3)}, "aa"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q, got := newQueue(), ""
			for _, w := range test.tickets {
				is.Equal(q.push(w), nil)
			}
			var last *ticket
			for w := q.pop(); w != nil; w = q.pop() {
				got += string(w.account)
				if last != nil && last.account == w.account {
					is.True(!w.deadline.Before(last.deadline))
				}
				last = w
			}
			is.Equal(got, test.want)
		})
	}
}

// Guards against an account losing its priority over one that used more, which
// happens when usage is counted across classes.
func TestUseOfAnotherClassDoesNotCount(t *testing.T) {
	is := is.New(t)
	q, got := newQueue(), map[string]int{}
	for range 300 {
		q.push(waiting("top", engine.PriorityHigh, 1))
		for len(q.waiting) < 9 {
			q.push(waiting("flood", 0, 1))
		}
		if got["quiet"] < 40 && q.countWaiting("quiet") == 0 {
			q.push(waiting("quiet", 0, 1))
		}
		got[string(q.pop().account)]++
	}
	is.True(got["quiet"] >= 25 && got["flood"] <= got["quiet"]+15)
}

// Guards against starvation of a class, which happens when it gets no grants
// while higher classes keep the queue busy.
func TestEachClassGetsItsShare(t *testing.T) {
	is := is.New(t)
	q, got := newQueue(), [classes]int{}
	for _, p := range []engine.Priority{engine.PriorityLow, engine.PriorityNormal, engine.PriorityHigh} {
		q.push(waiting("a", p, 1))
	}
	for range 1000 {
		next := q.pop()
		got[next.class]++
		q.push(next)
	}
	is.True(got[0] >= 95 && got[0] <= 105)
	is.True(got[1] >= 190 && got[1] <= 210)
	is.True(got[2] >= 680)
}

// Guards against a flood of a low class keeping others out of the queue, which
// happens when a full queue rejects the newest request.
func TestFullQueueShedsTheLowestClassOfTheFlood(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.push(waiting("quiet", engine.PriorityLow, 99))
	for i := range maxWaiting - 1 {
		is.Equal(q.push(waiting("flood", engine.PriorityLow, i)), nil)
	}
	evicted := q.push(waiting("a", engine.PriorityHigh, 1))
	is.Equal(string(evicted.account), "flood")
	is.Equal(evicted.deadline, time.Unix(maxWaiting-2, 0))
	is.Equal(len(q.waiting), maxWaiting)
	newest := waiting("flood", engine.PriorityLow, 9999)
	is.Equal(q.push(newest), newest)
}
