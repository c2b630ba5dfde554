package settings

import (
	"slices"
	"time"

	"oleandercove.example/core/loader"
	"oleandercove.example/oleandercove/planner"
)

const (
	// minSilence is twice the engines' heartbeat interval of 250 ms, so that one
	// late heartbeat does not count as silence.
	minSilence = 500 * time.Millisecond
	// maxPoll leaves room for one failed round within the 3 s in which a leaving
	// backend server must stop receiving new work.
	maxPoll = time.Second
)

// Policy holds the values in which sites differ: a lower value recovers
// faster, a higher one causes fewer calls and fewer needless recoveries.
type Policy struct {
	// SilenceLimit is how long an engine may send nothing on an open stream.
	SilenceLimit loader.Duration `check:"positive"`
	// PollInterval is the time between two status calls to a backend server.
	PollInterval loader.Duration `check:"positive"`
	// Balance is least-delay (the default), round-robin or least-connections.
	Balance planner.Balance
}

// Check checks the ranges.
func (p *Policy) Check() []loader.Problem {
	var out []loader.Problem
	if p.SilenceLimit.Std() < minSilence {
		out = append(out, loader.Problem{Key: "SilenceLimit", Expected: "at least " + minSilence.String()})
	}
	if p.PollInterval.Std() > maxPoll {
		out = append(out, loader.Problem{Key: "PollInterval", Expected: "at most " + maxPoll.String()})
	}
	return out
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// BalancerDelay is how long the daemon accepts requests after it has reported
	// that it is not ready, until the load balancer has noticed.
	BalancerDelay loader.Duration
	// Limit bounds the whole shutdown, including BalancerDelay.
	Limit loader.Duration `check:"positive"`
}

// Check checks that the delay leaves time to finish streams.
func (s *Shutdown) Check() []loader.Problem {
	if s.BalancerDelay < 0 || s.BalancerDelay >= s.Limit {
		return []loader.Problem{{Key: "BalancerDelay", Expected: "a duration from 0s to less than Limit (" + s.Limit.String() + ")"}}
	}
	return nil
}

// Check checks that the listener is protected.
func (o *Operators) Check() []loader.Problem {
	if o.Listen != "" && o.Token == "" {
		return []loader.Problem{{Key: "Token", Expected: "a bearer token, because Listen is set"}}
	}
	return nil
}

// Check checks the names of level and format.
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
