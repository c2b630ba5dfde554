package drainer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"oleandercove.example/core/logger"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// Guards against a request that is refused before Refusing, runs after it, or ends
// without an error at the limit.
func TestDrain(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	d := New(Options{Timer: clock, BalancerDelay: time.Second, Limit: 10 * time.Second, Log: logger.Discard()})
	results := make(chan error, 2)
	serve := func() {
		results <- d.Handle(context.Background(), &request.Request{}, func(ctx context.Context, _ *request.Request) error {
			<-ctx.Done()
			return verdict.New(verdict.MayHaveRun, verdict.Canceled, "canceled")
		})
	}
	go serve()
	waitFor(t, "first request runs", func() bool { return d.Running() == 1 })
	done := make(chan bool, 1)
	go func() { done <- d.Drain(context.Background()) }()
	waitFor(t, "balancer delay", func() bool { return d.Phase() == Unready && clock.Waiting() == 1 })
	is.NoErr(d.Refusal())
	go serve()
	waitFor(t, "request during the delay runs", func() bool { return d.Running() == 2 })
	clock.Advance(time.Second)
	waitFor(t, "refusing", func() bool { return d.Phase() == Refusing && clock.Waiting() == 1 })
	v, _ := verdict.FromError(d.Handle(context.Background(), &request.Request{}, nil))
	is.Equal(v.Verdict, verdict.NotRun)
	is.Equal(v.Reason, verdict.Draining)
	is.Equal(v.RetryAfter, retryAfter)
	clock.Advance(8 * time.Second)
	for range 2 {
		v, _ := verdict.FromError(<-results)
		is.Equal(v.Verdict, verdict.MayHaveRun)
		is.Equal(v.Reason, verdict.Draining)
	}
	is.True(<-done)
}
