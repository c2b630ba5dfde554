package prover_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/oleanderfake/storer"
	"oleandercove.example/prover/cluster"
	"oleandercove.example/prover/launcher"
)

const (
	// peerLimit bounds each wait in the tests of peers.
	peerLimit = 30 * time.Second
	// removalLimit is the time within which a killed daemon must be out of the membership of
	// every peer, and a leaving backend server hidden on every daemon.
	removalLimit = 3 * time.Second
)

// fleet is a platform and daemons in three data centres, without backend servers.
type fleet struct {
	*launcher.Launcher
	platform *launcher.Process
	daemons  []*launcher.Process
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{Launcher: launcher.New("../bin", t.TempDir())}
	t.Cleanup(f.Close)
	var err error
	f.platform, err = f.Platform()
	is.NoErr(err)
	is.NoErr(f.PutAccount(t.Context(), account))
	for range n {
		is.NoErr(f.addDaemon())
	}
	is.NoErr(launcher.Wait(peerLimit, "full membership", func() bool { return f.hasFullView(time.Time{}) }))
	return f
}

func (f *fleet) addDaemon() error {
	n := len(f.daemons)
	d, err := f.Daemon(fmt.Sprintf("entry-%d", n), fmt.Sprintf("dc-%c", 'a'+n%3))
	f.daemons = append(f.daemons, d)
	return err
}

// hasFullView reports whether, after the time since, every daemon last logged every other
// daemon as alive.
func (f *fleet) hasFullView(since time.Time) bool {
	for _, a := range f.daemons {
		views := f.stateChanges(a.Name, since)
		for _, b := range f.daemons {
			if a != b && (len(views[b.Name]) == 0 || views[b.Name][len(views[b.Name])-1].state != "alive") {
				return false
			}
		}
	}
	return true
}

// stateChange is a change of a member's state that a daemon logged.
type stateChange struct {
	at    time.Time
	state string
}

// stateChanges returns the changes that a daemon logged after a time, in order, by member.
func (f *fleet) stateChanges(daemon string, since time.Time) map[string][]stateChange {
	out := map[string][]stateChange{}
	data, _ := os.ReadFile(filepath.Join(f.Dir, daemon+".log"))
	for s := bufio.NewScanner(bytes.NewReader(data)); s.Scan(); {
		line := s.Text()
		if !strings.Contains(line, "member changed state") {
			continue
		}
		fields := map[string]string{}
		for _, w := range strings.Fields(line) {
			if k, v, ok := strings.Cut(w, "="); ok {
				fields[k] = v
			}
		}
		at, err := time.Parse(time.RFC3339Nano, strings.Fields(line)[0])
		if err == nil && at.After(since) {
			out[fields["member"]] = append(out[fields["member"]], stateChange{at, fields["state"]})
		}
	}
	return out
}

// declaredDeadAt returns when a daemon first declared another one dead after a time, and
// whether it did.
func (f *fleet) declaredDeadAt(daemon, victim string, since time.Time) (time.Time, bool) {
	for _, v := range f.stateChanges(daemon, since)[victim] {
		if v.state == "dead" {
			return v.at, true
		}
	}
	return time.Time{}, false
}

func (f *fleet) setFaults(t *testing.T, faults storer.Faults) {
	t.Helper()
	is := is.New(t)
	body, err := json.Marshal(faults)
	is.NoErr(err)
	res, err := http.Post("http://"+f.platform.Address+"/faults", "application/json", bytes.NewReader(body))
	is.NoErr(err)
	res.Body.Close()
}

// acceptsToken reports whether a daemon accepts the token of an account.
func acceptsToken(d *launcher.Process, account string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.Address+"/v1/models", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+launcher.Token(account))
	c := http.Client{Timeout: time.Second}
	res, err := c.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

// Guards against a killed daemon that stays in a peer's membership for longer than 3 s, and
// against one that is declared dead when it is paused for 1.5 s.
func TestKilledDaemon(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9)
	var took []time.Duration
	for round := range 4 {
		victim := f.daemons[(round*2+1)%9]
		start := time.Now()
		victim.Kill()
		for _, d := range f.daemons {
			if d == victim {
				continue
			}
			var at time.Time
			is.NoErr(launcher.Wait(peerLimit, "removal of "+victim.Name+" at "+d.Name, func() (ok bool) {
				at, ok = f.declaredDeadAt(d.Name, victim.Name, start)
				return ok
			}))
			took = append(took, at.Sub(start))
		}
		restartedAt := time.Now()
		is.NoErr(victim.Restart())
		is.NoErr(launcher.Wait(peerLimit, "rejoining of "+victim.Name, func() bool {
			for _, d := range f.daemons {
				v := f.stateChanges(d.Name, restartedAt)[victim.Name]
				if d != victim && (len(v) == 0 || v[len(v)-1].state != "alive") {
					return false
				}
			}
			return len(f.stateChanges(victim.Name, restartedAt)) >= 8
		}))
	}
	t.Logf("killed daemon removed from %d memberships: p50 %s, max %s", len(took), quantile(took, 0.5), quantile(took, 1))
	is.True(quantile(took, 1) <= removalLimit)

	deaths, start := 0, time.Now()
	for round := range 4 {
		d := f.daemons[round*2]
		is.NoErr(d.Pause())
		<-time.After(1500 * time.Millisecond)
		is.NoErr(d.Resume())
		<-time.After(1500 * time.Millisecond)
	}
	for _, a := range f.daemons {
		for _, vs := range f.stateChanges(a.Name, start) {
			for _, v := range vs {
				if v.state == "dead" {
					deaths++
				}
			}
		}
	}
	t.Logf("daemons wrongly declared dead after 4 pauses of 1.5 s: %d", deaths)
	is.Equal(deaths, 0)
}

// Guards against a catalogue change that takes longer than 2 s (p99) until all 9 daemons
// apply it.
func TestChangeReachesAllDaemons(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9)
	const edits = 200
	var took []time.Duration
	for n := range edits {
		name := fmt.Sprintf("crew-%d", n)
		is.NoErr(f.PutAccount(t.Context(), name))
		accepted := time.Now()
		var wg sync.WaitGroup
		for _, d := range f.daemons {
			wg.Go(func() {
				_ = launcher.WaitEvery(time.Millisecond, peerLimit, "change", func() bool { return acceptsToken(d, name) })
			})
		}
		wg.Wait()
		took = append(took, time.Since(accepted))
	}
	t.Logf("change applied on 9 daemons, %d edits: p50 %s, p99 %s, max %s", edits,
		quantile(took, 0.5), quantile(took, 0.99), quantile(took, 1))
	is.True(quantile(took, 0.99) <= 2*time.Second)
	is.True(f.countWatches(t) <= 2*3*2+9)
}

// countWatches returns the number of watches that the platform received within 10 s, the
// length of one watch: two daemons in each of three data centres hold one.
func (f *fleet) countWatches(t *testing.T) uint64 {
	t.Helper()
	calls := func() (c storer.Calls) {
		res, err := http.Get("http://" + f.platform.Address + "/calls")
		is.New(t).NoErr(err)
		defer res.Body.Close()
		is.New(t).NoErr(json.NewDecoder(res.Body).Decode(&c))
		return c
	}
	before := calls()
	<-time.After(10 * time.Second)
	after := calls()
	t.Logf("platform calls of 9 daemons in 10 s: watches %d, host lists %d, reads %d",
		after.Watches-before.Watches, after.Hosts-before.Hosts, after.Reads-before.Reads)
	return after.Watches - before.Watches
}

// Guards against a daemon that can't start while the platform is down, and against the loss
// of a change that was accepted before the outage, which happens on restarted, paused or
// cut-off daemons.
func TestStartDuringOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	paused, killed := f.daemons[1], f.daemons[2]
	is.NoErr(paused.Pause())
	is.NoErr(f.changeToken(t, account, "second"))
	running := func(except *launcher.Process) []*launcher.Process {
		return slices.DeleteFunc(slices.Clone(f.daemons), func(d *launcher.Process) bool { return d == except })
	}
	hasChange := func(d *launcher.Process) bool { return acceptsToken(d, "second") && !acceptsToken(d, account) }
	all := func(ds []*launcher.Process) func() bool {
		return func() bool { return !slices.ContainsFunc(ds, func(d *launcher.Process) bool { return !hasChange(d) }) }
	}
	is.NoErr(launcher.Wait(peerLimit, "change on running daemons", all(running(paused))))
	f.setFaults(t, storer.Faults{Down: true})
	killed.Kill()
	is.NoErr(killed.Restart())
	is.NoErr(paused.Resume())
	is.NoErr(f.addDaemon())
	is.NoErr(launcher.Wait(peerLimit, "change on all daemons during the outage", all(f.daemons)))
	fresh := f.daemons[len(f.daemons)-1]
	is.NoErr(launcher.WaitHTTP("http://"+fresh.Address+"/readyz", peerLimit))
	for _, d := range f.daemons {
		is.True(!acceptsToken(d, account)) // the token from before the change
	}
	f.setFaults(t, storer.Faults{})
	<-time.After(2 * time.Second)
	is.True(all(f.daemons)())
}

// changeToken writes a new token for an account to the platform; it returns an error if the
// write isn't accepted.
func (f *fleet) changeToken(t *testing.T, account, token string) error {
	t.Helper()
	c := platform.NewClient(platform.Options{Address: f.platform.Address})
	o, err := c.Get(t.Context(), platform.KindEntry, "Account."+account)
	if err != nil {
		return err
	}
	e, err := catalogue.Decode(o.Value, o.Version)
	if err != nil {
		return err
	}
	e.Account.TokenHash = launcher.TokenHash(token)
	v, err := catalogue.Encode(e)
	if err != nil {
		return err
	}
	_, err = c.Put(t.Context(), platform.KindEntry, "Account."+account, o.Version, v)
	return err
}

// Guards against a leaving backend server that some daemon still offers for new work 3 s
// after the server began to leave.
func TestLeavingBackend(t *testing.T) {
	is := is.New(t)
	c, err := cluster.Start(t.Context(), cluster.Options{Daemons: 9, DataCentres: 3, Regions: 1, Backends: 12})
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.WaitSettled(peerLimit))
	var took []time.Duration
	for n := range 12 {
		id := fmt.Sprintf("engine-%d", n)
		start := time.Now()
		c.Drain(id)
		is.NoErr(launcher.WaitEvery(time.Millisecond, peerLimit, id+" hidden on all daemons", func() bool {
			for _, d := range c.Daemons {
				for _, b := range d.Watcher.Backends() {
					if string(b.ID) == id && b.Usable() {
						return false
					}
				}
			}
			return true
		}))
		took = append(took, time.Since(start))
	}
	t.Logf("leaving backend server hidden on 9 daemons: p50 %s, max %s", quantile(took, 0.5), quantile(took, 1))
	is.True(quantile(took, 1) <= removalLimit)
}
