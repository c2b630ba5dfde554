package prover_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderfake/registrar"
	"oleandercove.example/prover/faulter"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

const (
	mixedDaemons = 3
	mixedEngines = 7
	mixedWorkers = 2
	// refreshInterval is the time between two registrations of a backend server.
	refreshInterval = time.Second
)

// outage is a time during which a daemon wasn't serving normally; to is zero until its end.
type outage struct {
	from, to time.Time
	// abrupt is false for a graceful shutdown, which must not cut any answer.
	abrupt bool
}

// mixedSite is a site whose links all go through proxies, except those of the callers.
type mixedSite struct {
	*site
	t       *testing.T
	client  invoker.Client
	timer   *timer.Real
	engines []*launcher.Process
	workers []*launcher.Process
	// Proxies in front of engines, workers and the peer listeners of the daemons, and between
	// each daemon and the platform.
	engineLinks, workerLinks, peerLinks, platformLinks []*faulter.Proxy

	stateMu sync.Mutex
	busy    map[any]bool
	outages map[int][]outage
}

// newMixedSite starts the site of a seed. Sites of even seeds balance by round-robin, so
// that a fault of any engine affects streams.
func newMixedSite(t *testing.T, seed uint64) *mixedSite {
	m := &mixedSite{
		site: &site{
			Launcher: launcher.New("../bin", t.TempDir()), refusals: map[verdict.Verdict]int{},
			history: map[catalogue.Key]map[unit.Version]catalogue.Change{patchedKey: {}, replacedKey: {}},
		},
		t: t, timer: timer.NewReal(),
		busy: map[any]bool{}, outages: map[int][]outage{},
		// With reused connections a call that was never sent couldn't be distinguished from
		// one that was cut.
		client: invoker.Client{Token: launcher.Token(account), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
	}
	is := is.New(t)
	t.Cleanup(m.Close)
	m.DaemonSettings = "\n[Shutdown]\nBalancerDelay = \"300ms\"\nLimit = \"10s\"\n"
	if seed%2 == 0 {
		m.DaemonSettings += "\n[Policy]\nBalance = \"round-robin\"\n"
	}
	var err error
	m.platform, err = m.Platform()
	is.NoErr(err)
	createEntries(t, m.Launcher)
	for i := range mixedEngines {
		m.addEngine(i)
	}
	for i := range mixedWorkers {
		m.addWorker(i)
	}
	for i := range mixedDaemons {
		m.addDaemon(i)
	}
	is.NoErr(launcher.Wait(settleLimit, "site in service", func() bool { return m.allServe(t.Context()) }))
	return m
}

// proxy puts a proxy in front of an address.
func (m *mixedSite) proxy(name, upstream string) *faulter.Proxy {
	p, err := faulter.New(name, upstream)
	is.New(m.t).NoErr(err)
	m.t.Cleanup(p.Close)
	return p
}

// addEngine starts engine i: two for each stage, and a seventh as a spare of the last
// stage.
func (m *mixedSite) addEngine(i int) {
	stage := min(i/2, 2)
	id := fmt.Sprintf("engine-%d", i)
	// Without a platform the engine can't register its own address instead of its proxy's.
	e, err := m.Engine(launcher.EngineSpec{
		ID: id, DataCentre: "dc-a", Model: modelName, Kind: "a", Layers: layers,
		From: stage * 4, To: stage*4 + 4, LayerTime: 500 * time.Microsecond,
		Flags: []string{"--platform", ""},
	})
	is.New(m.t).NoErr(err)
	link := m.proxy(id, e.Address)
	m.engines, m.engineLinks = append(m.engines, e), append(m.engineLinks, link)
	m.keepRegistered(e, platform.Host{ID: id, Role: platform.RoleEngine, Address: link.Address, DataCentre: "dc-a", State: platform.HostLive, Serves: modelName})
}

func (m *mixedSite) addWorker(i int) {
	id := fmt.Sprintf("logbook-%d", i)
	w, err := m.UnregisteredService(id, "--delay", "3ms")
	is.New(m.t).NoErr(err)
	link := m.proxy(id, w.Address)
	m.workers, m.workerLinks = append(m.workers, w), append(m.workerLinks, link)
	m.keepRegistered(w, platform.Host{ID: id, Role: platform.RoleService, Address: link.Address, DataCentre: "dc-a", State: platform.HostLive, Serves: replacedKey.Name})
}

func (m *mixedSite) addDaemon(i int) {
	id := fmt.Sprintf("entry-%d", i)
	platformLink := m.proxy(id+"-platform", m.platform.Address)
	d, err := m.LinkedDaemon(id, "dc-a", platformLink.Address, func(upstream string) (string, error) {
		p := m.proxy(id+"-peers", upstream)
		m.peerLinks = append(m.peerLinks, p)
		return p.Address, nil
	})
	is.New(m.t).NoErr(err)
	m.daemons, m.platformLinks = append(m.daemons, d), append(m.platformLinks, platformLink)
}

// keepRegistered registers a backend server every refreshInterval while its process runs.
func (m *mixedSite) keepRegistered(p *launcher.Process, row platform.Host) {
	ctx, cancel := context.WithCancel(context.Background())
	m.t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			if !p.Exited() {
				registrar.Register(ctx, m.platform.Address, row)
			}
			select {
			case <-m.timer.After(refreshInterval):
			case <-ctx.Done():
			}
		}
	}()
}

// inOutage reports whether an outage of a daemon overlaps the time between from and to; with
// abrupt, graceful shutdowns don't count.
func (m *mixedSite) inOutage(daemon int, from, to time.Time, abrupt bool) bool {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	for _, s := range m.outages[daemon] {
		if (s.abrupt || !abrupt) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// allServe reports whether a new stream, booking and edit succeed at every daemon.
func (m *mixedSite) allServe(ctx context.Context) bool {
	for i := range m.daemons {
		if !m.serves(ctx, i) {
			return false
		}
	}
	return true
}
