package daemon

import (
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/allocator"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/limiter"
)

// singleHost is the fleet of a daemon that has no peers.
type singleHost struct{ gossiper.Members }

// FleetSize returns 1, the number of hosts in this fleet.
func (singleHost) FleetSize() int { return 1 }

// newLimiter returns the filter for limits. Its limit slices come from the
// coordinator of each catalogue entry.
func (d *Daemon) newLimiter(t timer.Service) *limiter.Limiter {
	o := allocator.Options{Members: singleHost{d.controlPlane.Members}, Catalogue: d.spreader, Timer: t}
	if d.controlPlane.Connector != nil {
		o.Members, o.Links = d.controlPlane.Gossiper, d.controlPlane.Connector
	}
	a := allocator.New(o)
	if d.controlPlane.Connector != nil {
		a.Serve(d.controlPlane.Connector)
	}
	return limiter.New(limiter.Options{Catalogue: d.spreader, Exchange: a, Timer: t})
}
