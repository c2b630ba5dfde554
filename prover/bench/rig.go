package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/planner"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

const (
	layers    = 24
	modelName = "report"
	// maxBatch keeps the bound at a few thousand tokens/s, where the fakes' own cost is
	// low.
	maxBatch = 4
	// maxStreams is high enough that memory does not limit the throughput.
	maxStreams = 512
	// daemonCount is the number of daemons, which don't see each other's requests.
	daemonCount = 3
	// baseLatency is the latency of a good link; a slow link has slowLink times as much.
	baseLatency = 200 * time.Microsecond
	slowLink    = 100
)

// kind is a kind of accelerator.
type kind struct {
	name      string
	layerTime time.Duration
}

var (
	kindA = kind{"a", 375 * time.Microsecond}
	kindB = kind{"b", 560 * time.Microsecond}
	kindC = kind{"c", 750 * time.Microsecond}
)

// rigEngine describes one engine of a rig.
type rigEngine struct {
	kind     kind
	from, to int
	latency  time.Duration
}

func (m rigEngine) iteration() time.Duration { return m.kind.layerTime * time.Duration(m.to-m.from) }

// design describes a rig by the engines of its layout.
type design struct {
	name   string
	layout []rigEngine
	// dead lists the indices of the engines to kill before the measurement.
	dead []int
}

func designs() []design {
	equal := []rigEngine{}
	for stage := range 3 {
		equal = append(equal, engineOfStage(kindA, stage), engineOfStage(kindA, stage))
	}
	mixed := []rigEngine{
		engineOfStage(kindA, 0), engineOfStage(kindB, 0), engineOfStage(kindC, 0),
		engineOfStage(kindB, 1), engineOfStage(kindB, 1),
		engineOfStage(kindA, 2), engineOfStage(kindB, 2),
		// One engine holds two stages and adds an alternative chain.
		{kind: kindC, from: 8, to: 24, latency: baseLatency},
	}
	slow := append([]rigEngine{}, mixed...)
	slow[0].latency *= slowLink
	return []design{
		{name: "equal", layout: equal},
		{name: "mixed", layout: mixed},
		{name: "slow-link", layout: slow},
		{name: "dead", layout: mixed, dead: []int{0, 3, 2}},
	}
}

func engineOfStage(k kind, stage int) rigEngine {
	return rigEngine{kind: k, from: stage * 8, to: stage*8 + 8, latency: baseLatency}
}

// bound returns the maximum flow over the engines that aren't killed, in tokens/s.
func (d design) bound() float64 {
	s := planner.Snapshot{Layers: layers}
	for i, m := range d.layout {
		if d.isDead(i) {
			continue
		}
		s.Engines = append(s.Engines, planner.Engine{
			Stage:     engine.Stage{From: unit.Layer(m.from), To: unit.Layer(m.to)},
			Iteration: m.iteration(), MaxBatch: maxBatch,
		})
	}
	return float64(planner.MaxFlow(s).Bound)
}

func (d design) isDead(i int) bool {
	for _, n := range d.dead {
		if n == i {
			return true
		}
	}
	return false
}

// rig is a running deployment: the platform, engines and daemons.
type rig struct {
	*launcher.Launcher
	dir     string
	engines []*launcher.Process
	daemons []*launcher.Process
}

var accounts = []string{"depot", "survey", "night", "flood"}

// newRig starts a design and waits until every daemon serves.
func newRig(ctx context.Context, d design, settings string) (*rig, error) {
	r, err := newEmptyRig(settings)
	if err != nil {
		return nil, err
	}
	if err := r.start(ctx, d); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// newEmptyRig returns a rig with a folder of its own and without processes.
func newEmptyRig(settings string) (*rig, error) {
	dir, err := os.MkdirTemp("", "oleandercove-bench")
	if err != nil {
		return nil, err
	}
	r := &rig{Launcher: launcher.New("bin", dir), dir: dir}
	r.DaemonSettings = "\n[Log]\nLevel = \"error\"\n" + settings
	return r, nil
}

func model(name unit.EntryName, layers unit.Layer) *catalogue.Entry {
	return &catalogue.Entry{
		Kind: catalogue.KindModel, Name: name, Owner: "assistant-team", Class: catalogue.ClassInteractive,
		Model: &catalogue.Model{Layers: layers, MaxTokens: 4096},
	}
}

func (r *rig) close() {
	r.Close()
	_ = os.RemoveAll(r.dir)
}

func (r *rig) start(ctx context.Context, d design) error {
	if _, err := r.Platform(); err != nil {
		return err
	}
	for _, a := range accounts {
		if err := r.PutAccount(ctx, a); err != nil {
			return err
		}
	}
	if err := r.PutEntry(ctx, model(modelName, layers)); err != nil {
		return err
	}
	if err := r.startEngines(d); err != nil {
		return err
	}
	for i := range daemonCount {
		p, err := r.Daemon(fmt.Sprintf("entry-%d", i), "dc-a")
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, p)
	}
	if err := r.waitServing(ctx, modelName); err != nil {
		return err
	}
	for _, i := range d.dead {
		r.engines[i].Kill()
	}
	return r.waitServing(ctx, modelName)
}

func (r *rig) startEngines(d design) error {
	for i, m := range d.layout {
		p, err := r.Engine(launcher.EngineSpec{
			ID: fmt.Sprintf("engine-%d", i), DataCentre: "dc-a", Model: modelName, Kind: m.kind.name,
			Layers: layers, From: m.from, To: m.to, LayerTime: m.kind.layerTime,
			Flags: []string{
				"--max-batch", fmt.Sprint(maxBatch), "--max-streams", fmt.Sprint(maxStreams),
				"--link-latency", m.latency.String(), "--journal=",
			},
		})
		if err != nil {
			return err
		}
		r.engines = append(r.engines, p)
	}
	return nil
}

// waitServing blocks until every daemon has completed a request, for up to 20 s each, and
// then for settleTime, so that the daemons list all engines.
func (r *rig) waitServing(ctx context.Context, model string) error {
	for _, p := range r.daemons {
		err := launcher.Wait(20*time.Second, "complete answer of "+p.Name, func() bool {
			c := invoker.Client{Token: launcher.Token(accounts[0])}
			a, err := c.Complete(ctx, p.Address, invoker.Prompt{Model: model, Text: "warm up", MaxTokens: 2})
			return err == nil && a.Done
		})
		if err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// settleTime is enough for the lag of the host list and a round of status calls.
const settleTime = 1200 * time.Millisecond
