package main

import (
	"context"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/planner"
	"oleandercove.example/oleanderload/profile"
	"oleandercove.example/oleanderload/reporter"
	"oleandercove.example/oleanderload/scheduler"
	"oleandercove.example/oleanderload/sender"
	"oleandercove.example/prover/launcher"
)

const (
	// saturation is the offered load of the throughput measurement, as a share of the bound.
	saturation = 1.3
	// ordinary is the offered load of the latency measurement, as a share of the bound.
	ordinary = 0.8
	// rampUp is the time at the start that is excluded from the throughput.
	rampUp = 2500 * time.Millisecond
	// runTime is the time during which requests are sent.
	runTime = 7 * time.Second
)

// newProfile returns the profile of a load at a share of the bound, in tokens/s. Prompts are
// short enough to cost one unit of work, so that the bound holds for tokens.
func newProfile(r *rig, seed uint64, bound, share float64) *profile.Profile {
	p := &profile.Profile{
		Seed: seed, Rate: 1000, DurationSeconds: runTime.Seconds(), Model: modelName, Layers: layers, DeadlineMs: 30000,
		Prompt: profile.Length{Median: 8, Sigma: 0.4, Min: 4, Max: 16},
		Answer: profile.Length{Median: 40, Sigma: 0.5, Min: 10, Max: 120},
	}
	for _, d := range r.daemons {
		p.Addresses = append(p.Addresses, d.Address)
	}
	for i, a := range accounts[:3] {
		p.Accounts = append(p.Accounts, profile.Account{
			Name: unit.AccountID(a), Token: launcher.Token(a), Weight: float64(i + 1),
			Priority: []string{"high", "normal", "low"}[i],
		})
	}
	tokens, arrivals := 0, scheduler.Schedule(p)
	for _, a := range arrivals {
		tokens += a.MaxTokens
	}
	p.Rate = share * bound / (float64(tokens) / float64(len(arrivals)))
	return p
}

// Row is the result of one policy on one rig.
type Row struct {
	Rig    string
	Policy planner.PolicyName
	// Bound is in tokens/s.
	Bound float64
	// Share is the throughput at the saturation load divided by the bound.
	Share float64
	// First and Between are the times to the first token and between tokens at 80% load, in
	// milliseconds.
	First, Between reporter.Quantiles
	// DaemonMicros and EngineMicros are microseconds of processor time for each token.
	DaemonMicros, EngineMicros float64
	Incomplete, Violations     int
	// MachineLoad is the load average at the end of the row.
	MachineLoad string

	saturated, ordinary *reporter.Report
}

func measure(ctx context.Context, d design, b planner.PolicyName, seed uint64) (*Row, error) {
	r, err := newRig(ctx, d, "\n[Policy]\nBalance = \""+string(b)+"\"\n")
	if err != nil {
		return nil, err
	}
	defer r.close()
	row := &Row{Rig: d.name, Policy: b, Bound: d.bound()}
	row.ordinary = row.run(ctx, r, seed, ordinary)
	row.First, row.Between = row.ordinary.First, row.ordinary.Between
	daemons, engines := cpuTime(r.daemons), cpuTime(r.engines)
	row.saturated = row.run(ctx, r, seed, saturation)
	row.Share = row.saturated.TokensPerSecond / row.Bound
	tokens := 0
	for _, a := range row.saturated.Accounts {
		tokens += a.Tokens
	}
	row.DaemonMicros = perToken(cpuTime(r.daemons)-daemons, tokens)
	row.EngineMicros = perToken(cpuTime(r.engines)-engines, tokens)
	row.MachineLoad = machineLoad()
	return row, nil
}

// perToken returns the duration for each token in microseconds.
func perToken(d time.Duration, tokens int) float64 {
	return float64(d.Microseconds()) / float64(max(1, tokens))
}

func (w *Row) run(ctx context.Context, r *rig, seed uint64, share float64) *reporter.Report {
	p := newProfile(r, seed, w.Bound, share)
	results := sender.New(p).Run(ctx, scheduler.Schedule(p))
	m := reporter.New(results, reporter.Window{From: rampUp, To: runTime})
	w.Incomplete += m.Requests - m.Complete
	for _, v := range m.Violations {
		w.Violations += v.Count
	}
	return m
}
