// Package runner assembles the parts of a daemon that routes on the platform and runs
// them until its context ends.
//
// Usage:
//
//	r, err := runner.New(settings, "router.toml")
//	err = r.Run(ctx)
package runner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/announcer"
	"oleandercove.example/oleandercove/edge/assigner"
	"oleandercove.example/oleandercove/edge/budgeter"
	"oleandercove.example/oleandercove/edge/deferrer"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/fetcher"
	"oleandercove.example/oleandercove/edge/follower"
	"oleandercove.example/oleandercove/edge/gateway"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/oleandercove/edge/observer"
	"oleandercove.example/oleandercove/edge/prioritizer"
	"oleandercove.example/oleandercove/edge/prober"
	"oleandercove.example/oleandercove/edge/rationer"
	"oleandercove.example/oleandercove/edge/reserver"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/edge/settings"
	"oleandercove.example/oleandercove/edge/surveyor"
	"oleandercove.example/oleandercove/edge/throttler"
	"oleandercove.example/oleandercove/leaser"
	"oleandercove.example/platform"
)

const (
	// leaseTerm is the term of the placement lease. After the loss of the holder's host,
	// repairs wait for the end of the term.
	leaseTerm = 2 * time.Second
	// orderLimit is the longest time that an order may take; a new holder of the lease
	// waits for it. The engine refuses an order that arrives later, because the engine's
	// sequence number has changed.
	orderLimit = 200 * time.Millisecond
	// liveHostsInterval is the time between two reads of the live daemons. It is short,
	// because the list is in memory and a rolling restart stops all candidates for the
	// lease in turn.
	liveHostsInterval = 500 * time.Millisecond
	// maxIdleConnections bounds the idle connections to one backend server.
	maxIdleConnections = 16
	// memoryLimitPercent is the share of the memory limit up to which the runtime
	// delays garbage collection.
	memoryLimitPercent = 70
	// bodyMemoryPercent is the share of the memory limit for the bodies of requests.
	bodyMemoryPercent = 30
	// fetchDialTimeout, fetchStallTimeout and maxFetchTime bound a request to a peer for its
	// configuration: the time to connect, without any byte, and for the whole answer.
	fetchDialTimeout  = 300 * time.Millisecond
	fetchStallTimeout = 500 * time.Millisecond
	maxFetchTime      = 4 * time.Second
	// maxConfiguration bounds a compressed configuration from a peer, in bytes.
	maxConfiguration = 4 << 20
	// logQueueLines is the number of log lines that are queued for a slow reader.
	logQueueLines = 1024

	// headerRevision and headerEra state the revision of a configuration; an earlier build states no
	// era.
	headerRevision = "Revision"
	headerEra      = "Era"
)

// Runner is a daemon that routes on the platform.
type Runner struct {
	settings *settings.Settings
	path     string
	log      *log.Logger
	timer    timer.Service

	directory *directory.Directory
	exchanger *exchanger.Exchanger
	follower  *follower.Follower
	announcer *announcer.Announcer
	leaser    *leaser.Leaser
	assigner  *assigner.Assigner
	gateway   *gateway.Gateway
	screener  *screener.Screener
	judge     *judge.Judge
	ledger    *ledger.Ledger
	crossings *measurer.Measurer
	surveyor  *surveyor.Surveyor
	// prioritizer decides how requests stand against each other.
	prioritizer *prioritizer.Prioritizer
	metrics     *metrics
	output      *logger.BoundedWriter

	listeners []net.Listener
	servers   []*http.Server
	// leaving is set once the load balancer must send no more connections.
	leaving atomic.Bool
}

// New returns a daemon that has opened its listeners. The path is that of its settings
// file, which is checked again when it changes. It returns an error if a listener or the
// beacon socket can't be opened.
func New(s *settings.Settings, path string) (*Runner, error) {
	runtime.GOMAXPROCS(s.Limits.Cores)
	debug.SetMemoryLimit(int64(s.Limits.MemoryMegabytes) << 20 * memoryLimitPercent / 100)
	r := &Runner{settings: s, path: path, timer: timer.NewBoot(), metrics: newMetrics()}
	r.output = logger.NewBoundedWriter(os.Stdout, s.Log.LinesPerSecond, logQueueLines)
	r.log = logger.New(logger.Options{Level: s.Log.Level, Format: "json", Output: r.output}).With("host", string(s.Host))
	if err := r.assemble(); err != nil {
		return nil, err
	}
	return r, r.listen()
}

// assemble creates the parts. Each part gets its dependencies when it is created.
func (r *Runner) assemble() error {
	s, store, engines := r.settings, platform.NewStore(platform.StoreOptions{Address: r.settings.StoreAddress}), platform.NewEngines(r.recordEngineLeaving)
	j, l := judge.New(), ledger.New()
	r.judge, r.ledger, r.crossings = j, l, measurer.New(r.metrics.scope)
	r.surveyor = surveyor.New()
	r.prioritizer = prioritizer.New(r.surveyor)
	r.directory = directory.New(r.log.WithPrefix("directory"))
	r.directory.OnReadyAgain(func(x backend.Server) { r.recheckLeaving(engines, x) })
	syncer := directory.NewSyncer(store, r.directory, r.timer, r.log.WithPrefix("directory"))
	x := exchanger.New(exchanger.Options{MaxIdle: maxIdleConnections, Identify: func(status int, h http.Header) unit.RequestID {
		return platform.DecodeResponseMetadata(status, h).Request
	}})
	r.exchanger = x
	var a *announcer.Announcer
	p := prober.New(prober.Options{
		Engines: engines, Directory: r.directory, Judge: j, Timer: r.timer, Log: r.log.WithPrefix("prober"),
		OnDown: func(id unit.BackendID) { a.NotifyDown(id) },
	})
	b := budgeter.New(budgeter.Options{
		Share: s.Bounds.RetryShare, Reserve: s.Bounds.RetryReserve, Hosts: func() int { return a.KnownHostCount() }, Timer: r.timer,
	})
	r.screener = screener.New(screener.Options{Timer: r.timer, Log: r.log.WithPrefix("screener"), FlushNow: func() { a.FlushNow() }, OnPoison: func() { r.gateway.RecheckPoison() }})
	th := throttler.New(throttler.Options{
		Self: s.Host, Live: func() []unit.HostID { return a.LiveHosts() }, Settled: func() bool { return a.Settled() }, Timer: r.timer, Log: r.log.WithPrefix("throttler"),
	})
	r.gateway = gateway.New(gateway.Options{
		Directory: r.directory, Exchanger: x, Judge: j, Ledger: l, Rerouter: engines, Prober: p, Timer: r.timer,
		Log: r.log.WithPrefix("gateway"), Meter: gateway.NewMeter(r.metrics.scope),
		Budgeter: b, Rationer: rationer.New(rationer.Options{Part: b.Part, Timer: r.timer}),
		Bodies:   reserver.New(int64(s.Limits.MemoryMegabytes) << 20 * bodyMemoryPercent / 100),
		Screener: r.screener, Deferrer: deferrer.New(), Throttler: th, OnLeaving: func() { a.FlushNow() }, Surveyor: r.surveyor, Prioritizer: r.prioritizer, Crossings: r.crossings, DataCentre: s.DataCentre,
		Bounds: gateway.ViewBounds{Keys: s.Bounds.KeyRevocation.Std(), Configuration: s.Bounds.ConfigurationApply.Std(), Servers: s.Bounds.ServerDrain.Std()},
	})
	a, err := announcer.New(announcer.Options{
		Host: s.Host, DataCentre: s.DataCentre, Address: s.BeaconAddress(), PeerAddress: s.PeerAddress(), Capacity: r.capacity(), Seeds: r.seeds(), Registry: store,
		Directory: r.directory, Judge: j, Ledger: l, Budgeter: b, Screener: r.screener, Throttler: th, Surveyor: r.surveyor, Crossings: r.crossings, Timer: r.timer, Log: r.log.WithPrefix("announcer"),
		HasServedModel: r.gateway.HasServedModel, EngineStates: r.engineStates, ProbeSuspect: p.ProbeSuspect, FetchConfiguration: fetchConfiguration,
	})
	if err != nil {
		return fmt.Errorf("opening beacon socket: %w", err)
	}
	r.announcer = a
	r.follower = follower.New(follower.Options{
		Host: s.Host, DataCentre: s.DataCentre, Capacity: r.capacity(), Crossings: r.crossings, Seed: a.IsSeed(), Settled: a.Settled, Directory: r.directory, Syncer: syncer, Peers: a.LivePeers, Timer: r.timer, Log: r.log.WithPrefix("follower"),
	})
	r.leaser = r.newLeaser(store)
	o := observer.New(observer.Options{
		Open: func(ctx context.Context, at backend.Address, closed func()) (observer.Link, error) {
			return engines.OpenLink(ctx, at, closed)
		},
		Prober: p, FlushNow: a.FlushNow, Log: r.log.WithPrefix("observer"),
	})
	r.assigner = assigner.New(assigner.Options{
		Directory: r.directory, Engines: engines, Prober: p, Observer: o, Judge: j, Ledger: l, Timer: r.timer,
		Log:        r.log.WithPrefix("assigner"),
		HoldsLease: r.holdsLease, HasServedModel: a.AnyServedModel, FlushNow: a.FlushNow,
	})
	return nil
}

func (r *Runner) newLeaser(store *platform.Store) *leaser.Leaser {
	return leaser.New(leaser.Options{
		Platform: store, Timer: r.timer, Log: r.log.WithPrefix("leaser"), Self: r.settings.Host,
		Process: r.announcer.Process(), HasStopped: r.announcer.HasStopped,
		Hosts:         r.liveHosts,
		Era:           store.Era,
		HostsInterval: liveHostsInterval,
		Shards:        1, ShardsPerObject: 1, Term: leaseTerm, OrderLimit: orderLimit,
	})
}

// errUnsettled is returned while this daemon has not run long enough to have discovered
// its peers.
var errUnsettled = errors.New("membership has not settled yet")

// liveHosts returns the live daemons, or errUnsettled.
func (r *Runner) liveHosts(context.Context) ([]unit.HostID, error) {
	if !r.announcer.Settled() {
		return nil, errUnsettled
	}
	return r.announcer.LiveHosts(), nil
}

// holdsLease reports whether this daemon holds the placement lease now.
func (r *Runner) holdsLease() bool {
	_, err := r.leaser.Check(0)
	return err == nil
}

// engineStates returns the states of the engines for beacons.
func (r *Runner) engineStates() []announcer.EngineState {
	states := r.assigner.States()
	out := make([]announcer.EngineState, 0, len(states))
	for _, s := range states {
		out = append(out, announcer.EngineState{Server: s.Server, Slowdown: s.Slowdown, Held: s.Held, Kept: s.Kept})
	}
	return out
}

// capacity returns what this host can carry for other daemons.
func (r *Runner) capacity() follower.Capacity {
	l := r.settings.Limits
	return follower.NewCapacity(float64(l.Cores)*l.ProcessorShare, l.LinkMegabits)
}

// seeds returns the beacon addresses on the hosts of the seeds: all daemons use the
// same ports. Invalid seeds are logged and left out.
func (r *Runner) seeds() []string {
	var out []string
	for _, seed := range r.settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			r.log.Warn("seed address is invalid", "seed", seed, "err", err)
			continue
		}
		out = append(out, net.JoinHostPort(host, strconv.Itoa(r.settings.PeerPorts[0])))
	}
	return out
}

// configurations requests the configurations of other daemons.
var configurations = fetcher.New(fetcher.Options{
	Dial: fetchDialTimeout, FirstByte: fetchStallTimeout, Stall: fetchStallTimeout, Total: maxFetchTime, MaxBytes: maxConfiguration,
})

// fetchConfiguration fetches the compressed configuration of a peer and its revision. It blocks
// until the whole answer, as long as bytes arrive and at most for maxFetchTime.
func fetchConfiguration(ctx context.Context, address string) (unit.Revision, []byte, error) {
	a, err := configurations.Get(ctx, "http://"+address+configurationPath)
	if err != nil {
		return unit.Revision{}, nil, err
	}
	number, err := strconv.ParseUint(a.Header.Get(headerRevision), 10, 64)
	era, eraErr := strconv.ParseUint(cmp.Or(a.Header.Get(headerEra), "0"), 10, 64)
	return unit.Revision{Era: unit.Era(era), Number: number}, a.Body, errors.Join(err, eraErr)
}

// Run serves until ctx is done and then shuts down gracefully, or until a listener
// fails. It returns the error of the listener.
func (r *Runner) Run(ctx context.Context) error {
	r.log.Info("started", "version", Version, "data_centre", r.settings.DataCentre, "callers", r.settings.Listen.Callers)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopCleanup := r.timer.Subscribe(exchanger.CleanupInterval, func(time.Time) { r.exchanger.CloseUnusable() })
	defer stopCleanup()
	var wg conc.WaitGroup
	wg.Go(func() { r.follower.Run(background) })
	wg.Go(func() { r.announcer.Run(background) })
	control, stopControl := context.WithCancel(ctx)
	defer stopControl()
	var controllers conc.WaitGroup
	controllers.Go(func() { r.leaser.Run(control) })
	controllers.Go(func() { r.assigner.Run(control) })
	wg.Go(func() { r.watchSettings(background) })
	defer r.reportExcludedServers()()
	failed := r.serve()
	var err error
	select {
	case <-ctx.Done():
		r.shutDown(stopControl, &controllers)
	case err = <-failed:
		r.log.Error("listener failed", "err", err)
	}
	cancel()
	r.metrics.close()
	r.log.Info("stopped", "err", err)
	r.output.Close()
	return err
}
