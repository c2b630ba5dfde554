package prover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

// setFaults replaces the injected faults of one engine.
func (r *rig) setFaults(ctx context.Context, engine int, f runner.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	res, err := r.client.Do(ctx, http.MethodPost, "http://"+r.engines[engine].Address+"/faults", body, nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// countedRecovery reports whether a daemon's metrics count a recovery with the cause.
func (r *rig) countedRecovery(ctx context.Context, daemon int, cause string) (bool, error) {
	operator := invoker.Client{Token: launcher.OperatorToken}
	res, err := operator.Do(ctx, http.MethodGet, "http://"+r.daemons[daemon].OperatorAddress+"/metrics", nil, nil)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return strings.Contains(string(body), `oleandercove_recoveries_total{cause="`+cause+`"}`), err
}

// longestGap returns the longest time between two tokens of any job.
func longestGap(jobs []*job) time.Duration {
	var longest time.Duration
	for _, j := range jobs {
		longest = max(longest, j.answer.Gap)
	}
	return longest
}

// Guards against streams that never end, which happens when an engine of any stage runs
// nothing but still sends heartbeats.
func TestHungEngine(t *testing.T) {
	for stage := range 3 {
		t.Run(fmt.Sprintf("stage %d", stage), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(firstSeed, uint64(stage)))
			r := newRig(t, 2)
			jobs := r.runBurst(t.Context(), burstSize, random, burstSize*10, func() {
				if err := r.setFaults(t.Context(), 2*stage, runner.Faults{Hang: true}); err != nil {
					t.Error(err)
				}
			})
			for _, err := range violations(jobs) {
				t.Error(err)
			}
			is.NoErr(r.auditJournals())
			stalled, err := r.countedRecovery(t.Context(), 0, "Stalled")
			is.NoErr(err)
			is.True(stalled)
			t.Logf("longest gap %s", longestGap(jobs).Round(time.Millisecond))

			// Every engine must count as healthy again once the hang has ended.
			is.NoErr(r.setFaults(t.Context(), 2*stage, runner.Faults{}))
			await(t, "usable engines", func() bool {
				states, err := r.backendList(t.Context(), 0)
				return err == nil && strings.Count(states, `"Healthy":true`) == len(r.engines)
			})
		})
	}
}

// backendList returns a daemon's list of backend servers as JSON text.
func (r *rig) backendList(ctx context.Context, daemon int) (string, error) {
	operator := invoker.Client{Token: launcher.OperatorToken}
	res, err := operator.Do(ctx, http.MethodGet, "http://"+r.daemons[daemon].OperatorAddress+"/v1/backends", nil, nil)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Guards against streams that are moved off an overloaded engine, which happens when a wait
// in its queue is longer than the hang limit and is mistaken for a hang.
func TestOverloadIsNoHang(t *testing.T) {
	is := is.New(t)
	// Admission would keep the overload off the engines.
	r := newRigWith(t, "\n[Admission]\nOff = true\n", 1, "--max-batch", "1")
	for e := range r.engines {
		is.NoErr(r.setFaults(t.Context(), e, runner.Faults{Slow: 20}))
	}
	jobs := make([]*job, burstSize)
	done := make(chan struct{}, burstSize)
	for i := range jobs {
		j := &job{text: fmt.Sprintf("summary %d", i), tokens: 4}
		jobs[i] = j
		go func() {
			j.answer, j.err = r.complete(t.Context(), 0, j.text, j.tokens, nil)
			done <- struct{}{}
		}()
	}
	for range jobs {
		<-done
	}
	for _, err := range violations(jobs) {
		t.Error(err)
	}
	longest := longestGap(jobs)
	t.Logf("longest gap %s", longest.Round(time.Millisecond))
	is.True(longest > time.Second) // the queueing delay must exceed the smallest hang limit
	stalled, err := r.countedRecovery(t.Context(), 0, "Stalled")
	is.NoErr(err)
	is.True(!stalled)
}
