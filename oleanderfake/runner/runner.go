// Package runner is a stand-in for a model engine that holds a range of
// layers.
//
// It batches continuously, keeps the KV state of each stream, hands
// activations on to the next stage of the chain, honours priorities, reports
// load with a lag, and limits the time and memory of its layers so that the
// hardware's bound can be computed. Its toy model makes the text of an answer
// depend on the exact order of layers and positions.
//
// Usage:
//
//	e, err := runner.New(runner.Options{Backend: "e1", Layers: 24, To: 12})
//	go e.Run(ctx)
//	http.ListenAndServe(address, e.Handler())
package runner

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/journaler"
)

const (
	// idleTimeout drops a stream that nobody resumed or continued.
	idleTimeout = 30 * time.Second
	// prefillPerUnit is how many prompt positions cost as much as one token.
	prefillPerUnit = 16
	// stepSilence is how long a stage may be silent before it counts as lost.
	stepSilence = time.Second
	// beatInterval is the time between heartbeats on answers in progress.
	beatInterval = 250 * time.Millisecond
)

// Options configures an engine.
type Options struct {
	Backend    unit.BackendID
	Address    string
	DataCentre unit.DataCentre
	Kind       string
	Model      unit.EntryName
	Layers     unit.Layer
	From, To   unit.Layer
	// LayerTime is the time of one layer in one batch iteration.
	LayerTime time.Duration
	MaxBatch  int
	// MaxStreams is the memory limit, in streams.
	MaxStreams int
	// LoadLag delays the load report.
	LoadLag time.Duration
	// LinkLatency delays every step that is handed on.
	LinkLatency time.Duration
	// LinkRate and ActivationBytes add the transfer time of activations.
	LinkRate        unit.BytesPerSecond
	ActivationBytes int
	// Version and Adapters describe the weights at the start.
	Version  string
	Adapters []string
	// MaxLayers is how many layers fit in the memory; 0 means any number.
	MaxLayers unit.Layer
	// LoadTime is the time of loading weights for an order.
	LoadTime time.Duration
	// IgnoreFence makes the engine take orders with any fencing number.
	IgnoreFence bool
	// PoisonWord makes the process exit when a prompt contains it.
	PoisonWord string
	// Exit ends the process on a poison request.
	Exit func(code int)
	// DrainLimit is the time from Drain to the end of the process.
	DrainLimit time.Duration
	// CacheBlocks is the memory of the prefix cache, in blocks of 16 positions;
	// 0 turns it off.
	CacheBlocks int
	// CacheLag delays the events of the prefix cache, and CacheGaps is the share
	// of them that is lost.
	CacheLag  time.Duration
	CacheGaps float64
	// Journal is the file of the journal; empty keeps it in memory.
	Journal string
}

// Engine is a fake model engine.
type Engine struct {
	options Options
	start   string
	journal *journaler.Journal[engine.JournalRecord]
	orders  *journaler.Journal[engine.OrderRecord]
	batch   *batcher
	streams *table
	cache   *cacher
	http    *http.Client

	sequence  atomic.Uint64
	generated atomic.Uint64
	noExport  atomic.Bool

	mu       sync.Mutex
	from, to unit.Layer
	model    unit.EntryName
	version  string
	adapters []string
	loading  *engine.Order
	fence    unit.Fence
	draining bool
	leaving  bool
	drainEnd time.Time
	slow     float64
	linkSlow float64
	load     engine.Load
}

// New returns an engine that does not run yet.
func New(o Options) (*Engine, error) {
	j, err := journaler.New[engine.JournalRecord](o.Journal)
	if err != nil {
		return nil, err
	}
	orders, err := journaler.New[engine.OrderRecord]("")
	if err != nil {
		return nil, err
	}
	e := &Engine{
		orders: orders, version: o.Version, adapters: o.Adapters,
		options: o, start: uuid.NewString(), journal: j, streams: newTable(), cache: newCacher(o.CacheBlocks, o.CacheLag, o.CacheGaps),
		from: o.From, to: o.To, model: o.Model, slow: 1, linkSlow: 1,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
	}
	e.batch = newBatcher(o.MaxBatch, e.iterationTime)
	return e, nil
}

// Run executes batches and refreshes the load report until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	go e.batch.run(ctx)
	lag := max(e.options.LoadLag, 10*time.Millisecond)
	t := time.NewTicker(lag)
	defer t.Stop()
	last, at := e.generated.Load(), time.Now()
	for {
		select {
		case now := <-t.C:
			n := e.generated.Load()
			rate := float64(n-last) / now.Sub(at).Seconds()
			last, at = n, now
			e.report(unit.TokensPerSecond(rate))
			e.streams.expire(idleTimeout)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) report(rate unit.TokensPerSecond) {
	l := engine.Load{Running: e.streams.size(), Queued: e.batch.queued(), Rate: rate}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = l
}

func (e *Engine) iterationTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.options.LayerTime) * float64(e.to-e.from) * e.slow)
}

// Status describes the engine; the load lags.
func (e *Engine) Status() engine.Status {
	iteration := e.iterationTime()
	iterations, pending := e.batch.progress()
	e.mu.Lock()
	defer e.mu.Unlock()
	var left int64
	if !e.drainEnd.IsZero() {
		left = max(1, time.Until(e.drainEnd).Milliseconds())
	}
	return engine.Status{
		DrainLeftMillis: left,
		Backend:         e.options.Backend, DataCentre: e.options.DataCentre, Kind: e.options.Kind,
		Model: e.model, From: e.from, To: e.to, Layers: e.options.Layers,
		Start: e.start, Sequence: e.sequence.Add(1), Draining: e.draining,
		MaxStreams: e.options.MaxStreams, MaxBatch: e.options.MaxBatch,
		TokenTimeMicros: iteration.Microseconds(), Load: e.load,
		Iterations: iterations, Pending: pending,
		Links: []engine.Link{{
			LatencyMicros: time.Duration(float64(e.options.LinkLatency) * e.linkSlow).Microseconds(),
			Rate:          e.options.LinkRate,
		}},
		Fencing: !e.options.IgnoreFence,
		Version: e.version, Adapters: e.adapters, MaxLayers: e.options.MaxLayers, Loading: e.loading, Leaving: e.leaving,
	}
}

func (e *Engine) shape() (from, to unit.Layer, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.from, e.to, e.draining
}

func (e *Engine) crashOnPoison(prompt string) {
	if e.options.PoisonWord != "" && strings.Contains(prompt, e.options.PoisonWord) {
		e.options.Exit(3)
	}
}

func (e *Engine) fail(cause engine.FailureCause, detail string) *engine.Failure {
	return &engine.Failure{Backend: e.options.Backend, Cause: cause, Detail: detail}
}
