package limiter_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/divider"
	"oleandercove.example/oleandercove/limiter"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/spreader"
)

const (
	daemons = 4
	// seconds is the simulated time of a run.
	seconds = 20
)

// coordinator divides limits for the daemons of one test; unreachable daemons get
// no reply.
type coordinator struct {
	timer       timer.Service
	limit       limiter.Amounts
	ledgers     [3]*divider.Ledger
	unreachable map[unit.HostID]bool
}

type exchange struct {
	*coordinator
	host unit.HostID
}

func (x exchange) FleetSize() int { return daemons }

func (x exchange) Slices(_ context.Context, demands []limiter.Demand) []limiter.Slice {
	if x.unreachable[x.host] {
		return nil
	}
	var out []limiter.Slice
	for _, d := range demands {
		s := limiter.Slice{Key: d.Key}
		for i := range d.Wanted {
			if math.IsInf(x.limit[i], 1) {
				s.Granted[i] = x.limit[i]
				continue
			}
			s.Granted[i] = x.ledgers[i].Grant(x.timer.Now(), x.limit[i], divider.Demand{Host: x.host, Wanted: d.Wanted[i]})
		}
		out = append(out, s)
	}
	return out
}

type fleet struct {
	timer       *timer.Manual
	coordinator *coordinator
	limiters    []*limiter.Limiter
	account     *catalogue.Entry
	model       *catalogue.Entry
}

func newFleet(limits catalogue.Limits) *fleet {
	t := timer.NewManual(time.Unix(1_000_000, 0))
	f := &fleet{
		timer:   t,
		account: &catalogue.Entry{Kind: catalogue.KindAccount, Name: "depot-7", Limits: limits, Account: &catalogue.Account{}, Version: 1},
		model:   &catalogue.Entry{Kind: catalogue.KindModel, Name: "draft", Model: &catalogue.Model{}, Version: 1},
	}
	f.coordinator = &coordinator{timer: t, limit: limiter.Limit(f.account), unreachable: map[unit.HostID]bool{}}
	for i := range f.coordinator.ledgers {
		f.coordinator.ledgers[i] = divider.NewLedger()
	}
	c := spreader.New(spreader.Options{})
	c.Merge([]*catalogue.Entry{f.account, f.model})
	for i := range daemons {
		x := exchange{coordinator: f.coordinator, host: unit.HostID(fmt.Sprintf("entry-%d", i))}
		f.limiters = append(f.limiters, limiter.New(limiter.Options{Catalogue: c, Exchange: x, Timer: t}))
	}
	return f
}

// send passes one request that generates the given number of tokens through a
// daemon.
func (f *fleet) send(daemon, tokens int) error {
	r := &request.Request{
		ID: "r", Account: "depot-7", Entry: f.model, Kind: catalogue.KindModel,
		Completion: &request.Completion{Emit: func(string) error { return nil }},
	}
	return f.limiters[daemon].Handle(context.Background(), r, func(_ context.Context, r *request.Request) error {
		for range tokens {
			_ = r.Completion.Emit("t")
		}
		return nil
	})
}

// sendNested runs n requests concurrently on a daemon, each inside the previous
// one.
func (f *fleet) sendNested(daemon, n int) error {
	r := &request.Request{ID: "r", Account: "depot-7", Entry: f.model, Kind: catalogue.KindModel}
	return f.limiters[daemon].Handle(context.Background(), r, func(context.Context, *request.Request) error {
		if n == 1 {
			return nil
		}
		return f.sendNested(daemon, n-1)
	})
}

// run sends requests to each daemon at a rate per second and returns the number
// that each daemon admitted.
func (f *fleet) run(rates [daemons]int, tokens int) (admitted [daemons]int) {
	for step := range seconds * 100 {
		f.timer.Advance(10 * time.Millisecond)
		if step%int(limiter.RenewInterval/(10*time.Millisecond)) == 0 {
			for _, l := range f.limiters {
				l.Renew(context.Background())
			}
		}
		for d, rate := range rates {
			for range (step+1)*rate/100 - step*rate/100 {
				if f.send(d, tokens) == nil {
					admitted[d]++
				}
			}
		}
	}
	return admitted
}

// Guards against a fleet that admits more or much less than a limit, which happens when
// slices don't follow the demand of the daemons.
func TestFleetLimit(t *testing.T) {
	tests := []struct {
		name        string
		limits      catalogue.Limits
		rates       [daemons]int
		tokens      int
		unreachable []unit.HostID
		atLeast     int
		atMost      int
	}{
		{"each daemon admits the whole limit", catalogue.Limits{RequestsPerSecond: 100}, [daemons]int{100, 100, 100, 100}, 0, nil, 1800, 2200},
		{"a daemon with all the traffic gets a fourth of the limit", catalogue.Limits{RequestsPerSecond: 100}, [daemons]int{200, 0, 0, 0}, 0, nil, 1750, 2200},
		{"traffic below the limit is rejected", catalogue.Limits{RequestsPerSecond: 100}, [daemons]int{40, 20, 10, 10}, 0, nil, 1560, 1600},
		{"tokens are not counted", catalogue.Limits{TokensPerSecond: 1000}, [daemons]int{50, 50, 50, 50}, 20, nil, 850, 1150},
		{"daemons without a coordinator admit more than their share", catalogue.Limits{RequestsPerSecond: 100}, [daemons]int{100, 100, 100, 100}, 0, []unit.HostID{"entry-0", "entry-1", "entry-2", "entry-3"}, 1800, 2200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(test.limits)
			for _, h := range test.unreachable {
				f.coordinator.unreachable[h] = true
			}
			sum := 0
			for _, n := range f.run(test.rates, test.tokens) {
				sum += n
			}
			t.Logf("admitted %d", sum)
			is.True(sum >= test.atLeast)
			is.True(sum <= test.atMost)
		})
	}
}

// Guards against more concurrent requests than the limit, and against a count
// that isn't reduced when a request finishes.
func TestConcurrentRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(catalogue.Limits{ConcurrentStreams: 8})
	is.NoErr(f.sendNested(0, 2)) // 8 streams over 4 daemons
	v, ok := verdict.FromError(f.sendNested(0, 3))
	is.True(ok)
	is.Equal(v.Verdict, verdict.NotRun)
	is.Equal(v.Reason, verdict.AccountLimit)
	is.True(v.RetryAfter > 0)
	is.NoErr(f.sendNested(0, 2))
}

// Guards against rejecting a burst within the limit, which happens when the slice
// follows the demand before the burst.
func TestBurstBelowLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(catalogue.Limits{ConcurrentStreams: 20})
	for range 10 {
		is.NoErr(f.sendNested(0, 1))
		f.timer.Advance(limiter.RenewInterval)
		f.limiters[0].Renew(context.Background())
	}
	is.NoErr(f.sendNested(0, 10))
}
