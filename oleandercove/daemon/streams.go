package daemon

import "oleandercove.example/oleandercove/mover"

// gate returns the bound on moves of running streams, or nil if they stay.
func (d *Daemon) gate() *mover.Gate {
	if !d.settings.Streams.Move {
		return nil
	}
	return mover.NewGate(d.timer)
}
