// Package observer watches engines over persistent connections and detects at once that
// one has crashed.
//
// When an engine of a chain crashes, its streams only become silent, and it takes a
// quarter of a second to distinguish silence from a slow iteration. The connection to
// the engine closes at once:
//
//   - After a connection has closed, the observer probes the engine over a new one, because
//     engines also close connections for other reasons.
//   - If the probe fails, the engine counts as down and all peers are notified.
//
// Load pattern: one engine of a model copy crashes while some hundred streams of several
// daemons cross it.
//
// Usage:
//
//	o := observer.New(observer.Options{Open: open, Prober: p, FlushNow: a.FlushNow, Log: l})
//	report, err := o.Report(ctx, server.ID, server.Address)
//	o.CloseExcept(servers)
package observer

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/prober"
)

// Link is a persistent connection to one engine.
type Link interface {
	Report(ctx context.Context) (backend.Report, error)
	Close()
}

// Open connects to an engine. The function closed is called if the engine closes the
// connection.
type Open func(ctx context.Context, a backend.Address, closed func()) (Link, error)

// Options configures an Observer.
type Options struct {
	Open   Open
	Prober *prober.Prober
	// FlushNow sends to all peers at once which engines are down.
	FlushNow func()
	Log      *log.Logger
}

// target is an engine that is watched.
type target struct {
	id      unit.BackendID
	address backend.Address
}

// Observer holds the connections. It is safe for concurrent use.
type Observer struct {
	Options
	mu    sync.Mutex
	links map[target]Link
}

// New returns an Observer without connections.
func New(o Options) *Observer { return &Observer{Options: o, links: map[target]Link{}} }

// Report reads the report of an engine over its persistent connection, which is opened if
// there is none. Without an answer the engine is probed over a new connection, and the
// error is that of the probe.
func (o *Observer) Report(ctx context.Context, id unit.BackendID, a backend.Address) (backend.Report, error) {
	t := target{id: id, address: a}
	if l := o.link(ctx, t); l != nil {
		report, err := l.Report(ctx)
		if err == nil {
			return report, nil
		}
		o.Log.Debug("no report over the persistent connection", "engine", id, "err", err)
		o.closeLink(t, l)
	}
	return o.Prober.Report(ctx, id, a)
}

// link returns the connection to an engine, or nil if it can't be opened.
func (o *Observer) link(ctx context.Context, t target) Link {
	o.mu.Lock()
	l := o.links[t]
	o.mu.Unlock()
	if l != nil {
		return l
	}
	var opened Link
	ready := make(chan struct{})
	opened, err := o.Open(ctx, t.address, func() {
		<-ready
		o.checkClosed(t, opened)
	})
	if err != nil {
		o.Log.Debug("could not connect to an engine", "engine", t.id, "err", err)
		return nil
	}
	o.mu.Lock()
	o.links[t] = opened
	o.mu.Unlock()
	close(ready)
	return opened
}

// closeLink closes a connection and removes it.
func (o *Observer) closeLink(t target, l Link) {
	l.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.links[t] == l {
		delete(o.links, t)
	}
}

// checkClosed probes an engine that has closed its connection, and notifies peers if it
// does not answer.
func (o *Observer) checkClosed(t target, l Link) {
	o.closeLink(t, l)
	if _, err := o.Prober.Report(context.Background(), t.id, t.address); err != nil {
		o.Log.Info("engine closed its connection and does not answer", "engine", t.id, "err", err)
		o.FlushNow()
	}
}

// CloseExcept closes the connections to all engines except those in servers.
func (o *Observer) CloseExcept(servers []backend.Server) {
	wanted := make(map[target]bool, len(servers))
	for _, s := range servers {
		wanted[target{id: s.ID, address: s.Address}] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for t, l := range o.links {
		if !wanted[t] {
			l.Close()
			delete(o.links, t)
		}
	}
}
