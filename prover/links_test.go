package prover_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/prover/faulter"
	"oleandercove.example/prover/launcher"
)

// newProxiedRig is newRig with a proxy in front of each engine, which the daemons and the
// engines of the previous stage use.
func newProxiedRig(t *testing.T, n int) (*rig, []*faulter.Proxy) {
	t.Helper()
	var proxies []*faulter.Proxy
	r := &rig{Launcher: launcher.New("../bin", t.TempDir())}
	r.advertiseFunc = func(address string) (string, error) {
		p, err := faulter.New(fmt.Sprintf("engine-%d", len(proxies)), address)
		if err != nil {
			return "", err
		}
		t.Cleanup(p.Close)
		proxies = append(proxies, p)
		return p.Address, nil
	}
	r.startUp(t, n)
	return r, proxies
}

// Guards against truncated or wrong answers, which happen when the links to an engine fail
// while the engine itself runs: those from the daemons at the first stage, those from the
// previous engines at later stages.
func TestLinksFail(t *testing.T) {
	t.Parallel() // most of its time is waiting
	const streams = 60
	for _, row := range []struct {
		name  string
		stage int
		fault func(p *faulter.Proxy) error
	}{
		{"cut link between daemon and engine", 0, func(p *faulter.Proxy) error { p.Cut(); return nil }},
		{"cut link between engines", 1, func(p *faulter.Proxy) error { p.Cut(); return nil }},
		{"lost answers between daemon and engine", 0, func(p *faulter.Proxy) error { return p.Silence(faulter.ToClient) }},
		{"lost steps between engines", 2, func(p *faulter.Proxy) error { return p.Silence(faulter.ToServer) }},
		{"half-open connections between daemon and engine", 0, func(p *faulter.Proxy) error { return p.HalfOpen(faulter.ToClient) }},
		{"half-open connections between engines", 1, func(p *faulter.Proxy) error { return p.HalfOpen(faulter.ToClient) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			r, proxies := newProxiedRig(t, 2)
			random := rand.New(rand.NewPCG(firstSeed, 0))
			jobs := r.runBurst(t.Context(), streams, random, streams*10, func() {
				if err := row.fault(proxies[2*row.stage]); err != nil {
					t.Error(err)
				}
			})
			for _, err := range violations(jobs) {
				t.Error(err)
			}
			is.NoErr(r.auditJournals())
			t.Logf("longest gap %s", longestGap(jobs).Round(time.Millisecond))
		})
	}
}
