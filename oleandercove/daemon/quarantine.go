package daemon

import (
	"context"

	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/quarantiner"
)

// newQuarantine returns the filter for poison requests, which shares its marks
// with the peers.
func (d *Daemon) newQuarantine(t timer.Service) *quarantiner.Quarantiner {
	l := d.log.WithPrefix("quarantiner")
	o := quarantiner.Options{Timer: t, Recorder: d.recorder, Log: l, Prober: quarantiner.NewProber()}
	if d.parts.Connector != nil {
		o.Slots = quarantiner.NewFleetSlots(d.parts.Connector, d.parts.Members, t)
	}
	q := quarantiner.New(o)
	if d.parts.Connector != nil {
		d.sharer = quarantiner.NewSharer(d.parts.Connector, t, l, q)
	}
	return q
}

// shareMarks exchanges marks with the peers until ctx is done.
func (d *Daemon) shareMarks(ctx context.Context) {
	if d.sharer == nil {
		return
	}
	defer d.timer.Subscribe(quarantiner.ForgetInterval, d.sharer.Forget)()
	d.sharer.Run(ctx)
}
