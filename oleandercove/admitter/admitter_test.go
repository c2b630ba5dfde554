package admitter

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/watcher"
)

// engines is a fleet of one engine with 1000 tokens/s and 6 ms per token.
type engines struct{}

func (engines) Backends() []watcher.Backend {
	return []watcher.Backend{{ID: "e", Role: platform.RoleEngine, Healthy: true, Engine: &engine.Status{
		Model: "report", To: 8, MaxBatch: 4, TokenTimeMicros: 4000,
	}}}
}

func (engines) Suspect(unit.BackendID) {}

var epoch = time.Unix(1000, 0)

func completion(account string, deadline time.Duration) *request.Request {
	return &request.Request{
		Kind: catalogue.KindModel, Name: "report", Account: unit.AccountID(account), Deadline: epoch.Add(deadline),
		Entry:      &catalogue.Entry{Model: &catalogue.Model{Layers: 8}},
		Completion: &request.Completion{MaxTokens: 100, Emit: func(string) error { return nil }},
	}
}

// simulation drives a gate without a clock: each running stream gets a token
// whenever the engine has had time to generate one, so too many streams slow each
// other down.
type simulation struct {
	gate   *gate
	now    time.Time
	tokens int
}

// run offers requests for the duration d and returns the throughput in tokens/s.
func (s *simulation) run(d time.Duration, offered int) float64 {
	const step, perStep, length = 10 * time.Millisecond, 10, 50
	start := s.tokens
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for range offered {
			t := &ticket{class: 1, account: "a", cost: length, deadline: s.now.Add(time.Hour), ready: make(chan error, 1)}
			if s.gate.checkWait(t, s.now, time.Second) == nil {
				s.gate.queue.push(t)
			}
		}
		s.gate.dispatch(s.now)
		if s.gate.running == 0 {
			continue
		}
		gap := max(6*time.Millisecond, step*time.Duration(s.gate.running)/perStep)
		n := min(perStep, s.gate.running*int(step)/int(gap)+1)
		for range n {
			s.gate.recordGap(1, gap)
			s.tokens++
			if s.tokens%length == 0 {
				s.gate.running--
				s.gate.recordStream(gap*length, length, length)
			}
		}
		s.gate.adjustLimit(s.now)
	}
	return float64(s.tokens-start) / d.Seconds()
}

// Guards against low throughput long after a burst, which happens when the limit
// stays low or the queue stays full.
func TestThroughputReturnsAfterABurst(t *testing.T) {
	is := is.New(t)
	g := newGate()
	g.setCapacity(capacity{maxFlow: 1000, tokenTime: 6 * time.Millisecond}, epoch)
	s := &simulation{gate: g, now: epoch}
	before := s.run(5*time.Second, 1)
	s.run(5*time.Second, 20)
	is.True(len(g.queue.waiting) <= maxWaiting) // queue is not bounded
	s.run(2*time.Second, 1)
	after := s.run(5*time.Second, 1)
	is.True(before >= 900)          // limit leaves the engines idle
	is.True(after >= 0.95*before)   // throughput does not recover
	is.True(s.gate.limit < 1000/50) // limit grows beyond what the engines can use
}

// Guards against requests that wait although they can't meet their deadline or
// their caller has left, and against finished requests that still count as running.
func TestFilterRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	f := New(Options{Backends: engines{}, Timer: timer.NewManual(epoch)})
	block, started := make(chan struct{}), make(chan struct{}, 100)
	var wg sync.WaitGroup
	serve := func(context.Context, *request.Request) error {
		started <- struct{}{}
		<-block
		return nil
	}
	for range minLimit {
		wg.Go(func() { _ = f.Handle(t.Context(), completion("a", time.Hour), serve) })
		<-started
	}
	never := func(context.Context, *request.Request) error { t.Error("a rejected request ran"); return nil }
	err := f.Handle(t.Context(), completion("a", 100*time.Millisecond), never)
	v, _ := verdict.FromError(err)
	is.Equal(v.Verdict, verdict.NotRun)
	is.Equal(v.Reason, verdict.Overloaded)
	is.True(v.RetryAfter >= time.Second) // rejection names no time to retry after

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	v, _ = verdict.FromError(f.Handle(ctx, completion("a", time.Hour), never))
	is.Equal(v.Verdict, verdict.NotRun) // a request stays queued after its caller has left

	wg.Go(func() { _ = f.Handle(t.Context(), completion("b", time.Hour), serve) })
	block <- struct{}{}
	<-started // free capacity is not granted to the waiting request
	close(block)
	wg.Wait()
	is.Equal(f.gates["report"].running, 0) // finished requests still count as running
	is.Equal(len(f.gates["report"].queue.waiting), 0)
}
