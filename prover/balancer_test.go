package prover_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

// balancedLoad sends load as a load balancer does, only to daemons whose last check of
// /readyz succeeded, and checks every answer.
type balancedLoad struct {
	rig          *rig
	ready        []atomic.Bool
	next         atomic.Uint64
	streamsDone  atomic.Uint64
	bookingsDone atomic.Uint64

	mu       sync.Mutex
	failures []string
}

// startLoad starts workers that send streams and bookings until stop is called. stop
// blocks until the last answers have arrived.
func startLoad(t *testing.T, r *rig, workers int) (b *balancedLoad, stop func()) {
	b = &balancedLoad{rig: r, ready: make([]atomic.Bool, len(r.daemons))}
	ctx, cancel := context.WithCancel(t.Context())
	b.probeReady()
	var wg, checks sync.WaitGroup
	checks.Go(func() {
		for ctx.Err() == nil {
			b.probeReady()
			<-time.After(50 * time.Millisecond)
		}
	})
	for i := range workers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				b.runStream(fmt.Sprintf("worker %d row %d", i, n))
				b.runBooking(fmt.Sprintf("%d-%d", i, n))
			}
		})
	}
	stop = sync.OnceFunc(func() { cancel(); wg.Wait(); checks.Wait() })
	t.Cleanup(stop)
	return b, stop
}

// probeReady stores for each daemon whether /readyz answers 200.
func (b *balancedLoad) probeReady() {
	for i, d := range b.rig.daemons {
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := c.Get("http://" + d.Address + "/readyz")
		if err == nil {
			res.Body.Close()
		}
		b.ready[i].Store(err == nil && res.StatusCode == http.StatusOK)
	}
}

// nextReady returns the address of the next ready daemon in turn; it blocks until one is
// ready.
func (b *balancedLoad) nextReady() string {
	for {
		i := int(b.next.Add(1)) % len(b.ready)
		if b.ready[i].Load() {
			return b.rig.daemons[i].Address
		}
		<-time.After(time.Millisecond)
	}
}

func (b *balancedLoad) recordFailure(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = append(b.failures, fmt.Sprintf(format, args...))
}

func (b *balancedLoad) runStream(text string) {
	const tokens = 60
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, err := b.rig.client.Complete(ctx, b.nextReady(), invoker.Prompt{Model: modelName, Text: text, MaxTokens: tokens})
	if err != nil || !a.Done || a.Text != runner.ReferenceText(layers, text, tokens) {
		b.recordFailure("stream %q: err=%v status=%d done=%v tokens=%d refusal=%+v", text, err, a.Status, a.Done, a.Tokens, a.Refusal)
		return
	}
	b.streamsDone.Add(1)
}

func (b *balancedLoad) runBooking(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	res, err := b.rig.client.Do(ctx, http.MethodPost, "http://"+b.nextReady()+"/services/logbook/entries", []byte(id), nil)
	if err != nil {
		b.recordFailure("booking %s: %v", id, err)
		return
	}
	res.Body.Close()
	if res.StatusCode != http.StatusCreated {
		b.recordFailure("booking %s: status %d", id, res.StatusCode)
		return
	}
	b.bookingsDone.Add(1)
}

// check fails the test after any failure, or if no stream or no booking was complete.
func (b *balancedLoad) check(t *testing.T) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	t.Logf("%d streams and %d bookings complete, %d failures", b.streamsDone.Load(), b.bookingsDone.Load(), len(b.failures))
	if b.streamsDone.Load() == 0 || b.bookingsDone.Load() == 0 || len(b.failures) > 0 {
		t.Fatalf("failures: %q", b.failures[:min(5, len(b.failures))])
	}
}

// await fails the test unless the condition holds within 40 s.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	if err := launcher.Wait(40*time.Second, what, condition); err != nil {
		t.Fatal(err)
	}
}
