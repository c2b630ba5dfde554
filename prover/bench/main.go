// Command bench measures the system with real processes on loopback: the
// throughput of each policy as a share of the hardware's bound, latencies at
// 80% load, the cost of the daemon for each token, stream and request, the gaps of
// streams whose engine is killed, and the effect of admission at 150% load.
//
// Usage:
//
//	bench -seed 14 -rigs equal,mixed -policies least-delay,round-robin
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"oleandercove.example/oleandercove/planner"
	"oleandercove.example/oleanderload/reporter"
)

// limit is the time limit of the entire measurement.
const limit = 10 * time.Minute

// Result is the content of bench.json.
type Result struct {
	Seed     uint64
	Rows     []*Row    `json:",omitempty"`
	Recovery *Recovery `json:",omitempty"`
	Relay    *Relay    `json:",omitempty"`
	Slopes   *Slopes   `json:",omitempty"`
	// Overload holds the measurements without and with admission, in this order.
	Overload []*Overload `json:",omitempty"`
}

type options struct {
	seed           uint64
	rigs, policies string
	out            string
}

func main() {
	var o options
	flag.Uint64Var(&o.seed, "seed", 14, "seed of the load")
	flag.StringVar(&o.rigs, "rigs", "equal,mixed,slow-link,dead,recovery,relay,slopes,overload", "measurements to run")
	flag.StringVar(&o.policies, "policies", "least-delay,round-robin,least-connections", "policies to compare")
	flag.StringVar(&o.out, "out", "out", "folder of bench.json and the plots")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := o.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func (o options) selected(name string) bool {
	for _, s := range strings.Split(o.rigs, ",") {
		if s == name {
			return true
		}
	}
	return false
}

func (o options) run(ctx context.Context) error {
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return err
	}
	res := &Result{Seed: o.seed}
	fmt.Printf("%-10s %-18s %8s %6s | %7s %7s | %7s %7s | %7s %7s | %4s %4s %5s\n", "rig", "policy", "bound", "share",
		"first50", "first95", "betw50", "betw95", "cpu/tok", "eng/tok", "inc", "vio", "load")
	for _, d := range designs() {
		if !o.selected(d.name) {
			continue
		}
		if err := o.compare(ctx, d, res); err != nil {
			return err
		}
	}
	if err := o.measureOthers(ctx, res); err != nil {
		return err
	}
	return reporter.Write(filepath.Join(o.out, "bench.json"), res)
}

// compare measures each policy on one rig and plots all of them together.
func (o options) compare(ctx context.Context, d design, res *Result) error {
	var between, rate []reporter.Curve
	for _, name := range strings.Split(o.policies, ",") {
		var b planner.PolicyName
		if err := b.UnmarshalText([]byte(name)); err != nil {
			return err
		}
		row, err := measure(ctx, d, b, o.seed)
		if err != nil {
			return err
		}
		res.Rows = append(res.Rows, row)
		between = append(between, row.ordinary.TokenIntervalCurve(name))
		rate = append(rate, row.saturated.ThroughputCurve(name))
		fmt.Printf("%-10s %-18s %8.0f %6.3f | %7.1f %7.1f | %7.1f %7.1f | %7.0f %7.0f | %4d %4d %5s\n", row.Rig, row.Policy,
			row.Bound, row.Share, row.First.P50, row.First.P95, row.Between.P50, row.Between.P95,
			row.DaemonMicros, row.EngineMicros, row.Incomplete, row.Violations, row.MachineLoad)
	}
	path := filepath.Join(o.out, d.name)
	if err := reporter.Plot(path+"-between.png", d.name+": time between tokens at 80% load", "quantile, %", "ms", between...); err != nil {
		return err
	}
	return reporter.Plot(path+"-rate.png", d.name+": throughput at 130% load", "time, s", "tokens/s", rate...)
}

func (o options) measureOthers(ctx context.Context, res *Result) error {
	var err error
	if o.selected("recovery") {
		if res.Recovery, err = measureRecovery(ctx, designs()[0]); err != nil {
			return err
		}
		r := res.Recovery
		fmt.Printf("recovery: %d kills, %d of %d streams complete, longest gap p50 %.0f ms, p99 %.0f ms, max %.0f ms (without a kill p50 %.0f ms), load %s\n",
			r.Kills, r.Whole, r.Streams, r.Gap.P50, r.Gap.P99, r.Gap.Most, r.Quiet.P50, machineLoad())
	}
	if o.selected("relay") {
		if res.Relay, err = measureRelay(ctx); err != nil {
			return err
		}
		r := res.Relay
		fmt.Printf("relay: %.0f tokens/s, through the daemon p50 %.3f ms, p99 %.3f ms; direct p50 %.3f ms, p99 %.3f ms; daemon cpu %.0f us/token, load %s\n",
			r.Rate, r.Daemon.P50, r.Daemon.P99, r.Direct.P50, r.Direct.P99, r.DaemonMicros, machineLoad())
	}
	if o.selected("slopes") {
		if res.Slopes, err = measureSlopes(ctx); err != nil {
			return err
		}
		res.Slopes.print()
	}
	if !o.selected("overload") {
		return nil
	}
	for _, admission := range []bool{false, true} {
		m, err := measureOverload(ctx, o.seed, admission)
		if err != nil {
			return err
		}
		m.print()
		res.Overload = append(res.Overload, m)
	}
	return nil
}
