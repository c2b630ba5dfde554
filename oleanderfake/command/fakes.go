package command

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/booker"
	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/oleanderfake/storer"
)

func newPlatform() *cobra.Command {
	var l serveOptions
	var o storer.Options
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's object API",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return l.serve(c.Context(), storer.New(o).Handler())
		},
	}
	l.addFlags(c)
	f := c.Flags()
	f.DurationVar(&o.HostLag, "host-lag", 500*time.Millisecond, "delay of the host list")
	f.DurationVar(&o.HostTimeout, "host-timeout", 5*time.Second, "drops hosts that don't refresh their row")
	f.Float64Var(&o.WritesPerSecond, "writes-per-second", 0, "limit on writes; 0 means none")
	f.Float64Var(&o.ReadsPerSecond, "reads-per-second", 0, "limit on reads; 0 means none")
	return c
}

func newEngine() *cobra.Command {
	var l serveOptions
	o := runner.Options{Exit: os.Exit}
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in for a model engine",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o.DrainLimit = l.drainLimit
			e, err := runner.New(o)
			if err != nil {
				return err
			}
			go e.Run(c.Context())
			l.host = platform.Host{
				ID: string(o.Backend), Role: platform.RoleEngine, Address: l.address,
				DataCentre: o.DataCentre, State: platform.HostLive, Serves: o.Model,
			}
			l.drain, l.busy = e.Drain, e.Busy
			return l.serve(c.Context(), e.Handler())
		},
	}
	l.addFlags(c)
	f := c.Flags()
	f.StringVar((*string)(&o.Backend), "id", "engine", "id of the backend server")
	f.StringVar((*string)(&o.DataCentre), "data-centre", "", "data centre")
	f.StringVar(&o.Kind, "kind", "a", "kind of accelerator")
	f.StringVar((*string)(&o.Model), "model", "model", "model that the engine holds")
	f.IntVar((*int)(&o.Layers), "layers", 24, "layers of the whole model")
	f.IntVar((*int)(&o.From), "from", 0, "first layer")
	f.IntVar((*int)(&o.To), "to", 24, "layer after the last one")
	f.DurationVar(&o.LayerTime, "layer-time", 100*time.Microsecond, "time of a layer in one iteration")
	f.IntVar(&o.MaxBatch, "max-batch", 16, "tokens in one iteration")
	f.IntVar(&o.MaxStreams, "max-streams", 256, "memory limit in streams")
	f.DurationVar(&o.LoadLag, "load-lag", 200*time.Millisecond, "delay of the load report")
	f.DurationVar(&o.LinkLatency, "link-latency", 0, "latency of the link to the next stage")
	f.Float64Var((*float64)(&o.LinkRate), "link-rate", 0, "rate of the link in bytes/s; 0 means no limit")
	f.IntVar(&o.ActivationBytes, "activation-bytes", 8192, "size of an activation in bytes")
	f.StringVar(&o.Version, "version", "", "version of the weights at the start")
	f.StringSliceVar(&o.Adapters, "adapters", nil, "adapters at the start")
	f.IntVar((*int)(&o.MaxLayers), "max-layers", 0, "layers that fit in the memory; 0 means any number")
	f.DurationVar(&o.LoadTime, "load-time", 0, "time of loading weights for an order")
	f.BoolVar(&o.IgnoreFence, "ignore-fence", false, "take orders with any fencing number")
	f.IntVar(&o.CacheBlocks, "cache-blocks", 0, "memory of the prefix cache in blocks of 16 positions; 0 turns it off")
	f.DurationVar(&o.CacheLag, "cache-lag", 500*time.Millisecond, "delay of cache events")
	f.Float64Var(&o.CacheLossRate, "cache-gaps", 0.05, "share of cache events that is lost")
	f.StringVar(&o.PoisonWord, "poison-word", "", "exit when a prompt contains this word")
	f.StringVar(&o.Journal, "journal", "", "file of the journal")
	return c
}

func newService() *cobra.Command {
	var l serveOptions
	var o booker.Options
	var serves, dataCentre string
	c := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in for a plain service",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := booker.New(o)
			if err != nil {
				return err
			}
			l.host = platform.Host{
				ID: string(o.Backend), Role: platform.RoleService, Address: l.address,
				DataCentre: unit.DataCentre(dataCentre), State: platform.HostLive, Serves: unit.EntryName(serves),
			}
			l.drain, l.busy = s.Drain, func() bool { return false }
			return l.serve(c.Context(), s.Handler())
		},
	}
	l.addFlags(c)
	f := c.Flags()
	f.StringVar((*string)(&o.Backend), "id", "service", "id of the backend server")
	f.StringVar(&serves, "serves", "service", "catalogue entry that the worker serves")
	f.StringVar(&dataCentre, "data-centre", "", "data centre")
	f.DurationVar(&o.Delay, "delay", time.Millisecond, "time of a call")
	f.StringVar(&o.Journal, "journal", "", "file of the journal")
	return c
}
