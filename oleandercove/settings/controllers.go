package settings

import (
	"time"

	"oleandercove.example/core/loader"
)

// minLease keeps the renewals of one lease below a few calls per second.
const minLease = time.Second

// Controllers configures the leases and the controllers. The times must be the
// same on all daemons, because each waits for the times that the others are allowed.
type Controllers struct {
	// Lease is how long the holder may send orders after a renewal of its lease.
	Lease loader.Duration `check:"positive"`
	// OrderLimit bounds the time of an order to an engine.
	OrderLimit loader.Duration `check:"positive"`
	// MaxLoads bounds the engines that load weights at once.
	MaxLoads int `check:"positive"`
}

// Check returns the values that are out of range.
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
