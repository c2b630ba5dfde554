package daemon

import (
	"context"

	"github.com/sourcegraph/conc"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/commander"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/leaser"
)

// controllers is the part of the daemon that sends orders to engines.
type controllers struct {
	leaser    *leaser.Leaser
	commander *commander.Commander
}

func (d *Daemon) newControllers(p platform.Client, t timer.Service) *controllers {
	s, c := d.settings.Controllers, &controllers{}
	c.leaser = leaser.New(leaser.Options{
		Platform: p, Timer: t, Log: d.log.WithPrefix("leaser"), Self: d.settings.Host,
		Term: s.Lease.Std(), OrderLimit: s.OrderLimit.Std(), Clock: d.clock,
		Hosts: func(ctx context.Context) ([]unit.HostID, error) { return d.liveEntryHosts(ctx, p) },
	})
	c.commander = commander.New(commander.Options{
		Leases: c.leaser, Catalogue: d.spreader, Backends: d.watcher, Marks: d.operator.marker, Reader: commander.NewReader(t),
		Sender: commander.NewSender(s.OrderLimit.Std()), Recorder: d.recorder, Timer: t, Log: d.log.WithPrefix("commander"),
		RefreshCatalogue: func(ctx context.Context) error { return d.refreshCatalogue(ctx, p) }, MaxLoads: s.MaxLoads,
	})
	d.operator.dumper.Register("leaser", func() any { return c.leaser.States() })
	return c
}

// refreshCatalogue reads all entries from the platform and merges them into the
// catalogue.
func (d *Daemon) refreshCatalogue(ctx context.Context, p platform.Client) error {
	l, err := p.List(ctx, platform.KindEntry)
	if err != nil {
		return err
	}
	var entries []*catalogue.Entry
	for _, o := range l.Objects {
		e, err := catalogue.DecodeStored(o.Value, o.Version)
		if err != nil {
			d.log.WithPrefix("commander").Error("skipped an invalid catalogue entry", "name", o.Name, "err", err)
			continue
		}
		entries = append(entries, e)
	}
	d.spreader.Merge(entries)
	return nil
}

// liveEntryHosts lists the live entry hosts: the live members, or without peers,
// the live hosts of the platform's list.
func (d *Daemon) liveEntryHosts(ctx context.Context, p platform.Client) ([]unit.HostID, error) {
	if d.controlPlane.Gossiper != nil {
		return gossiper.Hosts(d.controlPlane.Gossiper.Live(), ""), nil
	}
	hosts, err := p.Hosts(ctx)
	var out []unit.HostID
	for _, h := range hosts {
		if h.Role == platform.RoleEntry && h.State == platform.HostLive {
			out = append(out, unit.HostID(h.ID))
		}
	}
	return out, err
}

// run starts the controllers in wg until ctx is done. Leases are released only
// when no order is in flight.
func (c *controllers) run(ctx context.Context, wg *conc.WaitGroup) {
	leases, release := context.WithCancel(context.WithoutCancel(ctx))
	wg.Go(func() { c.leaser.Run(leases) })
	wg.Go(func() {
		defer release()
		c.commander.Run(ctx)
	})
}
