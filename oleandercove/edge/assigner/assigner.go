// Package assigner carries out the placement of model layers as the one daemon
// that holds the lease for it.
//
// It is a level-triggered controller: at each step it looks at the registry and
// at its own orders that are not yet visible there, asks the partitioner for a
// plan, and sends the orders that are missing. An order states the sequence that
// the engine must have, so that an order that arrives late is refused.
//
// Usage:
//
//	a := assigner.New(assigner.Options{Directory: d, Engines: e, Lease: lease, ...})
//	go a.Run(ctx)
package assigner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc/pool"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/observer"
	"oleandercove.example/oleandercove/edge/partitioner"
	"oleandercove.example/oleandercove/edge/prober"
)

const (
	// stepInterval is the time between two looks at the engines.
	stepInterval = 200 * time.Millisecond
	// settleTime is how long the registry must not have grown before the first
	// placement, because all engines of a site start together.
	settleTime = 1500 * time.Millisecond
	// surveyInterval is the time between two reads of all reports.
	surveyInterval = time.Second
	// visibleTime is how long the registry may lag behind an order that was
	// carried out.
	visibleTime = 3 * time.Second
	// noteworthy is the factor from which peers are told that an engine is slow.
	noteworthy = 1.1
	// requestStep rounds the requests on an engine, so that a plan is made anew only
	// when they change by much.
	requestStep = 16
	// ordersAtOnce bounds the orders and reports that wait for engines.
	ordersAtOnce = 8
)

// Engines are the calls to engines.
type Engines interface {
	Place(ctx context.Context, a backend.Address, p backend.Placement) (backend.OrderResult, error)
}

// Options configures an Assigner.
type Options struct {
	Directory *directory.Directory
	Engines   Engines
	Prober    *prober.Prober
	Observer  *observer.Observer
	Judge     *judge.Judge
	Ledger    *ledger.Ledger
	Timer     timer.Service
	Log       *log.Logger
	// Held tells whether this daemon holds the lease now.
	Held func() bool
	// Served tells whether a model request was passed on anywhere.
	Served func() bool
	// Urge tells all peers at once what States returns.
	Urge func()
}

// order is a range that an engine was ordered to hold.
type order struct {
	born   backend.Incarnation
	layers backend.Layers
	// until is when the registry must show the order.
	until time.Time
}

// State is what peers should know of an engine.
type State struct {
	Server unit.BackendID
	// Slowdown is what the last survey read; it is zero for engines that are not
	// slow.
	Slowdown float64
	// Held is a range of which the engine will keep only the range Kept.
	Held, Kept backend.Layers
}

// Assigner is the controller.
type Assigner struct {
	Options

	mu     sync.Mutex
	orders map[unit.BackendID]order
	slow   []State
	// notices holds the engines that will be ordered to give up layers.
	notices notices
	// known is the number of engines at grownAt, when it last grew.
	known    int
	grownAt  time.Time
	surveyed time.Time
	// goals holds, for each service, the ranges that its orders lead to.
	goals map[routing.ServiceName]partitioner.Goal
	// stable holds the engines of each service for which nothing was left to
	// order, so that the same plan is not made again.
	stable map[routing.ServiceName][]partitioner.Engine
}

// New returns an Assigner.
func New(o Options) *Assigner {
	return &Assigner{
		Options: o, orders: map[unit.BackendID]order{}, notices: notices{},
		goals: map[routing.ServiceName]partitioner.Goal{}, stable: map[routing.ServiceName][]partitioner.Engine{},
	}
}

// Run works until ctx is done.
func (a *Assigner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if a.Held() {
			a.step(ctx)
		} else {
			a.reset()
		}
		_ = a.Timer.Sleep(ctx, stepInterval)
	}
}

// States returns what the holder of the lease knows of the engines; others return
// nothing.
func (a *Assigner) States() []State {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.Clone(a.slow)
	for id, n := range a.notices {
		out = append(out, State{Server: id, Held: n.held, Kept: n.kept()})
	}
	return out
}

// reset forgets orders of an earlier lease: the next holder may have given
// others since.
func (a *Assigner) reset() {
	a.Observer.Keep(nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.orders)
	clear(a.notices)
	clear(a.goals)
	clear(a.stable)
	a.slow, a.known, a.surveyed = nil, 0, time.Time{}
}

func (a *Assigner) step(ctx context.Context) {
	table := a.Directory.Table()
	if table == nil {
		return
	}
	now := a.Timer.Now()
	for i := range table.Configuration.Services {
		s := &table.Configuration.Services[i]
		if s.Engine.Chained() {
			a.place(ctx, s, now)
		}
	}
	if now.Sub(a.surveyed) >= surveyInterval {
		a.surveyed = now
		a.survey(ctx, table)
	}
}

// place orders what is missing for one service.
func (a *Assigner) place(ctx context.Context, s *routing.Service, now time.Time) {
	servers := a.usable(s.Name, now)
	if !a.settled(len(servers), now) {
		return
	}
	engines := make([]partitioner.Engine, 0, len(servers))
	for _, x := range servers {
		engines = append(engines, a.engineOf(s.Engine, x, now))
	}
	if slices.Equal(engines, a.stable[s.Name]) {
		return
	}
	o := partitioner.Options{Anew: !a.Served(), Goal: a.goals[s.Name]}
	targets, goal := partitioner.Plan(s.Engine, engines, o)
	a.goals[s.Name] = goal
	delete(a.stable, s.Name)
	if len(targets) == 0 && len(goal) == 0 && !o.Anew {
		a.stable[s.Name] = engines
	}
	if !o.Anew {
		targets = a.giveNotice(targets, engines, now)
	}
	p := pool.New().WithMaxGoroutines(ordersAtOnce)
	for _, t := range targets {
		p.Go(func() { a.give(ctx, t) })
	}
	p.Wait()
}

// engineOf describes an engine to the partitioner.
func (a *Assigner) engineOf(m *routing.Engine, x backend.Server, now time.Time) partitioner.Engine {
	layers, busy := a.layersOf(x, now)
	card := m.Card(x.Card)
	e := partitioner.Engine{ID: x.ID, DataCentre: x.DataCentre, Card: card, Layers: layers, Busy: busy}
	if n := layers.Len() * (m.Usual.PromptTokens + m.Usual.OutputTokens); n > 0 {
		e.Requests = int(a.Ledger.Load(x.ID).Tokens) / n / requestStep * requestStep
	}
	return e
}

// usable returns the engines that may hold layers.
func (a *Assigner) usable(name routing.ServiceName, now time.Time) []backend.Server {
	var out []backend.Server
	for _, x := range a.Directory.Servers().Of(name) {
		if !x.Draining && !a.Judge.IsDown(x.ID, now) {
			out = append(out, x)
		}
	}
	return out
}

// settled tells whether the registry has stopped to grow at the start.
func (a *Assigner) settled(n int, now time.Time) bool {
	if n > a.known {
		a.known, a.grownAt = n, now
	}
	return a.Served() || now.Sub(a.grownAt) >= settleTime
}

// layersOf returns what an engine holds or was ordered to hold, and whether the
// order is not yet known to be done.
func (a *Assigner) layersOf(x backend.Server, now time.Time) (backend.Layers, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, ok := a.orders[x.ID]
	if !ok {
		return x.Layers, false
	}
	if o.born != x.Born || x.Layers == o.layers || now.After(o.until) {
		delete(a.orders, x.ID)
		return x.Layers, false
	}
	return o.layers, true
}

// give sends one order, if the lease still holds.
func (a *Assigner) give(ctx context.Context, t partitioner.Target) {
	x, ok := a.Directory.Servers().Get(t.Engine)
	if !ok || !a.Held() {
		return
	}
	report, err := a.Prober.Report(ctx, x.ID, x.Address)
	if err != nil {
		return
	}
	if report.Busy || report.Born != x.Born || !a.Held() {
		return
	}
	result, err := a.Engines.Place(ctx, x.Address, backend.Placement{Layers: t.Layers, Expect: report.Sequence})
	a.Log.Info("engine ordered to hold layers", "engine", x.ID, "card", x.Card, "held", report.Layers, "layers", t.Layers,
		"sequence", report.Sequence, "result", result, "err", err)
	if result == backend.OrderBegun || result == backend.OrderDone {
		a.remember(x, t.Layers)
	}
}

// remember keeps an order until the registry shows it: loading takes its time
// and the registry lags.
func (a *Assigner) remember(x backend.Server, l backend.Layers) {
	load := time.Duration(0)
	if t := a.Directory.Table(); t != nil {
		if s := t.Service(x.Service); s != nil && s.Engine.Chained() {
			load = s.Engine.Load * time.Duration(l.Len()) / time.Duration(s.Engine.Layers)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orders[x.ID] = order{born: x.Born, layers: l, until: a.Timer.Now().Add(2*load + visibleTime)}
}

// survey reads the reports of all engines for the pace at which they run.
func (a *Assigner) survey(ctx context.Context, table *routing.Table) {
	var mu sync.Mutex
	var states []State
	p := pool.New().WithMaxGoroutines(ordersAtOnce)
	now := a.Timer.Now()
	a.Observer.Keep(a.Directory.Servers().All())
	for _, x := range a.Directory.Servers().All() {
		s := table.Service(x.Service)
		if s == nil || s.Engine == nil || a.Judge.IsDown(x.ID, now) {
			continue
		}
		p.Go(func() {
			r, err := a.Observer.Report(ctx, x.ID, x.Address)
			if err != nil {
				return
			}
			a.Judge.Slow(x.ID, r.Slowdown, a.Timer.Now())
			if r.Slowdown < noteworthy {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states = append(states, State{Server: x.ID, Slowdown: r.Slowdown})
		})
	}
	p.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slow = states
}
