package main

import (
	"context"
	"sync"
	"time"

	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/oleanderload/reporter"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

const (
	// kills is the number of engines killed in the recovery measurement.
	kills = 30
	// liveStreams is the number of streams that run during a kill.
	liveStreams = 12
	// killAt is the minimum number of tokens that each stream has at the kill.
	killAt = 15
	// liveTokens is the length of each stream in tokens.
	liveTokens = 60
)

// Recovery is the result of killing engines under running streams.
type Recovery struct {
	Kills, Streams, Whole int
	// Gap is the longest gap of the streams of each kill, in milliseconds.
	Gap reporter.Quantiles
	// Quiet is the longest gap of each round without a kill, in milliseconds.
	Quiet reporter.Quantiles
}

func measureRecovery(ctx context.Context, d design) (*Recovery, error) {
	r, err := newRig(ctx, d, "")
	if err != nil {
		return nil, err
	}
	defer r.close()
	out := &Recovery{Kills: kills}
	var gaps, quiet []time.Duration
	for range 5 {
		gap, _ := r.streams(ctx, func() {})
		quiet = append(quiet, gap)
	}
	for i := range kills {
		e := r.engines[i%len(r.engines)]
		gap, completed := r.streams(ctx, e.Kill)
		gaps = append(gaps, gap)
		out.Streams += liveStreams
		out.Whole += completed
		if err := r.restoreEngine(ctx, e); err != nil {
			return nil, err
		}
	}
	out.Gap, out.Quiet = reporter.Summarise(gaps), reporter.Summarise(quiet)
	return out, nil
}

// streams runs liveStreams streams and calls kill once each has killAt tokens or has ended.
// It returns the longest gap and the number of complete streams.
func (r *rig) streams(ctx context.Context, kill func()) (longest time.Duration, completed int) {
	var mu sync.Mutex
	var wg, notReady sync.WaitGroup
	notReady.Add(liveStreams)
	for i := range liveStreams {
		wg.Go(func() {
			var once sync.Once
			ready := func() { once.Do(notReady.Done) }
			defer ready()
			c := invoker.Client{Token: launcher.Token(accounts[0])}
			a, err := c.Complete(ctx, r.daemons[i%len(r.daemons)].Address, invoker.Prompt{
				Model: modelName, Text: "state of the nets", MaxTokens: liveTokens, OnToken: func(n int) {
					if n == killAt {
						ready()
					}
				},
			})
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, a.Gap)
			if err == nil && a.Done && a.Text == runner.ReferenceText(layers, "state of the nets", liveTokens) {
				completed++
			}
		})
	}
	notReady.Wait()
	kill()
	wg.Wait()
	return longest, completed
}

// restoreEngine restarts a killed engine and waits until it responds, and then for
// settleTime, so that the daemons list it again.
func (r *rig) restoreEngine(ctx context.Context, p *launcher.Process) error {
	if err := p.Restart(); err != nil {
		return err
	}
	if err := launcher.WaitHTTP("http://"+p.Address+"/v1/status", 10*time.Second); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return ctx.Err()
}
