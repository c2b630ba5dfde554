// Package daemon builds, runs and shuts down the daemon of an entry host from its
// settings.
//
// Usage:
//
//	d, err := daemon.New(settings)
//	err = d.Run(ctx)
package daemon

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"oleandercove.example/core/clock"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/acceptor"
	"oleandercove.example/oleandercove/authenticator"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/claimer"
	"oleandercove.example/oleandercove/dispatcher"
	"oleandercove.example/oleandercove/drainer"
	"oleandercove.example/oleandercove/limiter"
	"oleandercove.example/oleandercove/linker"
	"oleandercove.example/oleandercove/meter"
	"oleandercove.example/oleandercove/mover"
	"oleandercove.example/oleandercove/planner"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/router"
	"oleandercove.example/oleandercove/server"
	"oleandercove.example/oleandercove/settings"
	"oleandercove.example/oleandercove/spreader"
	"oleandercove.example/oleandercove/streamer"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/validator"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// journalCapacity bounds the events kept for explain.
	journalCapacity = 20000
	// readHeaderTimeout bounds the time for the headers of an operator's request.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the headers of an operator's request.
	maxHeaderBytes = 32 << 10
)

// Daemon is one process of an entry host.
type Daemon struct {
	settings          *settings.Settings
	log               *log.Logger
	spreader          *spreader.Spreader
	watcher           *watcher.Watcher
	server            *server.Server
	recorder          *recorder.Journal
	tracker           *tracker.Tracker
	operator          *operators
	drainer           *drainer.Drainer
	meter             *meter.Meter
	timer             timer.Service
	models            *streamer.Streamer
	platform          platform.Client
	claimer           *claimer.Claimer
	limiter           *limiter.Limiter
	sharer            *quarantiner.Sharer
	controlPlane      *linker.ControlPlane
	engineControllers *controllers
	clock             *clock.Clock
}

// New builds a daemon from its settings. It returns an error if the daemon can't
// listen for peers or can't read its certificates.
func New(s *settings.Settings) (*Daemon, error) {
	l := logger.New(logger.Options{Level: s.Log.Level, Format: s.Log.Format}).With("host", s.Host)
	t := timer.NewReal()
	m := meter.New()
	p := m.WrapPlatform(newPlatform(s, l))
	d := &Daemon{settings: s, log: l, clock: clock.New(t), drainer: newDrainer(s.Shutdown, t, l), meter: m, timer: t, platform: p}
	d.recorder = recorder.New(recorder.Options{Host: s.Host, Capacity: journalCapacity, Timer: t, Clock: d.clock})
	d.tracker = tracker.New()
	if err := d.buildControlPlane(p, t); err != nil {
		return nil, err
	}
	d.operator = d.newOperators(p, t)
	d.operator.metrics = d.Metrics()
	d.engineControllers = d.newControllers(p, t)
	d.server = d.newServer(t)
	return d, nil
}

func (d *Daemon) newServer(t timer.Service) *server.Server {
	j, k, backends := d.recorder, d.tracker, d.operator.backends
	q := d.newQuarantine(t)
	d.limiter = d.newLimiter(t)
	d.models = streamer.New(streamer.Options{
		Backends: backends, Tracker: k, Dispatcher: dispatcher.New(dispatcher.Options{SilenceLimit: d.settings.Policy.SilenceLimit.Std()}), Quarantine: q,
		Policy:   planner.NewPolicy(d.settings.Policy.Balance),
		Recorder: j, Timer: t, Log: d.log.WithPrefix("streamer"),
		Signals: d.watcher, OnRecovery: d.meter.CountRecovery, MoveLimiter: mover.NewLimiter(t), MoveLateStreams: d.settings.Streams.Move,
	})
	services, claims := d.newServices(t, k, j)
	d.claimer = claims
	h := chain.Build(router.New(d.models.Serve, services.Serve).Handle, d.meter, d.drainer, authenticator.New(d.spreader), d.limiter, validator.Filter{}, q, claims, d.newAdmission(t, backends))
	return server.New(server.Options{
		Handler: h, Catalogue: d.spreader, Recorder: j, Timer: t,
		Log: d.log.WithPrefix("server"), Ready: d.ready, CheckDraining: d.drainer.Refusal, OnDone: d.meter.CountRequest,
		BodyTimeout: d.settings.Callers.BodyTimeout.Std(),
	})
}

// ready reports whether the load balancer may send requests to this daemon.
func (d *Daemon) ready() bool { return d.spreader.Ready() && d.watcher.Ready() && d.drainer.Ready() }

// Run serves until ctx is done or an operator drains this host, then shuts down
// gracefully. It returns an error if a listener or the shutdown fails.
func (d *Daemon) Run(ctx context.Context) error {
	ln, err := acceptor.Listen(d.settings.Callers.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for callers on %s", d.settings.Callers.Listen)
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ctx, stop := d.operator.withOperatorStop(ctx)
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { d.controlPlane.Run(background) })
	wg.Go(func() { d.limiter.Run(background) })
	wg.Go(func() { d.shareCrashRecords(background) })
	d.engineControllers.run(background, &wg)
	defer wg.Wait()
	defer cancel()
	if err := d.operator.start(background, &wg); err != nil {
		return err
	}
	defer d.meter.Close()
	defer d.meter.WatchBackends(d.timer, d.operator.backends)()
	srv := acceptor.New(server.NewHTTPServer(d.closeConnections(d.server.CallerHandler()), d.settings.Callers.HeaderTimeout.Std()), ln)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve() }()
	d.log.WithPrefix("daemon").Info("serving callers", "listen", ln.Addr())
	select {
	case err := <-failed:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	d.announceDrain()
	defer d.announceLeave()
	return trace.Wrap(d.shutdown(background, srv))
}
