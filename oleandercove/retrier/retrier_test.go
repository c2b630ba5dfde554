package retrier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
)

// Guards against a booking that runs twice, and against a safe retry that is omitted, which
// happen when the verdict, the claim or the deadline of an attempt is ignored.
func TestDecide(t *testing.T) {
	rows := []struct {
		name    string
		attempt Attempt
		retry   bool
	}{
		{"a failed read is lost", Attempt{Verdict: verdict.MayHaveRun, Idempotent: true, Number: 1, Remaining: time.Second}, true},
		{"a booking runs twice", Attempt{Verdict: verdict.MayHaveRun, Number: 1, Remaining: time.Second}, false},
		{"a claimed booking runs twice", Attempt{Verdict: verdict.MayHaveRun, Claimed: true, Number: 1, Remaining: time.Second}, false},
		{"a booking that ran is repeated", Attempt{Verdict: verdict.Ran, Claimed: true, Number: 1, Remaining: time.Second}, false},
		{"a claimed booking that did not run is lost", Attempt{Verdict: verdict.NotRun, Claimed: true, Number: 1, Remaining: time.Second}, true},
		{"a booking without a claim is repeated after its first byte", Attempt{Verdict: verdict.NotRun, Number: 1, Remaining: time.Second}, false},
		{"a booking that was never sent is lost", Attempt{Verdict: verdict.NotRun, Unsent: true, Number: 1, Remaining: time.Second}, true},
		{"a retry starts after the deadline", Attempt{Verdict: verdict.NotRun, Idempotent: true, Number: 1, Remaining: time.Millisecond}, false},
		{"attempts are unlimited", Attempt{Verdict: verdict.NotRun, Idempotent: true, Number: maxAttempts, Remaining: time.Second}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(Decide(row.attempt, 0.5).Retry, row.retry)
		})
	}
}

// Guards against retries multiplying the load, which happens when all backend
// servers are overloaded or one of them fails.
func TestBudget(t *testing.T) {
	rows := []struct {
		name  string
		fails func(id unit.BackendID) bool
	}{
		{"retries amplify an overload of all backend servers", func(unit.BackendID) bool { return true }},
		{"retries of a failing backend server overload the others", func(id unit.BackendID) bool { return id == "a" }},
	}
	const requests = 10000
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(Options{})
			ids := []unit.BackendID{"a", "b", "c"}
			attempts, each := 0, map[unit.BackendID]int{}
			for i := range requests {
				id := ids[i%len(ids)]
				b.Deposit(id)
				attempts++
				for n := 1; row.fails(id); n++ {
					next := ids[(i+n)%len(ids)]
					d := Decide(Attempt{Verdict: verdict.NotRun, Idempotent: true, Number: n, Remaining: time.Second}, 0)
					if !d.Retry || !b.Withdraw(next) {
						break
					}
					id = next
					attempts++
					each[next]++
				}
			}
			t.Logf("%.4f attempts per request", float64(attempts)/requests)
			is.True(float64(attempts) <= requests*(1+DefaultShare)+DefaultReserve)
			for _, n := range each {
				is.True(float64(n) <= (requests/3+1)*DefaultShare+DefaultReserve)
			}
		})
	}
}
