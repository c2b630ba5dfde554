package settings

import "time"

// Controllers configures the leases and the controllers. The times must be the
// same on all daemons.
type Controllers struct {
	// LeaseMs is the term of a lease in milliseconds; 0 means the default.
	LeaseMs int
	// OrderLimitMs bounds an order in milliseconds; 0 means the default.
	OrderLimitMs int
	// MaxLoads bounds the engines that load weights at once; 0 means the
	// default.
	MaxLoads int
}

// Lease returns the term of a lease, or 0 for the default.
func (c Controllers) Lease() time.Duration { return time.Duration(c.LeaseMs) * time.Millisecond }

// OrderLimit returns the longest time of an order, or 0 for the default.
func (c Controllers) OrderLimit() time.Duration {
	return time.Duration(c.OrderLimitMs) * time.Millisecond
}
