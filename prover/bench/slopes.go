package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

// slopeWindow is the duration of each run.
const slopeWindow = 4 * time.Second

// Slopes is the cost of one daemon for each token, stream and request.
type Slopes struct {
	Points []SlopePoint
	// TokenMicros is the slope of the processor time over the tokens, in microseconds.
	// RequestMicros is the slope over requests of one token each, less TokenMicros.
	TokenMicros, RequestMicros float64
	// StreamKB is the slope of the resident memory over the streams, in KB.
	StreamKB float64
}

// SlopePoint is one run against one daemon.
type SlopePoint struct {
	Kind string
	// Streams is the number of concurrent streams, or for Kind "request" the number of
	// requests per second.
	Streams        int
	Tokens, Failed int64
	// Memory is the resident memory in KB; it is not measured for Kind "request".
	CPUMicros, Memory float64
	Load              string
}

// pacer is an engine that sends tokens at a settable interval.
type pacer struct{ pause atomic.Int64 }

func (p *pacer) status(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(engine.Status{
		Backend: "emitter", Model: "relay", To: 1, Layers: 1, MaxStreams: 4000, MaxBatch: 4000,
		TokenTimeMicros: time.Duration(p.pause.Load()).Microseconds(), Start: "1",
	})
}

func (p *pacer) stream(w http.ResponseWriter, r *http.Request) {
	var m engine.StreamRequest
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		return
	}
	out, next, pause := json.NewEncoder(w), time.Now(), time.Duration(p.pause.Load())
	for n := range m.MaxTokens {
		next = next.Add(pause)
		time.Sleep(time.Until(next))
		_ = out.Encode(engine.Event{
			Kind: engine.EventToken, Stream: m.Stream, Epoch: m.Epoch,
			Position: unit.Position(n + 1), Token: unit.Token(n), Text: "word ", Load: &engine.Load{},
		})
		_ = http.NewResponseController(w).Flush()
	}
	_ = out.Encode(engine.Event{Kind: engine.EventEnd, Stream: m.Stream, Epoch: m.Epoch, Finish: engine.FinishLength})
}

func measureSlopes(ctx context.Context) (*Slopes, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &pacer{}
	p.pause.Store(int64(relayPause))
	defer serveEngine(ln, p.stream, p.status).Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := newRelayRig(ctx, ln.Addr().String())
	if err != nil {
		return nil, err
	}
	defer r.close()
	return r.slopes(ctx, p), nil
}

func (r *rig) slopes(ctx context.Context, p *pacer) *Slopes {
	out := &Slopes{}
	run := func(kind string, pause time.Duration) []SlopePoint {
		p.pause.Store(int64(pause))
		var points []SlopePoint
		for _, n := range []int{40, 80, 160, 320} {
			points = append(points, r.measurePoint(ctx, kind, n, pause))
		}
		out.Points = append(out.Points, points...)
		return points
	}
	cpu := func(s SlopePoint) float64 { return s.CPUMicros }
	tokens := func(s SlopePoint) float64 { return float64(s.Tokens) }
	streams := func(s SlopePoint) float64 { return float64(s.Streams) }
	memory := func(s SlopePoint) float64 { return s.Memory }
	long, short := run("token", 25*time.Millisecond), run("request", time.Millisecond)
	out.TokenMicros, out.StreamKB = slope(long, tokens, cpu), slope(long, streams, memory)
	out.RequestMicros = slope(short, tokens, cpu) - out.TokenMicros
	return out
}

// measurePoint sends load for one window: streams that last for the entire window, or
// requests of one token at a fixed rate.
func (r *rig) measurePoint(ctx context.Context, kind string, streams int, pause time.Duration) SlopePoint {
	s := SlopePoint{Kind: kind, Streams: streams, Load: machineLoad()}
	var arrived, failed atomic.Int64
	var wg sync.WaitGroup
	call := func(maxTokens int) {
		c := invoker.Client{Token: launcher.Token(accounts[0])}
		a, err := c.Complete(ctx, r.daemons[0].Address, invoker.Prompt{
			Model: "relay", Text: "x", MaxTokens: maxTokens, OnText: func(string) { arrived.Add(1) },
		})
		if err != nil || !a.Done {
			failed.Add(1)
		}
	}
	cpu, start := cpuTime(r.daemons), time.Now()
	if kind == "request" {
		for i := 0; time.Since(start) < slopeWindow; i++ {
			wg.Go(func() { call(1) })
			time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / time.Duration(streams))))
		}
	} else {
		for i := range streams {
			wg.Go(func() {
				time.Sleep(pause * time.Duration(i) / time.Duration(streams))
				call(int(slopeWindow / pause))
			})
		}
		time.Sleep(slopeWindow / 2)
		s.Memory = residentKB(r.daemons[0])
	}
	wg.Wait()
	s.CPUMicros = float64((cpuTime(r.daemons) - cpu).Microseconds())
	s.Tokens, s.Failed = arrived.Load(), failed.Load()
	return s
}

// residentKB returns the resident memory of a process in KB, or 0 if it can't be read.
func residentKB(p *launcher.Process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	if f := strings.Fields(rest); len(f) > 0 {
		kb, _ := strconv.ParseFloat(f[0], 64)
		return kb
	}
	return 0
}

// slope returns the slope of the least-squares line through the points.
func slope(points []SlopePoint, x, y func(SlopePoint) float64) float64 {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		a, b := x(p), y(p)
		n, sx, sy, sxx, sxy = n+1, sx+a, sy+b, sxx+a*a, sxy+a*b
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

func (s *Slopes) print() {
	for _, p := range s.Points {
		fmt.Printf("slopes: %-7s %4d streams, %6d tokens, %d failed, daemon cpu %.0f ms, memory %.0f KB, load %s\n",
			p.Kind, p.Streams, p.Tokens, p.Failed, p.CPUMicros/1000, p.Memory, p.Load)
	}
	fmt.Printf("slopes: %.1f us/token, %.0f us/request, %.1f KB/stream\n", s.TokenMicros, s.RequestMicros, s.StreamKB)
}
