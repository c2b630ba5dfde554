package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/dumper"
	"oleandercove.example/oleandercove/editor"
	"oleandercove.example/oleandercove/marker"
	"oleandercove.example/oleandercove/operator"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// maxDumpedEvents bounds the recorded events in a dump.
	maxDumpedEvents = 1000
	// operatorReadTimeout bounds the time for reading an operator's request.
	operatorReadTimeout = 10 * time.Second
)

// operators is the part of the daemon that serves operators.
type operators struct {
	daemon *Daemon
	marker *marker.Marker
	// backends lists the backend servers with the operators' drain marks applied.
	backends watcher.Backends
	dumper   *dumper.Registry
	editor   *editor.Writer
	platform platform.Client
	// metrics serves GET /metrics; if nil, the path answers with status 404.
	metrics http.Handler
	// stopped is done once an operator drains this host.
	stopped context.Context
	stop    context.CancelFunc
}

func (d *Daemon) newOperators(p platform.Client, t timer.Service) *operators {
	o := &operators{daemon: d, platform: p}
	o.stopped, o.stop = context.WithCancel(context.Background())
	o.marker = marker.New(marker.Options{
		Platform: p, Timer: t, Log: d.log.WithPrefix("marker"), Self: d.settings.Host, Stop: o.stop,
	})
	o.backends = o.marker.WithMarks(d.watcher)
	o.editor = editor.New(editor.Options{Platform: p, Timer: t, Log: d.log.WithPrefix("editor"), OnWritten: o.mergeEdit})
	o.dumper = dumper.New(dumper.Options{Host: d.settings.Host, Timer: t, Secrets: []string{d.settings.Operators.Token}})
	o.dumper.Register("spreader", o.dumpEntries)
	o.dumper.Register("watcher", func() any { return d.watcher.Backends() })
	o.dumper.Register("tracker", o.dumpInFlight)
	o.dumper.Register("marker", func() any { return o.marker.List() })
	o.dumper.Register("recorder", func() any { return d.recorder.Recent(maxDumpedEvents) })
	return o
}

// mergeEdit applies an accepted edit at once on this daemon. It leaves an empty
// catalogue unchanged, because a single entry would make the daemon ready.
func (o *operators) mergeEdit(e *catalogue.Entry) {
	if o.daemon.spreader.Ready() {
		o.daemon.spreader.Merge([]*catalogue.Entry{e})
	}
}

func (o *operators) dumpEntries() any {
	var out []api.EntryView
	for _, k := range []catalogue.Kind{catalogue.KindAccount, catalogue.KindModel, catalogue.KindService} {
		for _, e := range o.daemon.spreader.List(k) {
			out = append(out, api.EntryView{Version: e.Version, Entry: *e})
		}
	}
	return out
}

// inFlight is the number of this daemon's requests in flight on a backend server.
type inFlight struct {
	Backend  unit.BackendID
	InFlight int
}

func (o *operators) dumpInFlight() any {
	var out []inFlight
	for _, b := range o.daemon.watcher.Backends() {
		out = append(out, inFlight{Backend: b.ID, InFlight: o.daemon.tracker.InFlight(b.ID)})
	}
	return out
}

// withOperatorStop returns a context that is also canceled when an operator drains
// this host.
func (o *operators) withOperatorStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(o.stopped, cancel)
	return ctx, func() { release(); cancel() }
}

// start starts the watch on drain marks and, if an address is set, the listener
// for operators. Both run until ctx is done, so that operators can follow a
// graceful shutdown.
func (o *operators) start(ctx context.Context, wg *conc.WaitGroup) error {
	wg.Go(func() { o.marker.Run(ctx) })
	s := o.daemon.settings.Operators
	if s.Listen == "" {
		return nil
	}
	if s.Token == "" {
		return trace.BadParameter("Operators.Token is required when Operators.Listen is set")
	}
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for operators on %s", s.Listen)
	}
	srv := &http.Server{
		Handler: o.handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: operatorReadTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	l := o.daemon.log.WithPrefix("operator")
	wg.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			l.Error("listener for operators failed", "err", err)
		}
	})
	wg.Go(func() {
		<-ctx.Done()
		_ = srv.Close()
	})
	l.Info("serving operators", "listen", ln.Addr())
	return nil
}

func (o *operators) handler() http.Handler {
	d := o.daemon
	return operator.New(operator.Options{
		Host: d.settings.Host, Token: d.settings.Operators.Token, Catalogue: d.spreader, Editor: o.editor,
		Backends: o.backends, Tracker: d.tracker, Recorder: d.recorder, Dumper: o.dumper, Marks: o.marker,
		Hosts: o.platform.Hosts, Metrics: o.metrics, Log: d.log.WithPrefix("operator"),
	}).Handler()
}
