package settings

import (
	"slices"
	"time"

	"oleandercove.example/core/loader"
	"oleandercove.example/oleandercove/planner"
)

const (
	// minSilenceLimit is twice the engines' heartbeat interval of 250 ms, so that one
	// late heartbeat does not count as silence.
	minSilenceLimit = 500 * time.Millisecond
	// maxPollInterval allows for one failed poll within the 3 s after which a leaving
	// backend server must get no new work.
	maxPollInterval = time.Second
)

// Policy holds the values in which sites differ. Shorter times recover faster; longer
// times cause fewer calls and fewer needless recoveries.
type Policy struct {
	// SilenceLimit is how long an engine may send nothing on an open stream.
	SilenceLimit loader.Duration `check:"positive"`
	// PollInterval is the time between two status calls to a backend server.
	PollInterval loader.Duration `check:"positive"`
	// Balance is the load balancing policy: least-delay (the default), round-robin or
	// least-connections.
	Balance planner.PolicyName
}

// Check returns the values that are out of range.
func (p *Policy) Check() []loader.Problem {
	var out []loader.Problem
	if p.SilenceLimit.Std() < minSilenceLimit {
		out = append(out, loader.Problem{Key: "SilenceLimit", Expected: "at least " + minSilenceLimit.String()})
	}
	if p.PollInterval.Std() > maxPollInterval {
		out = append(out, loader.Problem{Key: "PollInterval", Expected: "at most " + maxPollInterval.String()})
	}
	return out
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// BalancerDelay is how long the daemon accepts requests after it reported that it
	// is not ready. The load balancer must notice the report within this time.
	BalancerDelay loader.Duration
	// Limit bounds the whole shutdown, including BalancerDelay.
	Limit loader.Duration `check:"positive"`
}

// Check returns a problem if BalancerDelay leaves no time to finish streams.
func (s *Shutdown) Check() []loader.Problem {
	if s.BalancerDelay < 0 || s.BalancerDelay >= s.Limit {
		return []loader.Problem{{Key: "BalancerDelay", Expected: "a duration from 0s to less than Limit (" + s.Limit.String() + ")"}}
	}
	return nil
}

// Check returns a problem if the listener has no token.
func (o *Operators) Check() []loader.Problem {
	if o.Listen != "" && o.Token == "" {
		return []loader.Problem{{Key: "Token", Expected: "a bearer token, because Listen is set"}}
	}
	return nil
}

// Check returns unknown names of the level and the format.
func (l *Log) Check() []loader.Problem {
	var out []loader.Problem
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, l.Level) {
		out = append(out, loader.Problem{Key: "Level", Expected: "debug, info, warn or error"})
	}
	if !slices.Contains([]string{"text", "json"}, l.Format) {
		out = append(out, loader.Problem{Key: "Format", Expected: "text or json"})
	}
	return out
}
