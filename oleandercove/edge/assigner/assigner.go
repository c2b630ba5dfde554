// Package assigner places model layers on engines. Only the daemon that holds the
// placement lease does so.
//
// It is a level-triggered controller. At each step it
//
//   - reads the registry, and its own orders that are not yet visible there,
//   - gets a plan from the partitioner, and
//   - sends the orders that are missing.
//
// An order states the sequence number that the engine must have, so that the engine
// refuses an order that arrives late.
//
// Usage:
//
//	a := assigner.New(assigner.Options{Directory: d, Engines: e, Lease: lease, ...})
//	go a.Run(ctx)
package assigner

import (
	"context"
	"math/bits"
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
	// stepInterval is the time between two steps of the controller.
	stepInterval = 200 * time.Millisecond
	// settleTime is how long the number of engines must not have grown before the first
	// placement, because all engines of a site start together.
	settleTime = 1500 * time.Millisecond
	// pollInterval is the time between two polls of the reports of all engines.
	pollInterval = time.Second
	// registryLag is how long the registry may lag behind an order that was
	// carried out.
	registryLag = 3 * time.Second
	// minSharedSlowdown is the slowdown factor from which peers are notified that an
	// engine is slow.
	minSharedSlowdown = 1.1
	// significantBits is the number of binary digits of the number of requests on an engine that
	// a plan depends on, so that a new plan is made only when it changes by much.
	significantBits = 3
	// maxConcurrentCalls bounds the concurrent orders and report requests to engines.
	maxConcurrentCalls = 8
)

// Engines sends orders to engines.
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
	// HoldsLease reports whether this daemon holds the lease now.
	HoldsLease func() bool
	// HasServedModel reports whether any daemon has forwarded a model request.
	HasServedModel func() bool
	// FlushNow sends what States returns to all peers at once.
	FlushNow func()
}

// State is what is sent to peers about an engine.
type State struct {
	Server unit.BackendID
	// Slowdown is the factor read by the last poll; zero for engines that are not slow.
	Slowdown float64
	// Held is the range that the engine holds, Kept the part that remains after an
	// announced release.
	Held, Kept backend.Layers
}

// Assigner is the controller that places model layers on engines.
type Assigner struct {
	Options

	mu     sync.Mutex
	orders map[unit.BackendID]order
	slow   []State
	// notices holds the engines that will be ordered to release layers.
	notices notices
	// engineCount is the largest number of engines seen, and grownAt when it last grew.
	engineCount int
	grownAt     time.Time
	polledAt    time.Time
	// goals holds, for each service, the goal that the last call of Plan returned.
	goals map[routing.ServiceName]partitioner.Goal
	// stable holds the engines of each service for which no order was missing, so that
	// the same plan is not made again.
	stable map[routing.ServiceName][]partitioner.Engine
}

// New returns an Assigner.
func New(o Options) *Assigner {
	return &Assigner{
		Options: o, orders: map[unit.BackendID]order{}, notices: notices{},
		goals: map[routing.ServiceName]partitioner.Goal{}, stable: map[routing.ServiceName][]partitioner.Engine{},
	}
}

// Run takes a step at each stepInterval while this daemon holds the lease. It blocks until
// ctx is done.
func (a *Assigner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if a.HoldsLease() {
			a.step(ctx)
		} else {
			a.reset()
		}
		_ = a.Timer.Sleep(ctx, stepInterval)
	}
}

// States returns the states of slow engines and of those that will release layers, on
// the daemon that holds the lease; nothing on other daemons.
func (a *Assigner) States() []State {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.Clone(a.slow)
	for id, n := range a.notices {
		out = append(out, State{Server: id, Held: n.held, Kept: n.kept()})
	}
	return out
}

// reset forgets the orders of an earlier lease, because the next holder may have sent
// others since.
func (a *Assigner) reset() {
	a.Observer.CloseExcept(nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.orders)
	clear(a.notices)
	clear(a.goals)
	clear(a.stable)
	a.slow, a.engineCount, a.polledAt = nil, 0, time.Time{}
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
			a.placeService(ctx, s, now)
		}
	}
	if now.Sub(a.polledAt) >= pollInterval {
		a.polledAt = now
		a.pollReports(ctx, table)
	}
}

// placeService plans the placement of one service and sends the orders that are missing.
func (a *Assigner) placeService(ctx context.Context, s *routing.Service, now time.Time) {
	servers := a.placeable(s.Name, now)
	if !a.isSettled(len(servers), now) {
		return
	}
	engines := make([]partitioner.Engine, 0, len(servers))
	for _, x := range servers {
		engines = append(engines, a.describeEngine(s.Engine, x, now))
	}
	if slices.Equal(engines, a.stable[s.Name]) {
		return
	}
	o := partitioner.Options{FromScratch: !a.HasServedModel(), Goal: a.goals[s.Name]}
	targets, goal := partitioner.Plan(s.Engine, engines, o)
	a.goals[s.Name] = goal
	delete(a.stable, s.Name)
	if len(targets) == 0 && len(goal) == 0 && !o.FromScratch {
		a.stable[s.Name] = engines
	}
	if !o.FromScratch {
		targets = a.announceReleases(targets, engines, now)
	}
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, t := range targets {
		p.Go(func() { a.sendOrder(ctx, t) })
	}
	p.Wait()
}

// describeEngine returns an engine in the form that the partitioner needs.
func (a *Assigner) describeEngine(m *routing.Engine, x backend.Server, now time.Time) partitioner.Engine {
	layers, busy := a.currentLayers(x, now)
	card := m.Card(x.Card)
	e := partitioner.Engine{ID: x.ID, DataCentre: x.DataCentre, Card: card, Layers: layers, Busy: busy}
	if n := layers.Len() * m.TypicalRequest.Tokens(); n > 0 {
		e.Requests = roundDown(int(a.Ledger.Load(x.ID).Tokens) / n)
	}
	return e
}

// roundDown returns a number of requests rounded down to significantBits.
func roundDown(n int) int {
	shift := max(0, bits.Len(uint(n))-significantBits)
	return n >> shift << shift
}

// placeable returns the engines of a service that may be ordered to hold layers.
func (a *Assigner) placeable(name routing.ServiceName, now time.Time) []backend.Server {
	var out []backend.Server
	for _, x := range a.Directory.Servers().ByService(name) {
		if !x.Draining && !a.Judge.IsDown(x.ID, now) {
			out = append(out, x)
		}
	}
	return out
}

// isSettled reports whether the number of engines has stopped growing after the start.
func (a *Assigner) isSettled(n int, now time.Time) bool {
	if n > a.engineCount {
		a.engineCount, a.grownAt = n, now
	}
	return a.HasServedModel() || now.Sub(a.grownAt) >= settleTime
}

// pollReports reads the slowdown from the reports of all engines.
func (a *Assigner) pollReports(ctx context.Context, table *routing.Table) {
	var mu sync.Mutex
	var states []State
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	now := a.Timer.Now()
	a.Observer.CloseExcept(a.Directory.Servers().All())
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
			a.Judge.SetSlowdown(x.ID, r.Slowdown, a.Timer.Now())
			if r.Slowdown < minSharedSlowdown {
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
