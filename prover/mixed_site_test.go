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
	// refreshInterval is how often the rows of the backend servers are refreshed.
	refreshInterval = time.Second
)

// span is a time during which a daemon was not serving normally.
type span struct {
	from, to time.Time
	// abrupt is false for a graceful shutdown, which may cut nothing.
	abrupt bool
}

// mixed is a site whose links all go through proxies, except the callers' own.
type mixed struct {
	*site
	t       *testing.T
	client  invoker.Client
	timer   *timer.Real
	engines []*launcher.Process
	workers []*launcher.Process
	// Proxies in front of engines, workers, the peer listeners of the daemons,
	// and between each daemon and the platform.
	engineLinks, workerLinks, peerLinks, stores []*faulter.Proxy

	stateMu sync.Mutex
	busy    map[any]bool
	spans   map[int][]span
}

// newMixed starts the site of a seed; even seeds use all engines in turn, so
// that a fault of any engine hits streams.
func newMixed(t *testing.T, seed uint64) *mixed {
	m := &mixed{
		site: &site{
			Launcher: launcher.New("../bin", t.TempDir()), refused: map[verdict.Verdict]int{},
			history: map[catalogue.Key]map[unit.Version]catalogue.Change{patched: {}, replaced: {}},
		},
		t: t, timer: timer.NewReal(),
		busy: map[any]bool{}, spans: map[int][]span{},
		// Reused connections would blur the line between a call that was never
		// sent and one that was cut.
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
	is.NoErr(launcher.Wait(settleLimit, "site in service", func() bool { return m.recovered(t.Context()) }))
	return m
}

// proxy puts a proxy in front of an address.
func (m *mixed) proxy(name, upstream string) *faulter.Proxy {
	p, err := faulter.New(name, upstream)
	is.New(m.t).NoErr(err)
	m.t.Cleanup(p.Close)
	return p
}

// addEngine starts two engines for each stage; a seventh one is a spare of the
// last stage.
func (m *mixed) addEngine(i int) {
	stage := min(i/2, 2)
	id := fmt.Sprintf("engine-%d", i)
	// An empty platform keeps the engine from listing its own address.
	e, err := m.Engine(launcher.EngineSpec{
		ID: id, DataCentre: "dc-a", Model: modelName, Kind: "a", Layers: layers,
		From: stage * 4, To: stage*4 + 4, LayerTime: 500 * time.Microsecond,
		Flags: []string{"--platform", ""},
	})
	is.New(m.t).NoErr(err)
	link := m.proxy(id, e.Address)
	m.engines, m.engineLinks = append(m.engines, e), append(m.engineLinks, link)
	m.keepListed(e, platform.Host{ID: id, Role: platform.RoleEngine, Address: link.Address, DataCentre: "dc-a", State: platform.HostLive, Serves: modelName})
}

func (m *mixed) addWorker(i int) {
	id := fmt.Sprintf("logbook-%d", i)
	w, err := m.BareService(id, "--delay", "3ms")
	is.New(m.t).NoErr(err)
	link := m.proxy(id, w.Address)
	m.workers, m.workerLinks = append(m.workers, w), append(m.workerLinks, link)
	m.keepListed(w, platform.Host{ID: id, Role: platform.RoleService, Address: link.Address, DataCentre: "dc-a", State: platform.HostLive, Serves: replaced.Name})
}

func (m *mixed) addDaemon(i int) {
	id := fmt.Sprintf("entry-%d", i)
	store := m.proxy(id+"-platform", m.platform.Address)
	d, err := m.LinkedDaemon(id, "dc-a", store.Address, func(upstream string) (string, error) {
		p := m.proxy(id+"-peers", upstream)
		m.peerLinks = append(m.peerLinks, p)
		return p.Address, nil
	})
	is.New(m.t).NoErr(err)
	m.daemons, m.stores = append(m.daemons, d), append(m.stores, store)
}

// keepListed keeps the row of a backend server fresh while its process lives.
func (m *mixed) keepListed(p *launcher.Process, row platform.Host) {
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

// disturbed tells whether a daemon was not serving normally at some moment
// between two times.
func (m *mixed) disturbed(daemon int, from, to time.Time, abrupt bool) bool {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	for _, s := range m.spans[daemon] {
		if (s.abrupt || !abrupt) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// recovered tells whether a fresh stream, booking and edit succeed on every
// daemon.
func (m *mixed) recovered(ctx context.Context) bool {
	for i := range m.daemons {
		if !m.fresh(ctx, i) {
			return false
		}
	}
	return true
}
