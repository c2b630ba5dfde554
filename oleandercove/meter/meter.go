// Package meter holds the daemon's metrics and serves them in the Prometheus text
// format.
//
// Usage:
//
//	m := meter.New()
//	defer m.Close()
//	m.CountRequest(catalogue.KindModel, err)
//	mux.Handle("/metrics", m.Handler())
package meter

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/watcher"
)

// reportInterval is how often tally reports its values to the scraped registry.
const reportInterval = time.Second

// The buckets surround the targets of 1.1 s for the first token, 30 ms between
// tokens and 1 s for the gap of a recovery.
var (
	firstTokenBuckets = tally.DurationBuckets{
		25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
		500 * time.Millisecond, 800 * time.Millisecond, 1100 * time.Millisecond, 2 * time.Second, 5 * time.Second, 15 * time.Second,
	}
	gapBuckets = tally.DurationBuckets{
		5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond,
		100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
	}
)

// Meter holds the metrics of one daemon.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	close   sync.Once

	firstToken, tokenGap tally.Histogram
}

// New returns a Meter, which reports its values until Close.
func New() *Meter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "oleandercove", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{
		scope: scope, closer: closer, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		firstToken: scope.Histogram("first_token_seconds", firstTokenBuckets),
		tokenGap:   scope.Histogram("token_gap_seconds", gapBuckets),
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close reports the last values and stops the reports.
func (m *Meter) Close() { m.close.Do(func() { _ = m.closer.Close() }) }

func (m *Meter) count(name string, tags map[string]string) {
	m.scope.Tagged(tags).Counter(name).Inc(1)
}

// CountRequest counts a finished request of a kind by verdict and reason; err is nil for a
// complete response.
func (m *Meter) CountRequest(kind catalogue.Kind, err error) {
	v, reason := verdict.Ran, verdict.Reason("Complete")
	if err != nil {
		v, reason = verdict.MayHaveRun, verdict.Internal
		if e, ok := verdict.FromError(err); ok {
			v, reason = e.Verdict, e.Reason
		}
	}
	if kind == "" {
		kind = "None"
	}
	m.count("requests_total", map[string]string{"kind": string(kind), "verdict": string(v), "reason": string(reason)})
}

// CountRecovery counts the replacement of a stage by its cause.
func (m *Meter) CountRecovery(cause engine.FailureCause) {
	m.count("recoveries_total", map[string]string{"cause": string(cause)})
}

// Handle is a filter that measures the time to the first token of a model request and
// the time between its tokens.
func (m *Meter) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if r.Completion == nil {
		return next(ctx, r)
	}
	emit := r.Completion.Emit
	var last time.Time
	r.Completion.Emit = func(text string) error {
		now := time.Now()
		if last.IsZero() {
			m.firstToken.RecordDuration(now.Sub(r.Arrived))
		} else {
			m.tokenGap.RecordDuration(now.Sub(last))
		}
		last = now
		return emit(text)
	}
	return next(ctx, r)
}

// WatchBackends updates the gauge of backend servers by role and state every
// reportInterval until stop is called.
func (m *Meter) WatchBackends(t timer.Service, b watcher.Backends) (stop func()) {
	return t.Subscribe(reportInterval, func(time.Time) { m.countBackends(b.Backends()) })
}

// backendState returns the state tag of a backend server.
func backendState(b *watcher.Backend) string {
	switch {
	case !b.Healthy:
		return "Unhealthy"
	case b.Draining:
		return "Draining"
	default:
		return "Usable"
	}
}

func (m *Meter) countBackends(all []watcher.Backend) {
	type key struct{ role, state string }
	counts := map[key]int{}
	for _, role := range []string{"Engine", "Service"} {
		for _, s := range []string{"Usable", "Draining", "Unhealthy"} {
			counts[key{role, s}] = 0
		}
	}
	for i := range all {
		counts[key{string(all[i].Role), backendState(&all[i])}]++
	}
	for k, n := range counts {
		m.scope.Tagged(map[string]string{"role": k.role, "state": k.state}).Gauge("backends").Update(float64(n))
	}
}
