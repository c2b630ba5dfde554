package daemon

import (
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/allocator"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/limiter"
)

// soleHost is the fleet of a daemon without peers.
type soleHost struct{ gossiper.Members }

// Known returns 1.
func (soleHost) Known() int { return 1 }

// newLimiter returns the filter for limits; its slices come from home daemons.
func (d *Daemon) newLimiter(t timer.Service) *limiter.Limiter {
	o := allocator.Options{Members: soleHost{d.parts.Members}, Catalogue: d.spreader, Timer: t}
	if d.parts.Connector != nil {
		o.Members, o.Links = d.parts.Gossiper, d.parts.Connector
	}
	a := allocator.New(o)
	if d.parts.Connector != nil {
		a.Serve(d.parts.Connector)
	}
	return limiter.New(limiter.Options{Catalogue: d.spreader, Exchange: a, Timer: t})
}
