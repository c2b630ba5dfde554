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

// balanced sends load as a load balancer does: only to daemons whose last
// check of /readyz was good. It checks every answer.
type balanced struct {
	rig    *rig
	ready  []atomic.Bool
	next   atomic.Uint64
	served atomic.Uint64
	calls  atomic.Uint64

	mu     sync.Mutex
	faults []string
}

// startLoad runs streams and bookings until stop is called.
func startLoad(t *testing.T, r *rig, workers int) (b *balanced, stop func()) {
	b = &balanced{rig: r, ready: make([]atomic.Bool, len(r.daemons))}
	ctx, cancel := context.WithCancel(t.Context())
	b.probe()
	var wg, checks sync.WaitGroup
	checks.Go(func() {
		for ctx.Err() == nil {
			b.probe()
			<-time.After(50 * time.Millisecond)
		}
	})
	for i := range workers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				b.stream(fmt.Sprintf("worker %d row %d", i, n))
				b.book(fmt.Sprintf("%d-%d", i, n))
			}
		})
	}
	stop = sync.OnceFunc(func() { cancel(); wg.Wait(); checks.Wait() })
	t.Cleanup(stop)
	return b, stop
}

func (b *balanced) probe() {
	for i, d := range b.rig.daemons {
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := c.Get("http://" + d.Address + "/readyz")
		if err == nil {
			res.Body.Close()
		}
		b.ready[i].Store(err == nil && res.StatusCode == http.StatusOK)
	}
}

func (b *balanced) pick() string {
	for {
		i := int(b.next.Add(1)) % len(b.ready)
		if b.ready[i].Load() {
			return b.rig.daemons[i].Address
		}
		<-time.After(time.Millisecond)
	}
}

func (b *balanced) fault(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, fmt.Sprintf(format, args...))
}

func (b *balanced) stream(text string) {
	const tokens = 60
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, err := b.rig.client.Complete(ctx, b.pick(), invoker.Prompt{Model: modelName, Text: text, MaxTokens: tokens})
	if err != nil || !a.Done || a.Text != runner.ReferenceText(layers, text, tokens) {
		b.fault("stream %q: err=%v status=%d done=%v tokens=%d refusal=%+v", text, err, a.Status, a.Done, a.Tokens, a.Refusal)
		return
	}
	b.served.Add(1)
}

func (b *balanced) book(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	res, err := b.rig.client.Do(ctx, http.MethodPost, "http://"+b.pick()+"/services/logbook/entries", []byte(id), nil)
	if err != nil {
		b.fault("booking %s: %v", id, err)
		return
	}
	res.Body.Close()
	if res.StatusCode != http.StatusCreated {
		b.fault("booking %s: status %d", id, res.StatusCode)
		return
	}
	b.calls.Add(1)
}

// check fails the test with the first faults.
func (b *balanced) check(t *testing.T) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	t.Logf("%d streams and %d bookings complete, %d faults", b.served.Load(), b.calls.Load(), len(b.faults))
	if b.served.Load() == 0 || b.calls.Load() == 0 || len(b.faults) > 0 {
		t.Fatalf("faults: %q", b.faults[:min(5, len(b.faults))])
	}
}

// await fails the test unless the condition holds in time.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	if err := launcher.Wait(40*time.Second, what, condition); err != nil {
		t.Fatal(err)
	}
}
