package main

import (
	"context"
	"fmt"
	"time"

	"oleandercove.example/oleanderload/profile"
	"oleandercove.example/oleanderload/reporter"
	"oleandercove.example/oleanderload/scheduler"
	"oleandercove.example/oleanderload/sender"
	"oleandercove.example/prover/launcher"
)

const (
	// overload is the offered load of the admission measurement, as a share of the bound.
	overload = 1.5
	// overloadTime is the time during which requests are sent.
	overloadTime = 10 * time.Second
	// overloadDeadline is about twice the time of the longest response on engines without
	// a queue.
	overloadDeadline = 6 * time.Second
)

// Overload is the result of a measurement at 150% load, with a flood from one account.
type Overload struct {
	Admission bool
	Bound     float64
	// Good is the rate of tokens of complete responses divided by the bound.
	Good float64
	// Refusal is the time until a refusal, in milliseconds.
	Refusal reporter.Quantiles
	Report  *reporter.Report
}

// floodProfile offers 30% of the bound in the high class, 30% in the low one,
// and in the normal class 20% from one account, which is below its fair share,
// and 70% from another.
func floodProfile(r *rig, seed uint64, bound float64) *profile.Profile {
	p := newProfile(r, seed, bound, overload)
	p.DurationSeconds, p.DeadlineMs = overloadTime.Seconds(), int(overloadDeadline.Milliseconds())
	p.Accounts = nil
	for _, a := range []profile.Account{
		{Name: "depot", Weight: 3, Priority: "high"},
		{Name: "survey", Weight: 2, Priority: "normal"},
		{Name: "flood", Weight: 7, Priority: "normal"},
		{Name: "night", Weight: 3, Priority: "low"},
	} {
		a.Token = launcher.Token(string(a.Name))
		p.Accounts = append(p.Accounts, a)
	}
	return p
}

func measureOverload(ctx context.Context, seed uint64, admission bool) (*Overload, error) {
	d := designs()[1]
	r, err := newRig(ctx, d, fmt.Sprintf("\n[Admission]\nOff = %v\n", !admission))
	if err != nil {
		return nil, err
	}
	defer r.close()
	out := &Overload{Admission: admission, Bound: d.bound()}
	p := floodProfile(r, seed, out.Bound)
	results := sender.New(p).Run(ctx, scheduler.Schedule(p))
	out.Report = reporter.New(results, reporter.Window{From: rampUp, To: overloadTime})
	var refusals []time.Duration
	good := 0
	for _, m := range results {
		if m.Outcome.Complete && m.End >= rampUp && m.End < overloadTime {
			good += m.Outcome.Tokens
		}
		if m.Outcome.Reason != "" && len(m.TokenTimes) == 0 {
			refusals = append(refusals, m.End-m.Sent)
		}
	}
	out.Good = float64(good) / (overloadTime - rampUp).Seconds() / out.Bound
	out.Refusal = reporter.Summarise(refusals)
	return out, nil
}

func (o *Overload) print() {
	r := o.Report
	fmt.Printf("overload: admission %v, good share %.3f, %d requests, %d complete, refusals %v, violations %v, first p50 %.0f p95 %.0f ms, between p95 %.0f ms, refused within p50 %.0f p99 %.0f ms, load %s\n",
		o.Admission, o.Good, r.Requests, r.Complete, r.Refusals, r.Violations, r.First.P50, r.First.P95, r.Between.P95,
		o.Refusal.P50, o.Refusal.P99, machineLoad())
	for _, a := range r.Accounts {
		fmt.Printf("  %-8s complete %4d of %4d, first p95 %.0f ms\n", a.Account, a.Complete, a.Sent, a.First.P95)
	}
}
