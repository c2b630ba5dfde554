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

// shortLease makes leases expire fast enough for several takeovers in a test.
const shortLease = `
[Controllers]
Lease = "1500ms"
OrderLimit = "500ms"
`

// pool is a site with two engines for each of two stages, whose daemons are on the
// platform's host list. version is the newest version of the model.
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
	is.NoErr(p.PutEntry(t.Context(), &catalogue.Entry{
		Kind: patchedKey.Kind, Name: patchedKey.Name, Owner: "team", Class: catalogue.ClassStandard,
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
		is.NoErr(p.registerHost(t.Context(), platform.Host{ID: id, Role: platform.RoleEntry, State: platform.HostLive}))
		d, err := p.Daemon(id, "dc-a")
		is.NoErr(err)
		p.daemons = append(p.daemons, d)
	}
	return p
}

// leaseHolder returns the index of the daemon that holds the lease of the engines, or -1.
func (p *pool) leaseHolder(ctx context.Context) int {
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

// editVersion sets the next version of the model through one daemon.
func (p *pool) editVersion(ctx context.Context, daemon int) error {
	p.version++
	body := api.EntryPatch{Set: []catalogue.FieldEdit{{Field: "Model.Version", Value: json.RawMessage(fmt.Sprintf(`"v%d"`, p.version))}}}
	return p.operator(daemon, "ann").Edit(ctx, http.MethodPatch, entryPath(patchedKey), nil, body, &api.EditAccepted{})
}

// fetchJSON returns the decoded body of a GET request.
func fetchJSON[T any](ctx context.Context, url string) (v T, err error) {
	res, err := invoker.Client{}.Do(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return v, err
	}
	defer res.Body.Close()
	return v, json.NewDecoder(res.Body).Decode(&v)
}

// allOnNewest reports whether every engine itself reports the newest version, and none loads
// or drains.
func (p *pool) allOnNewest(ctx context.Context) bool {
	for _, e := range p.engines {
		s, err := fetchJSON[engine.Status](ctx, "http://"+e.Address+"/v1/status")
		if err != nil || s.Loading != nil || s.Draining || s.Version != fmt.Sprint("v", p.version) {
			return false
		}
	}
	return true
}

// countReversions counts, over all engines, the applied orders for an older version than one
// applied before, and the orders that were refused as stale.
func (p *pool) countReversions(t *testing.T) (reverted, stale int) {
	for _, e := range p.engines {
		records, err := fetchJSON[[]engine.OrderRecord](t.Context(), "http://"+e.Address+"/orders")
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

// resendOldOrder sends the first load order to an engine again, as if it had been delayed in
// the network.
func (p *pool) resendOldOrder(t *testing.T) {
	is := is.New(t)
	records, err := fetchJSON[[]engine.OrderRecord](t.Context(), "http://"+p.engines[0].Address+"/orders")
	is.NoErr(err)
	i := slices.IndexFunc(records, func(r engine.OrderRecord) bool { return r.Order.Kind == engine.OrderLoad })
	is.True(i >= 0)
	body, err := json.Marshal(records[i].Order)
	is.NoErr(err)
	res, err := invoker.Client{}.Do(t.Context(), http.MethodPost, "http://"+p.engines[0].Address+"/v1/orders", body, nil)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
}

// Guards against engines that return to an old version, which happens when a daemon is paused
// with orders to send and resumes after another daemon took its lease; and against a
// delayed order whose effect stays.
func TestPausedLeaseHolder(t *testing.T) {
	t.Parallel() // most of its time is waiting for leases to expire
	rows := []struct {
		name  string
		flags []string
		// reversions is the number of reversions that the delayed order causes.
		reversions int
	}{
		{"engines that check the fencing token revert", nil, 0},
		{"engines that ignore the fencing token stay reverted", []string{"--ignore-fence"}, 1},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newPool(t, 3, shortLease, r.flags...)
			random := rand.New(rand.NewPCG(1, 2))
			for round := range 4 {
				is.NoErr(launcher.Wait(settleLimit, "lease holder", func() bool { return p.leaseHolder(t.Context()) >= 0 }))
				old := p.leaseHolder(t.Context())
				other := (old + 1) % len(p.daemons)
				if round%2 == 1 { // orders of the old holder wait in the engine's socket
					is.NoErr(p.engines[0].Pause())
				}
				is.NoErr(p.editVersion(t.Context(), other))
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond) // any point of the roll-out
				is.NoErr(p.daemons[old].Pause())
				is.NoErr(p.editVersion(t.Context(), other))
				is.NoErr(p.engines[0].Resume())
				is.NoErr(launcher.Wait(settleLimit, "newest version", func() bool { return p.allOnNewest(t.Context()) }))
				is.True(p.leaseHolder(t.Context()) != old)
				is.NoErr(p.daemons[old].Resume())
				p.requireNewest(t, 3*time.Second)
			}
			before, _ := p.countReversions(t)
			is.Equal(before, 0)
			p.resendOldOrder(t)
			is.NoErr(launcher.Wait(settleLimit, "newest version", func() bool { return p.allOnNewest(t.Context()) }))
			p.requireNewest(t, 2*time.Second)
			after, stale := p.countReversions(t)
			is.Equal(after, r.reversions)
			t.Logf("reversions by resumed lease holders %d, by a delayed order %d; refused as stale %d", before, after, stale)
		})
	}
}

// requireNewest fails the test if an engine leaves the newest version within d.
func (p *pool) requireNewest(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !p.allOnNewest(t.Context()) {
			t.Fatal("an engine left the newest version")
		}
	}
}

// Guards against drain marks for which no order reaches the engine, and against engines that
// stay drained after the mark is cancelled.
func TestDrainMark(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2, shortLease)
	for _, cancel := range []bool{false, true} {
		body := api.DrainRequest{Target: "engine-0", Cancel: cancel}
		is.NoErr(launcher.Wait(settleLimit, "drain request accepted", func() bool {
			return p.operator(0, "ann").Edit(t.Context(), http.MethodPost, "/v1/drain", nil, body, &api.DrainAccepted{}) == nil
		}))
		is.NoErr(launcher.Wait(settleLimit, "order at the engine", func() bool {
			s, err := fetchJSON[engine.Status](t.Context(), "http://"+p.engines[0].Address+"/v1/status")
			return err == nil && s.Draining != cancel
		}))
	}
	records, err := fetchJSON[[]engine.OrderRecord](t.Context(), "http://"+p.engines[0].Address+"/orders")
	is.NoErr(err)
	is.Equal(len(records), 2) // no order is repeated
	is.Equal([]engine.OrderKind{records[0].Order.Kind, records[1].Order.Kind}, []engine.OrderKind{engine.OrderDrain, engine.OrderResume})
	is.True(records[0].Order.Fence > 0)
	is.NoErr(launcher.Wait(settleLimit, "events of both marks and both orders", func() bool {
		return p.countEvents(t.Context(), "backend:engine-0", recorder.DecisionEdit) == 2 &&
			p.countEvents(t.Context(), "backend:engine-0", recorder.DecisionOrder) == 2
	}))
}

// countEvents counts the events about subject with one decision on all daemons, or returns -1
// if a daemon doesn't answer.
func (p *pool) countEvents(ctx context.Context, subject, decision string) int {
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

// Guards against a lease that stays with a killed daemon, and against platform calls that
// grow with the number of daemons.
func TestLeaseCosts(t *testing.T) {
	t.Parallel() // it counts calls over fixed times
	type calls struct{ Reads, Writes, Hosts unit.Version }
	const window = 8 * time.Second
	// settling covers three reads of the host list, because the first ones lack the daemons
	// that were listed later.
	const settling = 8 * time.Second
	for _, n := range []int{3, 9} {
		is := is.New(t)
		p := newPool(t, n, "")
		is.NoErr(launcher.Wait(settleLimit, "lease holder", func() bool { return p.leaseHolder(t.Context()) >= 0 }))
		old := p.leaseHolder(t.Context())
		time.Sleep(settling)
		before, err := fetchJSON[calls](t.Context(), "http://"+p.platform.Address+"/calls")
		is.NoErr(err)
		time.Sleep(window)
		after, err := fetchJSON[calls](t.Context(), "http://"+p.platform.Address+"/calls")
		is.NoErr(err)
		rate := float64(after.Reads+after.Writes-before.Reads-before.Writes) / window.Seconds()
		is.True(rate <= 10) // 4 objects, 3 daemons and the lease holder, every 2 s, and a margin for the edges of the window
		killed := time.Now()
		p.daemons[old].Kill()
		is.NoErr(launcher.Wait(settleLimit, "new lease holder", func() bool { h := p.leaseHolder(t.Context()); return h >= 0 && h != old }))
		t.Logf("%d daemons: %.2f lease calls/s, %.2f host lists/s, lease taken %s after the kill", n, rate,
			float64(after.Hosts-before.Hosts)/window.Seconds(), time.Since(killed).Round(10*time.Millisecond))
	}
}
