package prover_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/api"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderctl/client"
	"oleandercove.example/prover/launcher"
)

const (
	poisonWord = "poisonous"
	// maxCrashes is the number of engines that one poison request may crash.
	maxCrashes = 2
)

// countExited counts the engines whose process has exited.
func (r *rig) countExited() int {
	n := 0
	for _, e := range r.engines {
		if e.Exited() {
			n++
		}
	}
	return n
}

// Guards against a request that crashes engine after engine, which happens when its caller
// repeats it. It may crash two engines; then its caller gets a final refusal at once. Other
// requests get complete answers.
func TestPoisonRequest(t *testing.T) {
	for _, seed := range burstSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			r := newRig(t, 3, "--poison-word", poisonWord)
			r.addSpares(t, 2)
			var wg sync.WaitGroup
			var poison []verdict.Reason
			jobs := r.runBurst(t.Context(), 60, random, int64(random.IntN(500)), func() {
				wg.Go(func() { poison = r.sendPoison(t.Context(), 3) })
			})
			wg.Wait()
			for _, err := range violations(jobs) {
				t.Error(err)
			}
			is.True(r.countExited() <= maxCrashes)
			is.Equal(poison, []verdict.Reason{verdict.Quarantined, verdict.Quarantined, verdict.Quarantined})
			is.True(r.countExited() > 0) // the poison request must have reached an engine
		})
	}
}

// addSpares starts n more engines of the first stage, so that its layers are still served
// after the crashes, and waits until every daemon lists them.
func (r *rig) addSpares(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		e, err := r.Engine(launcher.EngineSpec{
			ID: fmt.Sprintf("spare-%d", i), DataCentre: "dc-a", Model: modelName, Kind: "a",
			Layers: layers, To: 4, LayerTime: 500 * time.Microsecond, Flags: []string{"--poison-word", poisonWord},
		})
		is.New(t).NoErr(err)
		r.engines = append(r.engines, e)
	}
	is.New(t).NoErr(launcher.Wait(20*time.Second, "spare engines on every daemon", func() bool {
		return r.allServe(t.Context()) && r.allList(t.Context(), len(r.engines))
	}))
}

// allList reports whether every daemon lists at least n healthy backend servers.
func (r *rig) allList(ctx context.Context, n int) bool {
	for _, d := range r.daemons {
		c := client.New(client.Options{Addresses: []string{d.OperatorAddress}, Token: launcher.OperatorToken})
		var list api.BackendList
		err := c.Get(ctx, "/v1/backends", &list)
		healthy := 0
		for _, b := range list.Backends {
			if b.Healthy {
				healthy++
			}
		}
		if err != nil || healthy < n {
			return false
		}
	}
	return true
}

// sendPoison sends the same poison request n times, to the daemons in turn, and returns the
// reasons of the refusals.
func (r *rig) sendPoison(ctx context.Context, n int) []verdict.Reason {
	var out []verdict.Reason
	for i := range n {
		a, err := r.complete(ctx, i%len(r.daemons), "a "+poisonWord+" report", 20, nil)
		if err != nil || a.Status == http.StatusOK {
			return append(out, verdict.Reason(fmt.Sprintf("answered: %v %v", a.Status, err)))
		}
		out = append(out, a.Refusal.Reason)
	}
	return out
}
