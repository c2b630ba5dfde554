package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/dispatcher"
	"oleandercove.example/oleanderfake/registrar"
	"oleandercove.example/oleanderload/reporter"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

const (
	relayStreams = 40
	relayTokens  = 150
	// relayPause gives 40 tokens/s on each stream.
	relayPause = 25 * time.Millisecond
)

// Relay compares the time from the engine's write of a token to its arrival at the caller
// through a daemon and straight from the engine, in milliseconds.
type Relay struct {
	Daemon, Direct reporter.Quantiles
	// DaemonMicros is the daemon's processor time for each token, in microseconds.
	DaemonMicros float64
	// Rate is the throughput through the daemon in tokens/s.
	Rate float64
}

// emitter is an engine in this process, so that one clock times both the write and the
// arrival of a token.
type emitter struct {
	mu        sync.Mutex
	sent      map[string]time.Time
	latencies []time.Duration
}

func (e *emitter) status() engine.Status {
	return engine.Status{
		Backend: "emitter", Model: "relay", To: 1, Layers: 1, MaxStreams: 1000, MaxBatch: 1000,
		TokenTimeMicros: 1000, Start: "1",
	}
}

// stream sends tokens with unique texts at an interval of relayPause.
func (e *emitter) stream(w http.ResponseWriter, r *http.Request) {
	var m engine.StreamRequest
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		return
	}
	out, next := json.NewEncoder(w), time.Now()
	for n := range m.MaxTokens {
		next = next.Add(relayPause)
		time.Sleep(time.Until(next))
		text := string(m.Stream) + "/" + time.Duration(n).String() + " "
		e.mu.Lock()
		e.sent[text] = time.Now()
		e.mu.Unlock()
		_ = out.Encode(engine.Event{
			Kind: engine.EventToken, Stream: m.Stream, Epoch: m.Epoch,
			Position: unit.Position(n + 1), Token: unit.Token(n), Text: text, Load: &engine.Load{},
		})
		_ = http.NewResponseController(w).Flush()
	}
	_ = out.Encode(engine.Event{Kind: engine.EventEnd, Stream: m.Stream, Epoch: m.Epoch, Finish: engine.FinishLength})
}

func (e *emitter) recordArrival(text string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if at, ok := e.sent[text]; ok {
		e.latencies = append(e.latencies, now.Sub(at))
	}
}

// takeLatencies returns the quantiles of the latencies since the last call and resets them.
func (e *emitter) takeLatencies() reporter.Quantiles {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := reporter.Summarise(e.latencies)
	e.latencies, e.sent = nil, map[string]time.Time{}
	return q
}

func measureRelay(ctx context.Context) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &emitter{sent: map[string]time.Time{}}
	defer serveEngine(ln, e.stream, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.status()) }).Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := newRelayRig(ctx, ln.Addr().String())
	if err != nil {
		return nil, err
	}
	defer r.close()
	out := &Relay{}
	forEachStream(func(i int) { streamDirect(ctx, e, ln.Addr().String(), i) })
	out.Direct = e.takeLatencies()
	cpu, start := cpuTime(r.daemons), time.Now()
	forEachStream(func(int) { r.streamRelayed(ctx, e) })
	out.DaemonMicros = perToken(cpuTime(r.daemons)-cpu, relayStreams*relayTokens)
	out.Rate = relayStreams * relayTokens / time.Since(start).Seconds()
	out.Daemon = e.takeLatencies()
	return out, nil
}

func forEachStream(fn func(i int)) {
	var wg sync.WaitGroup
	for i := range relayStreams {
		wg.Go(func() {
			time.Sleep(relayPause * time.Duration(i) / relayStreams)
			fn(i)
		})
	}
	wg.Wait()
}

func streamDirect(ctx context.Context, e *emitter, address string, i int) {
	s, err := dispatcher.New(dispatcher.Options{}).Open(ctx, engine.StreamRequest{
		Stream: unit.StreamID(fmt.Sprint("direct-", i)), MaxTokens: relayTokens, Chain: []engine.Stage{{Address: address}},
	})
	if err != nil {
		return
	}
	defer s.Close()
	for v, err := range s.Events() {
		if err != nil || v.Kind == engine.EventEnd {
			return
		}
		e.recordArrival(v.Text)
	}
}

func (r *rig) streamRelayed(ctx context.Context, e *emitter) {
	c := invoker.Client{Token: launcher.Token(accounts[0])}
	_, _ = c.Complete(ctx, r.daemons[0].Address, invoker.Prompt{
		Model: "relay", Text: "x", MaxTokens: relayTokens, OnText: e.recordArrival,
	})
}

// newRelayRig starts a daemon whose only engine is the emitter.
func newRelayRig(ctx context.Context, emitter string) (*rig, error) {
	r, err := newEmptyRig("")
	if err != nil {
		return nil, err
	}
	if err := r.startRelay(ctx, emitter); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *rig) startRelay(ctx context.Context, emitter string) error {
	p, err := r.Platform()
	if err != nil {
		return err
	}
	if err := r.PutAccount(ctx, accounts[0]); err != nil {
		return err
	}
	if err := r.PutEntry(ctx, model("relay", 1)); err != nil {
		return err
	}
	h := platform.Host{ID: "emitter", Role: platform.RoleEngine, Address: emitter, State: platform.HostLive, Serves: "relay"}
	go registrar.Run(ctx, p.Address, func() platform.Host { return h })
	d, err := r.Daemon("entry-0", "dc-a")
	if err != nil {
		return err
	}
	r.daemons = append(r.daemons, d)
	return r.waitServing(ctx, "relay")
}

// serveEngine serves the calls that a daemon makes to an engine, until the returned server
// is closed.
func serveEngine(ln net.Listener, stream, status http.HandlerFunc) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", stream)
	mux.HandleFunc("POST /v1/cancel", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /v1/status", status)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	return srv
}
