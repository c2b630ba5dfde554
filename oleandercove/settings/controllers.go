package settings

import (
	"time"

	"oleandercove.example/core/loader"
)

// minLease keeps the renewals of one lease below a few calls a second.
const minLease = time.Second

// Controllers configures the leases and the controllers. The times must be the
// same on all daemons, because each waits for what the others are allowed.
type Controllers struct {
	// Lease is the time for which a renewal of a lease allows orders.
	Lease loader.Duration `check:"positive"`
	// OrderLimit bounds an order to an engine.
	OrderLimit loader.Duration `check:"positive"`
	// MaxLoads bounds the engines that load weights at once.
	MaxLoads int `check:"positive"`
}

// Check checks the ranges.
func (c *Controllers) Check() []loader.Problem {
	var out []loader.Problem
	if c.Lease.Std() < minLease {
		out = append(out, loader.Problem{Key: "Lease", Expected: "at least " + minLease.String()})
	}
	if c.OrderLimit >= c.Lease {
		out = append(out, loader.Problem{Key: "OrderLimit", Expected: "less than Lease (" + c.Lease.String() + ")"})
	}
	return out
}
