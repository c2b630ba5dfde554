// Package commander sends orders to engines: placement and planned shutdowns.
//
// One shard covers all engines, because fencing numbers compare only within a
// lease and an engine may move between models. Each round reads the statuses
// and the catalogue and sends the missing orders, until the statuses show the
// targets.
//
// Usage:
//
//	c := commander.New(commander.Options{Leases: l, Catalogue: s, Backends: w, Marks: m})
//	go c.Run(ctx)
package commander

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/controller"
	"oleandercove.example/oleandercove/leaser"
	"oleandercove.example/oleandercove/marker"
	"oleandercove.example/oleandercove/placer"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// ShardKey is the key from which the shard of all engines is derived.
	ShardKey = "engines"
	// interval is the time between two rounds; each round reads the statuses.
	interval = 500 * time.Millisecond
	// expectationLimit is how long a status may lack a confirmed order. It is
	// longer than an order and two rounds of statuses.
	expectationLimit = 4 * time.Second
	// part names the commander in recorded events.
	part = "commander"
)

// Marks lists the operators' drain marks.
type Marks interface {
	// List returns all marks.
	List() []marker.Mark
}

// Catalogue lists the entries of the catalogue.
type Catalogue interface {
	// List returns all entries of a kind, without deleted ones.
	List(kind catalogue.Kind) []*catalogue.Entry
	// Ready reports whether a catalogue has been loaded.
	Ready() bool
}

// Options configures a Commander.
type Options struct {
	Leases    leaser.Leases
	Catalogue Catalogue
	Backends  watcher.Backends
	// Reader reads statuses from the engines; nil uses the statuses of Backends.
	Reader   Reader
	Marks    Marks
	Sender   Sender
	Recorder recorder.Recorder
	Timer    timer.Service
	Log      *log.Logger
	// RefreshCatalogue updates the catalogue from the platform. A new lease holder calls
	// it before its first order, because its copy may be older than the one that
	// the previous holder's orders were based on.
	RefreshCatalogue func(ctx context.Context) error
	// MaxLoads bounds the engines that load weights at once.
	MaxLoads int
}

// Commander sends orders to all engines while it holds the lease of their shard.
type Commander struct {
	options    Options
	shard      leaser.Shard
	controller *controller.Controller[string]
	expected   *controller.Expectations[unit.BackendID, engine.Order]
	// fence is the fencing number of the last grant, firstRound the time of the
	// first round under it.
	fence      unit.Fence
	firstRound time.Time
	// blocked holds the blocked targets of the last round, to record changes only.
	blocked []placer.Blocked
}

// New returns a Commander.
func New(o Options) *Commander {
	c := &Commander{options: o, shard: o.Leases.ShardOf(ShardKey)}
	c.expected = controller.NewExpectations[unit.BackendID, engine.Order](o.Timer, expectationLimit)
	c.controller = controller.New(controller.Options[string]{Timer: o.Timer, Log: o.Log, Reconcile: c.Reconcile})
	return c
}

// Run sends orders until ctx is done; no order is in flight when it returns.
func (c *Commander) Run(ctx context.Context) {
	c.controller.Add(ShardKey)
	c.controller.Run(ctx)
}

// Reconcile runs one round: it sends the missing orders and returns the time
// until the next round.
func (c *Commander) Reconcile(ctx context.Context, _ string) (time.Duration, error) {
	g, err := c.options.Leases.Check(c.shard)
	if err != nil || !c.options.Catalogue.Ready() {
		return interval, nil
	}
	backends := c.options.Backends.Backends()
	if c.options.Reader != nil {
		backends = c.options.Reader.Read(ctx, backends)
	}
	if upToDate, err := c.isUpToDate(ctx, g, backends); err != nil || !upToDate {
		return interval, err
	}
	p := placer.Decide(c.placerInput(backends))
	c.recordBlocked(p.Blocked)
	var failures []error
	for _, d := range p.Decisions {
		if err := c.sendOrder(ctx, backends, d); err != nil {
			failures = append(failures, err)
		}
	}
	return interval, errors.Join(failures...)
}

// isUpToDate reports whether the catalogue and the statuses of all healthy
// backend servers are newer than the grant: a new lease holder reads the state
// back before its first order.
func (c *Commander) isUpToDate(ctx context.Context, g leaser.Grant, backends []watcher.Backend) (bool, error) {
	if g.Fence != c.fence {
		if err := c.options.RefreshCatalogue(ctx); err != nil {
			return false, fmt.Errorf("read the catalogue: %w", err)
		}
		c.fence, c.firstRound = g.Fence, c.options.Timer.Now()
		c.expected.Clear()
	}
	return !slices.ContainsFunc(backends, func(b watcher.Backend) bool {
		return b.Healthy && b.Seen.Before(c.firstRound)
	}), nil
}

func (c *Commander) sendOrder(ctx context.Context, backends []watcher.Backend, d placer.Decision) error {
	i := slices.IndexFunc(backends, func(b watcher.Backend) bool { return b.ID == d.Backend })
	err := c.options.Sender.Send(ctx, backends[i].Address, d.Order, func() (leaser.Grant, error) {
		return c.options.Leases.Check(c.shard)
	})
	decision, cause := recorder.DecisionOrder, describe(d.Order)+": "+string(d.Cause)
	switch {
	case errors.Is(err, leaser.ErrNotHeld):
		decision = recorder.DecisionNotHeld
	case errors.Is(err, errStale):
		decision, cause = recorder.DecisionStale, cause+", engine has seen a newer fencing number"
	case err != nil:
		decision, cause = recorder.DecisionOrderUnknown, cause+", "+err.Error()
	default:
		// Only a confirmed order is expected to show in the status. Any other order
		// is sent again, which is harmless, because an order states the target.
		c.expected.Expect(d.Backend, d.Order)
	}
	c.options.Recorder.Record(recorder.Event{
		Request: recorder.BackendSubject(d.Backend), Part: part, Decision: decision, Cause: cause,
	})
	c.options.Log.Info("order attempted", "backend", d.Backend, "order", describe(d.Order), "cause", d.Cause, "fence", c.fence, "err", err)
	if err != nil {
		return fmt.Errorf("order for %s: %w", d.Backend, err)
	}
	return nil
}

func describe(o engine.Order) string {
	if o.Kind != engine.OrderLoad {
		return string(o.Kind)
	}
	return fmt.Sprintf("%s %s version %q layers [%d,%d)", o.Kind, o.Model, o.Version, o.From, o.To)
}

// recordBlocked records targets that can't be reached now, once for each change.
func (c *Commander) recordBlocked(current []placer.Blocked) {
	same := func(a, b placer.Blocked) bool {
		return a.Backend == b.Backend && a.Cause == b.Cause && describe(a.Target) == describe(b.Target)
	}
	for _, b := range current {
		if slices.ContainsFunc(c.blocked, func(o placer.Blocked) bool { return same(o, b) }) {
			continue
		}
		c.options.Recorder.Record(recorder.Event{
			Request: recorder.BackendSubject(b.Backend), Part: part, Decision: recorder.DecisionBlocked,
			Cause: describe(b.Target) + ": " + string(b.Cause),
		})
	}
	c.blocked = current
}

func (c *Commander) placerInput(backends []watcher.Backend) placer.Input {
	in := placer.Input{MaxLoads: c.options.MaxLoads}
	for _, e := range c.options.Catalogue.List(catalogue.KindModel) {
		m := e.Model
		in.Models = append(in.Models, placer.Model{
			Name: e.Name, Version: m.Version, Adapters: m.Adapters, Layers: m.Layers, Replicas: m.Replicas,
		})
	}
	marks := c.options.Marks.List()
	for _, b := range backends {
		if b.Role != platform.RoleEngine || b.Engine == nil {
			continue
		}
		e := c.placerEngine(b)
		if i := slices.IndexFunc(marks, func(m marker.Mark) bool { return m.Target == string(b.ID) }); i >= 0 {
			e.DrainMarked, e.DrainCanceled = marks[i].Draining, !marks[i].Draining
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}

// placerEngine combines a status with a confirmed order that it doesn't show yet.
func (c *Commander) placerEngine(b watcher.Backend) placer.Engine {
	s := b.Engine
	e := placer.Engine{
		ID: b.ID, MaxLayers: s.MaxLayers, Running: s.Load.Running, Healthy: b.Healthy,
		Held:   engine.Order{Kind: engine.OrderLoad, Model: s.Model, Version: s.Version, Adapters: s.Adapters, From: s.From, To: s.To},
		Target: s.Loading, Draining: s.Draining, Leaving: b.Leaving || s.Leaving,
	}
	o, ok := c.expected.Get(b.ID)
	if !ok {
		return e
	}
	switch {
	case statusShows(s, o):
		c.expected.Fulfil(b.ID)
	case o.Kind == engine.OrderLoad:
		e.Target = &o
	default:
		e.Draining = o.Kind == engine.OrderDrain
	}
	return e
}

// statusShows reports whether a status shows the target of an order.
func statusShows(s *engine.Status, o engine.Order) bool {
	if o.Kind != engine.OrderLoad {
		return s.Draining == (o.Kind == engine.OrderDrain)
	}
	reported := engine.Order{Model: s.Model, Version: s.Version, Adapters: s.Adapters, From: s.From, To: s.To}
	if s.Loading != nil {
		reported = *s.Loading
	}
	return reported.Model == o.Model && reported.Version == o.Version && reported.From == o.From && reported.To == o.To && slices.Equal(reported.Adapters, o.Adapters)
}
