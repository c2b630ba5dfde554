// Package linker builds and runs the control plane of a daemon: links to peers,
// membership, catalogue and the state of backend servers.
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

// Options configures the control plane.
type Options struct {
	Settings *settings.Settings
	// Credentials override the certificate files of the settings, for measurements.
	Credentials *connector.Credentials
	Platform    platform.Client
	Timer       timer.Service
	Log         *log.Logger
}

// ControlPlane holds the components of the control plane of a daemon.
type ControlPlane struct {
	// Connector and Gossiper are nil without peers.
	Connector *connector.TLSConnector
	Gossiper  *gossiper.Gossiper
	Members   gossiper.Members
	Spreader  *spreader.Spreader
	Watcher   *watcher.Watcher
}

// New creates the components and listens for peers; Run starts them. It returns an
// error if it can't read the peer certificates or listen.
func New(o Options) (*ControlPlane, error) {
	s := o.Settings
	self := gossiper.Member{
		Host: s.Host, Address: s.Peers.Listen, DataCentre: s.DataCentre, Region: s.Region,
	}
	p := &ControlPlane{Members: gossiper.Standalone(self)}
	if s.Peers.Listen != "" {
		if err := p.setUpPeers(o, self); err != nil {
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

// setUpPeers listens for peers and creates the connector and the gossiper.
func (p *ControlPlane) setUpPeers(o Options, self gossiper.Member) error {
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

// Run runs all components; it blocks until ctx is done and they have stopped.
func (p *ControlPlane) Run(ctx context.Context) {
	var wg conc.WaitGroup
	if p.Connector != nil {
		wg.Go(func() { p.Connector.Run(ctx) })
		wg.Go(func() { p.Gossiper.Run(ctx) })
	}
	wg.Go(func() { p.Spreader.Run(ctx) })
	wg.Go(func() { p.Watcher.Run(ctx) })
	wg.Wait()
}
