package daemon

import (
	"context"

	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/quarantiner"
)

// newQuarantine returns the filter for poison requests. If there are peers, it
// also builds the sharer of crash records.
func (d *Daemon) newQuarantine(t timer.Service) *quarantiner.Quarantiner {
	l := d.log.WithPrefix("quarantiner")
	o := quarantiner.Options{Timer: t, Recorder: d.recorder, Log: l, Prober: quarantiner.NewProber()}
	if d.controlPlane.Connector != nil {
		o.Slots = quarantiner.NewFleetSlots(d.controlPlane.Connector, d.controlPlane.Members, t)
	}
	q := quarantiner.New(o)
	if d.controlPlane.Connector != nil {
		d.sharer = quarantiner.NewSharer(d.controlPlane.Connector, t, l, q)
	}
	return q
}

// shareCrashRecords exchanges crash records with the peers until ctx is done.
func (d *Daemon) shareCrashRecords(ctx context.Context) {
	if d.sharer == nil {
		return
	}
	defer d.timer.Subscribe(quarantiner.ForgetInterval, d.sharer.Forget)()
	d.sharer.Run(ctx)
}
