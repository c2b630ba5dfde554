package runner

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/oleandercove/edge/prioritizer"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/leaser"
)

// reportInterval is the time between two reports of values to the scraped registry.
const reportInterval = 2 * time.Second

// metrics holds the counters, gauges and histograms, and the handler that serves them.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

func newMetrics() *metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "oleandercove", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{scope: scope, closer: closer, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
}

// close stops the reports. Its error is ignored: unreported values are lost with the
// process in any case.
func (m *metrics) close() { _ = m.closer.Close() }

// state is the dump of a daemon.
type state struct {
	Host      unit.HostID
	Version   routing.Version
	Era       unit.Era
	Revision  unit.Revision
	Confirmed time.Duration
	Active    int64
	Peers     []unit.HostID
	Leases    []leaser.State
	Servers   []backend.Server
	// Demand is what callers offer to each service, by class and account, and what each may use.
	Demand []prioritizer.State
	// Crossings are the bytes between this data centre and others, by purpose.
	Crossings []measurer.Total
	// Refused are the quarantined requests, which are not sent to backend servers.
	Refused []screener.Case
	// RefusedParts are the quarantined parts of prompts; requests with all parts of a case are
	// not sent to backend servers.
	RefusedParts []screener.PartCase
}

// dump writes the current state of the daemon as JSON.
func (r *Runner) dump(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s := state{
		Host: r.settings.Host, Active: r.gateway.Active(), Peers: r.announcer.LiveHosts(),
		Leases: r.leaser.States(), Servers: r.directory.Servers().All(),
		Demand: r.prioritizer.States(r.timer.Now()), Crossings: r.crossings.Totals(), Refused: r.screener.Cases(), RefusedParts: r.screener.PartCases(),
	}
	if conf := r.directory.Configuration(); conf != nil {
		s.Version, s.Era, s.Revision, s.Confirmed = conf.Table.Configuration.Version, conf.Revision.Era, conf.Revision, r.timer.Now().Sub(conf.ConfirmedAt)
	}
	if err := json.NewEncoder(w).Encode(s); err != nil {
		r.log.Debug("sending dump failed", "err", err)
	}
}
