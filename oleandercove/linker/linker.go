// Package linker assembles the control parts of a daemon: links to peers,
// membership, catalogue and backend servers.
//
// Usage:
//
//	p, err := linker.New(linker.Options{Settings: s, Platform: c, Timer: t, Log: l})
//	p.Run(ctx)
package linker

import (
	"context"
	"net"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/settings"
	"oleandercove.example/oleandercove/spreader"
	"oleandercove.example/oleandercove/watcher"
)

// Options configures the control parts.
type Options struct {
	Settings *settings.Settings
	// Credentials override the files of the settings, for measurements.
	Credentials *connector.Credentials
	Platform    platform.Client
	Timer       timer.Service
	Log         *log.Logger
}

// Parts are the control parts of a daemon.
type Parts struct {
	// Connector and Gossiper are nil without peers.
	Connector *connector.Default
	Gossiper  *gossiper.Gossiper
	Members   gossiper.Members
	Spreader  *spreader.Spreader
	Watcher   *watcher.Watcher
}

// New builds the parts and listens for peers; Run starts them.
func New(o Options) (*Parts, error) {
	s := o.Settings
	self := gossiper.Member{
		Host: s.Host, Address: s.Peers.Listen, DataCentre: s.DataCentre, Region: s.Region,
	}
	p := &Parts{Members: gossiper.Alone(self)}
	if s.Peers.Listen != "" {
		if err := p.connect(o, self); err != nil {
			return nil, err
		}
	}
	so := spreader.Options{Platform: o.Platform, Timer: o.Timer, Log: o.Log.WithPrefix("spreader"), Members: p.Members}
	wo := watcher.Options{Platform: o.Platform, Timer: o.Timer, Log: o.Log.WithPrefix("watcher"), Members: p.Members}
	wo.Interval = s.Policy.PollInterval.Std()
	if p.Connector != nil {
		so.Connector, wo.Connector = p.Connector, p.Connector
	}
	p.Spreader, p.Watcher = spreader.New(so), watcher.New(wo)
	return p, nil
}

func (p *Parts) connect(o Options, self gossiper.Member) error {
	peers, err := o.Settings.Peers, error(nil)
	credentials := o.Credentials
	if credentials == nil {
		credentials, err = connector.LoadCredentials(peers.Certificate, peers.Key, peers.Authority)
		if err != nil {
			return trace.Wrap(err, "read peer certificates")
		}
	}
	ln, err := net.Listen("tcp", peers.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for peers on %s", peers.Listen)
	}
	self.Address = ln.Addr().String()
	if peers.Advertise != "" {
		self.Address = peers.Advertise
	}
	p.Connector = connector.New(connector.Options{
		Host: self.Host, Listener: ln, TLS: credentials, Timer: o.Timer, Log: o.Log.WithPrefix("connector"),
	})
	p.Gossiper = gossiper.New(gossiper.Options{
		Self: self, Connector: p.Connector, Platform: o.Platform, Join: peers.Join,
		Timer: o.Timer, Log: o.Log.WithPrefix("gossiper"),
	})
	p.Members = p.Gossiper
	return nil
}

// Run runs all parts until ctx is done.
func (p *Parts) Run(ctx context.Context) {
	var wg conc.WaitGroup
	if p.Connector != nil {
		wg.Go(func() { p.Connector.Run(ctx) })
		wg.Go(func() { p.Gossiper.Run(ctx) })
	}
	wg.Go(func() { p.Spreader.Run(ctx) })
	wg.Go(func() { p.Watcher.Run(ctx) })
	wg.Wait()
}
