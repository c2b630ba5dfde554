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
	// maxCrashes is the stated limit of crashes for one poison request.
	maxCrashes = 2
)

// exited counts the engines whose process has ended by itself.
func (r *rig) exited() int {
	n := 0
	for _, e := range r.engines {
		if e.Exited() {
			n++
		}
	}
	return n
}

// TestPoisonRequest guards against a request that crashes every engine that
// runs it and is sent again: it may crash two engines, its caller gets a final
// refusal at once, and requests beside it get their whole answers.
func TestPoisonRequest(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			r := newRig(t, 3, "--poison-word", poisonWord)
			r.addSpares(t, 2)
			var wg sync.WaitGroup
			var poison []verdict.Reason
			jobs := r.runCrowd(t.Context(), 60, random, int64(random.IntN(500)), func() {
				wg.Go(func() { poison = r.sendPoison(t.Context(), 3) })
			})
			wg.Wait()
			for _, err := range violations(jobs) {
				t.Error(err)
			}
			is.True(r.exited() <= maxCrashes)
			is.Equal(poison, []verdict.Reason{verdict.Quarantined, verdict.Quarantined, verdict.Quarantined})
			is.True(r.exited() > 0) // the poison request must have reached an engine
		})
	}
}

// addSpares starts more engines of the first stage, so that layers stay
// covered after the crashes.
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
		return r.serves(t.Context()) && r.lists(t.Context(), len(r.engines))
	}))
}

// lists tells whether every daemon sees a number of healthy backend servers.
func (r *rig) lists(ctx context.Context, n int) bool {
	for _, d := range r.daemons {
		c := client.New(client.Options{Addresses: []string{d.Operators}, Token: launcher.OperatorToken})
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

// sendPoison sends the same poison request again and again, as its caller
// does, and returns the reasons of the refusals.
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
