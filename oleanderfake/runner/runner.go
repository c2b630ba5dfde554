// Package runner simulates a model engine that holds a range of layers.
//
// The engine
//   - batches continuously and honours priorities,
//   - keeps the KV state of each stream,
//   - forwards activations to the next stage of the chain,
//   - reports its load with a lag,
//   - spends a set time on each layer and bounds its memory, so that the maximum throughput
//     can be computed.
//
// In its toy model, the text of an answer depends on the exact order of layers and
// positions.
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
	// idleTimeout is the time after which a stream without a step or an import is dropped.
	idleTimeout = 30 * time.Second
	// prefillPerUnit is the number of prompt positions that cost as much as one token.
	prefillPerUnit = 16
	// stepSilenceTimeout is how long a stage may be silent before it counts as unreachable.
	stepSilenceTimeout = time.Second
	// heartbeatInterval is the time between heartbeats in responses in progress.
	heartbeatInterval = 250 * time.Millisecond
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
	// MaxStreams is the number of streams that fit in the memory.
	MaxStreams int
	// LoadLag is the time between refreshes of the load report, at least 10 ms; the report
	// lags by up to this time.
	LoadLag time.Duration
	// LinkLatency delays every step that is forwarded to the next stage.
	LinkLatency time.Duration
	// LinkRate and ActivationBytes determine the transfer time of activations; a
	// LinkRate of 0 means no limit.
	LinkRate        unit.BytesPerSecond
	ActivationBytes int
	// Version and Adapters describe the weights at the start.
	Version  string
	Adapters []string
	// MaxLayers is the number of layers that fit in the memory; 0 means any number.
	MaxLayers unit.Layer
	// LoadTime is the time of loading weights for an order.
	LoadTime time.Duration
	// IgnoreFence makes the engine accept orders with any fencing number.
	IgnoreFence bool
	// PoisonWord makes the process exit when a prompt contains it.
	PoisonWord string
	// Exit is called to end the process on a poison request.
	Exit func(code int)
	// DrainLimit is the time from Drain to the end of the process.
	DrainLimit time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of 16 positions;
	// 0 turns it off.
	CacheBlocks int
	// CacheLag delays the events of the prefix cache, and CacheLossRate is the share
	// of them that is lost (0 to 1).
	CacheLag      time.Duration
	CacheLossRate float64
	// Journal is the file of the journal; empty keeps it in memory.
	Journal string
}

// Engine is a simulated model engine.
type Engine struct {
	options    Options
	instanceID string
	journal    *journaler.Journal[engine.JournalRecord]
	orders     *journaler.Journal[engine.OrderRecord]
	batch      *batcher
	streams    *streamTable
	cache      *cacher
	http       *http.Client

	sequence      atomic.Uint64
	executedSteps atomic.Uint64
	noExport      atomic.Bool

	mu            sync.Mutex
	from, to      unit.Layer
	model         unit.EntryName
	version       string
	adapters      []string
	loading       *engine.Order
	fence         unit.Fence
	draining      bool
	leaving       bool
	drainEnd      time.Time
	layerSlowdown float64
	linkSlowdown  float64
	load          engine.Load
}

// New returns an engine that doesn't run yet, or the error of opening the journal.
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
		options: o, instanceID: uuid.NewString(), journal: j, streams: newStreamTable(), cache: newCacher(o.CacheBlocks, o.CacheLag, o.CacheLossRate),
		from: o.From, to: o.To, model: o.Model, layerSlowdown: 1, linkSlowdown: 1,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
	}
	e.batch = newBatcher(o.MaxBatch, e.iterationTime)
	return e, nil
}

// Run executes batches, refreshes the load report and drops idle streams until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	go e.batch.run(ctx)
	lag := max(e.options.LoadLag, 10*time.Millisecond)
	t := time.NewTicker(lag)
	defer t.Stop()
	lastSteps, lastAt := e.executedSteps.Load(), time.Now()
	for {
		select {
		case now := <-t.C:
			n := e.executedSteps.Load()
			rate := float64(n-lastSteps) / now.Sub(lastAt).Seconds()
			lastSteps, lastAt = n, now
			e.updateLoad(unit.TokensPerSecond(rate))
			e.streams.expire(idleTimeout)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) updateLoad(rate unit.TokensPerSecond) {
	l := engine.Load{Running: e.streams.size(), Queued: e.batch.queued(), Rate: rate}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = l
}

func (e *Engine) iterationTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.options.LayerTime) * float64(e.to-e.from) * e.layerSlowdown)
}

// Status returns the state of the engine. The load is that of the last refresh by Run.
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
		Start: e.instanceID, Sequence: e.sequence.Add(1), Draining: e.draining,
		MaxStreams: e.options.MaxStreams, MaxBatch: e.options.MaxBatch,
		TokenTimeMicros: iteration.Microseconds(), Load: e.load,
		Iterations: iterations, Pending: pending,
		Links: []engine.Link{{
			LatencyMicros: time.Duration(float64(e.options.LinkLatency) * e.linkSlowdown).Microseconds(),
			Rate:          e.options.LinkRate,
		}},
		Fencing: !e.options.IgnoreFence,
		Version: e.version, Adapters: e.adapters, MaxLayers: e.options.MaxLayers, Loading: e.loading, Leaving: e.leaving,
	}
}

func (e *Engine) heldLayers() (from, to unit.Layer, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.from, e.to, e.draining
}

func (e *Engine) crashOnPoison(prompt string) {
	if e.options.PoisonWord != "" && strings.Contains(prompt, e.options.PoisonWord) {
		e.options.Exit(3)
	}
}

func (e *Engine) newFailure(cause engine.FailureCause, detail string) *engine.Failure {
	return &engine.Failure{Backend: e.options.Backend, Cause: cause, Detail: detail}
}
