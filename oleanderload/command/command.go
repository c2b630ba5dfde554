// Package command implements the command line of the load generator.
//
// Usage:
//
//	err := command.New().Execute()
package command

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"oleandercove.example/oleanderload/profile"
	"oleandercove.example/oleanderload/reporter"
	"oleandercove.example/oleanderload/scheduler"
	"oleandercove.example/oleanderload/sender"
	"oleandercove.example/oleanderload/tracer"
)

// flags holds the flags of the run and replay commands.
type flags struct {
	profile string
	trace   string
	out     string
	seed    uint64
}

// New returns the command line.
func New() *cobra.Command {
	c := &cobra.Command{Use: "oleanderload", Short: "Send seeded open-loop load and check every answer", SilenceUsage: true}
	c.AddCommand(newRun(), newReplay())
	return c
}

func (f *flags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.profile, "profile", "", "file of the profile")
	c.Flags().StringVar(&f.trace, "trace", "", "file of the trace")
	c.Flags().StringVar(&f.out, "out", "out/load", "folder of the report and the plots")
	c.Flags().Uint64Var(&f.seed, "seed", 0, "replaces the seed of the profile")
	_ = c.MarkFlagRequired("profile")
}

func newRun() *cobra.Command {
	var f flags
	c := &cobra.Command{Use: "run", Short: "Run a profile; --trace records it", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		p, err := f.loadProfile()
		if err != nil {
			return err
		}
		results := sender.New(p).Run(c.Context(), scheduler.Schedule(p))
		if f.trace != "" {
			if err := writeTrace(f.trace, results); err != nil {
				return err
			}
		}
		return f.writeReport(c, p, results)
	}
	f.register(c)
	return c
}

func newReplay() *cobra.Command {
	var f flags
	c := &cobra.Command{Use: "replay", Short: "Replay a trace and compare the outcomes with the recorded ones", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		p, err := f.loadProfile()
		if err != nil {
			return err
		}
		records, err := readTrace(f.trace)
		if err != nil {
			return err
		}
		results := sender.New(p).Run(c.Context(), tracer.Arrivals(records))
		if err := f.writeReport(c, p, results); err != nil {
			return err
		}
		differences := tracer.Compare(records, results)
		for _, d := range differences {
			fmt.Fprintf(c.OutOrStdout(), "request %d: want %s; got %s\n", d.Index, d.Want, d.Got)
		}
		if len(differences) > 0 {
			return fmt.Errorf("%d of %d outcomes differ from the trace", len(differences), len(records))
		}
		return nil
	}
	f.register(c)
	_ = c.MarkFlagRequired("trace")
	return c
}

func (f *flags) loadProfile() (*profile.Profile, error) {
	p, err := profile.Load(f.profile)
	if err == nil && f.seed != 0 {
		p.Seed = f.seed
	}
	return p, err
}

func writeTrace(path string, results []sender.Result) error {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	defer w.Close()
	if err := tracer.Write(w, results); err != nil {
		return err
	}
	return w.Close()
}

func readTrace(path string) ([]tracer.Record, error) {
	r, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return tracer.Read(r)
}

// writeReport writes report.json and the plots, and prints a summary line. It returns an
// error if the run has violations or refusals with a false verdict NotRun.
func (f *flags) writeReport(c *cobra.Command, p *profile.Profile, results []sender.Result) error {
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return err
	}
	r := reporter.New(results, reporter.Window{To: p.Duration()})
	if err := reporter.Write(filepath.Join(f.out, "report.json"), r); err != nil {
		return err
	}
	path := func(name string) string { return filepath.Join(f.out, name) }
	if err := reporter.Plot(path("first.png"), "Time to first token", "quantile, %", "ms", r.FirstTokenCurve("all")); err != nil {
		return err
	}
	if err := reporter.Plot(path("between.png"), "Time between tokens", "quantile, %", "ms", r.TokenIntervalCurve("all")); err != nil {
		return err
	}
	if err := reporter.Plot(path("rate.png"), "Throughput", "time, s", "tokens/s", r.ThroughputCurve("all")); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%d requests, %d complete, %.0f tokens/s, first token p95 %.1f ms, between p95 %.1f ms, refusals %v, violations %v\n",
		r.Requests, r.Complete, r.TokensPerSecond, r.First.P95, r.Between.P95, r.Refusals, r.Violations)
	if len(r.Violations) > 0 || r.FalseNotRun > 0 {
		return fmt.Errorf("responses with violations: %v, %d false NotRun", r.Violations, r.FalseNotRun)
	}
	return nil
}
