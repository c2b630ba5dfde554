package prover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/commander"
	"oleandercove.example/oleandercove/leaser"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

// shortLease makes a lease short enough to take it over many times in a test.
const shortLease = `
[Controllers]
Lease = "1500ms"
OrderLimit = "500ms"
`

// pool is a site whose daemons are on the platform's list, with two engines for
// each of two stages.
type pool struct {
	*site
	engines []*launcher.Process
	version int
}

func newPool(t *testing.T, daemons int, settings string, engineFlags ...string) *pool {
	t.Helper()
	is := is.New(t)
	p := &pool{site: &site{Launcher: launcher.New("../bin", t.TempDir())}, version: 1}
	t.Cleanup(p.Close)
	p.DaemonSettings = settings
	var err error
	p.platform, err = p.Platform("--host-timeout", "1h")
	is.NoErr(err)
	is.NoErr(p.Put(t.Context(), &catalogue.Entry{
		Kind: patched.Kind, Name: patched.Name, Owner: "team", Class: catalogue.ClassStandard,
		Model: &catalogue.Model{Layers: layers, MaxTokens: 4096, Version: "v1", Replicas: 2},
	}))
	for i := range 4 {
		from := i / 2 * layers / 2
		e, err := p.Engine(launcher.EngineSpec{
			ID: fmt.Sprint("engine-", i), DataCentre: "dc-a", Model: modelName, Kind: "a", Layers: layers,
			From: from, To: from + layers/2, Flags: append([]string{"--version", "v1", "--load-time", "200ms"}, engineFlags...),
		})
		is.NoErr(err)
		p.engines = append(p.engines, e)
	}
	for i := range daemons {
		id := fmt.Sprint("entry-", i)
		is.NoErr(p.list(t.Context(), platform.Host{ID: id, Role: platform.RoleEntry, State: platform.HostLive}))
		d, err := p.Daemon(id, "dc-a")
		is.NoErr(err)
		p.daemons = append(p.daemons, d)
	}
	return p
}

// holder returns the daemon that the lease of all engines names, or -1.
func (p *pool) holder(ctx context.Context) int {
	shard := leaser.New(leaser.Options{}).ShardOf(commander.ShardKey)
	c := platform.NewClient(platform.Options{Address: p.platform.Address})
	o, err := c.Get(ctx, platform.KindLease, fmt.Sprint("shards-", int(shard)/leaser.DefaultShardsPerObject))
	var r struct {
		Holder   string
		Released bool
	}
	if err != nil || json.Unmarshal(o.Value, &r) != nil || r.Released {
		return -1
	}
	return slices.IndexFunc(p.daemons, func(d *launcher.Process) bool { return strings.HasPrefix(r.Holder, d.Name+"/") })
}

// edit gives the model the next version through one daemon.
func (p *pool) edit(ctx context.Context, daemon int) error {
	p.version++
	body := api.EntryPatch{Set: []catalogue.FieldEdit{{Field: "Model.Version", Value: json.RawMessage(fmt.Sprintf(`"v%d"`, p.version))}}}
	return p.operator(daemon, "ann").Edit(ctx, http.MethodPatch, entryPath(patched), nil, body, &api.EditAccepted{})
}

func read[T any](ctx context.Context, url string) (v T, err error) {
	res, err := invoker.Client{}.Do(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return v, err
	}
	defer res.Body.Close()
	return v, json.NewDecoder(res.Body).Decode(&v)
}

// settled tells whether every engine itself reports the newest version.
func (p *pool) settled(ctx context.Context) bool {
	for _, e := range p.engines {
		s, err := read[engine.Status](ctx, "http://"+e.Address+"/v1/status")
		if err != nil || s.Loading != nil || s.Draining || s.Version != fmt.Sprint("v", p.version) {
			return false
		}
	}
	return true
}

// reversions counts, over all engines, applied orders for an older version than
// one that was applied before, and orders that were refused as stale.
func (p *pool) reversions(t *testing.T) (reverted, stale int) {
	for _, e := range p.engines {
		records, err := read[[]engine.OrderRecord](t.Context(), "http://"+e.Address+"/orders")
		is.New(t).NoErr(err)
		newest := 0
		for _, r := range records {
			if r.Outcome == engine.OrderStale {
				stale++
				continue
			}
			var v int
			if _, err := fmt.Sscanf(r.Order.Version, "v%d", &v); err != nil {
				continue // orders to drain and resume state no version
			}
			if v < newest {
				reverted++
			}
			newest = max(newest, v)
		}
	}
	return reverted, stale
}

// replay sends an old order again, as if it had been delayed on its way.
func (p *pool) replay(t *testing.T) {
	is := is.New(t)
	records, err := read[[]engine.OrderRecord](t.Context(), "http://"+p.engines[0].Address+"/orders")
	is.NoErr(err)
	i := slices.IndexFunc(records, func(r engine.OrderRecord) bool { return r.Order.Kind == engine.OrderLoad })
	is.True(i >= 0)
	body, err := json.Marshal(records[i].Order)
	is.NoErr(err)
	res, err := invoker.Client{}.Do(t.Context(), http.MethodPost, "http://"+p.engines[0].Address+"/v1/orders", body, nil)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
}

// TestPausedHolder guards against a daemon that is paused with orders to give,
// wakes after another one took its lease, and turns engines back to an old
// target; and against a delayed order that stays in effect.
func TestPausedHolder(t *testing.T) {
	t.Parallel() // most of its time is waiting for leases to expire
	rows := []struct {
		name  string
		flags []string
		// late is how many reversions the delayed order may cause.
		late int
	}{
		{"engines that honour the fencing number are turned back", nil, 0},
		{"engines that ignore the fencing number stay turned back", []string{"--ignore-fence"}, 1},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newPool(t, 3, shortLease, r.flags...)
			random := rand.New(rand.NewPCG(1, 2))
			for round := range 4 {
				is.NoErr(launcher.Wait(settleLimit, "holder", func() bool { return p.holder(t.Context()) >= 0 }))
				old := p.holder(t.Context())
				other := (old + 1) % len(p.daemons)
				if round%2 == 1 { // orders of the old holder wait in the engine's socket
					is.NoErr(p.engines[0].Pause())
				}
				is.NoErr(p.edit(t.Context(), other))
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond) // any point of the roll-out
				is.NoErr(p.daemons[old].Pause())
				is.NoErr(p.edit(t.Context(), other))
				is.NoErr(p.engines[0].Resume())
				is.NoErr(launcher.Wait(settleLimit, "newest version", func() bool { return p.settled(t.Context()) }))
				is.True(p.holder(t.Context()) != old)
				is.NoErr(p.daemons[old].Resume())
				p.stays(t, 3*time.Second)
			}
			before, _ := p.reversions(t)
			is.Equal(before, 0)
			p.replay(t)
			is.NoErr(launcher.Wait(settleLimit, "newest version", func() bool { return p.settled(t.Context()) }))
			p.stays(t, 2*time.Second)
			after, stale := p.reversions(t)
			is.Equal(after, r.late)
			t.Logf("reversions by woken holders %d, by a delayed order %d; refused as stale %d", before, after, stale)
		})
	}
}

// stays fails if an engine leaves the newest version for a moment.
func (p *pool) stays(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !p.settled(t.Context()) {
			t.Fatal("an engine left the newest version")
		}
	}
}

// TestDrainMark guards against drain marks that engines never hear of, and
// against engines that stay drained after the mark was canceled.
func TestDrainMark(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2, shortLease)
	for _, cancel := range []bool{false, true} {
		body := api.DrainRequest{Target: "engine-0", Cancel: cancel}
		is.NoErr(launcher.Wait(settleLimit, "engine known", func() bool {
			return p.operator(0, "ann").Edit(t.Context(), http.MethodPost, "/v1/drain", nil, body, &api.DrainAccepted{}) == nil
		}))
		is.NoErr(launcher.Wait(settleLimit, "order", func() bool {
			s, err := read[engine.Status](t.Context(), "http://"+p.engines[0].Address+"/v1/status")
			return err == nil && s.Draining != cancel
		}))
	}
	records, err := read[[]engine.OrderRecord](t.Context(), "http://"+p.engines[0].Address+"/orders")
	is.NoErr(err)
	is.Equal(len(records), 2) // no order is repeated
	is.Equal([]engine.OrderKind{records[0].Order.Kind, records[1].Order.Kind}, []engine.OrderKind{engine.OrderDrain, engine.OrderResume})
	is.True(records[0].Order.Fence > 0)
	is.NoErr(launcher.Wait(settleLimit, "events of both marks and both orders", func() bool {
		return p.explained(t.Context(), "backend:engine-0", recorder.DecisionEdit) == 2 &&
			p.explained(t.Context(), "backend:engine-0", recorder.DecisionOrder) == 2
	}))
}

// explained counts the events with one decision on all daemons.
func (p *pool) explained(ctx context.Context, subject, decision string) int {
	n := 0
	for i := range p.daemons {
		var x api.Explanation
		if p.operator(i, "ann").Get(ctx, "/v1/explain/"+subject, &x) != nil {
			return -1
		}
		for _, e := range x.Events {
			if e.Decision == decision {
				n++
			}
		}
	}
	return n
}

// TestLeaseCosts guards against a lease that stays with a killed daemon, and
// against platform calls that grow with the number of daemons.
func TestLeaseCosts(t *testing.T) {
	t.Parallel() // it counts calls over fixed times
	type calls struct{ Reads, Writes, Hosts unit.Version }
	const window = 8 * time.Second
	// settling is the time of three reads of the host list: the first lists are
	// from before the other daemons were listed.
	const settling = 8 * time.Second
	for _, n := range []int{3, 9} {
		is := is.New(t)
		p := newPool(t, n, "")
		is.NoErr(launcher.Wait(settleLimit, "holder", func() bool { return p.holder(t.Context()) >= 0 }))
		old := p.holder(t.Context())
		time.Sleep(settling)
		before, err := read[calls](t.Context(), "http://"+p.platform.Address+"/calls")
		is.NoErr(err)
		time.Sleep(window)
		after, err := read[calls](t.Context(), "http://"+p.platform.Address+"/calls")
		is.NoErr(err)
		rate := float64(after.Reads+after.Writes-before.Reads-before.Writes) / window.Seconds()
		is.True(rate <= 10) // 4 objects, 3 daemons and the holder, every 2 s, and slack for the edges
		killed := time.Now()
		p.daemons[old].Kill()
		is.NoErr(launcher.Wait(settleLimit, "new holder", func() bool { h := p.holder(t.Context()); return h >= 0 && h != old }))
		t.Logf("%d daemons: %.2f lease calls/s, %.2f host lists/s, lease taken %s after the kill", n, rate,
			float64(after.Hosts-before.Hosts)/window.Seconds(), time.Since(killed).Round(10*time.Millisecond))
	}
}
