package prover_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

const (
	layers    = 12
	modelName = "report"
	account   = "field-crew"
)

// rig is a small deployment: one platform, stages of engines and daemons.
type rig struct {
	*launcher.Launcher
	client invoker.Client
	timer  *timer.Real
	// platform is the simulated platform.
	platform *launcher.Process
	daemons  []*launcher.Process
	engines  []*launcher.Process
	// advertiseFunc returns the address at which others reach the engine at address; nil means
	// directly.
	advertiseFunc func(address string) (string, error)
}

// newRig starts two engines for each of three stages and n daemons.
func newRig(t *testing.T, n int, engineFlags ...string) *rig {
	t.Helper()
	r := &rig{Launcher: launcher.New("../bin", t.TempDir())}
	r.startUp(t, n, engineFlags...)
	return r
}

// startUp starts all processes and blocks until every daemon completes a stream.
func (r *rig) startUp(t *testing.T, n int, engineFlags ...string) {
	t.Helper()
	is := is.New(t)
	r.client, r.timer = invoker.Client{Token: launcher.Token(account)}, timer.NewReal()
	t.Cleanup(r.Close)
	p, err := r.Platform()
	r.platform = p
	is.NoErr(err)
	is.NoErr(r.PutAccount(t.Context(), account))
	is.NoErr(r.PutEntry(t.Context(), &catalogue.Entry{
		Kind: catalogue.KindModel, Name: modelName, Owner: "assistant-team", Class: catalogue.ClassInteractive,
		Model: &catalogue.Model{Layers: layers, MaxTokens: 4096},
	}))
	is.NoErr(r.PutEntry(t.Context(), &catalogue.Entry{
		Kind: catalogue.KindService, Name: "logbook", Owner: "logbook-team", Class: catalogue.ClassStandard,
		Service: &catalogue.Service{IdempotentMethods: []string{http.MethodGet}},
	}))
	for i := range 6 {
		stage := i / 2
		e, err := r.Engine(launcher.EngineSpec{
			ID: fmt.Sprintf("engine-%d", i), DataCentre: "dc-a", Model: modelName, Kind: "a",
			Layers: layers, From: stage * 4, To: stage*4 + 4, LayerTime: 500 * time.Microsecond,
			Flags: engineFlags, AdvertiseFunc: r.advertiseFunc,
		})
		is.NoErr(err)
		r.engines = append(r.engines, e)
	}
	for i := range n {
		d, err := r.Daemon(fmt.Sprintf("entry-%d", i), "dc-a")
		is.NoErr(err)
		r.daemons = append(r.daemons, d)
	}
	is.NoErr(launcher.Wait(20*time.Second, "complete answer on every daemon", func() bool { return r.allServe(t.Context()) }))
}

// allServe reports whether every daemon completes a stream.
func (r *rig) allServe(ctx context.Context) bool {
	for i := range r.daemons {
		if a, err := r.complete(ctx, i, "warm up", 1, nil); err != nil || !a.Done {
			return false
		}
	}
	return true
}

func (r *rig) complete(ctx context.Context, daemon int, text string, n int, onToken func(int)) (invoker.Answer, error) {
	return r.client.Complete(ctx, r.daemons[daemon].Address, invoker.Prompt{
		Model: modelName, Text: text, MaxTokens: n, OnToken: onToken,
	})
}

// Guards against a truncated or wrong answer, which happens when an engine of any stage is
// killed in the middle of a token.
func TestStageKilled(t *testing.T) {
	for stage := range 3 {
		t.Run(fmt.Sprintf("stage %d", stage), func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 1)
			a, err := r.complete(t.Context(), 0, "yield of net 4", 120, func(n int) {
				if n == 30 {
					r.engines[2*stage].Kill()
				}
			})
			is.NoErr(err)
			is.True(a.Done)
			is.Equal(a.Text, runner.ReferenceText(layers, "yield of net 4", 120))
		})
	}
}
