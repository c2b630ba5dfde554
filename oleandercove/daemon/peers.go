package daemon

import (
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/linker"
)

// farewellLimit is the time for the last message to peers to leave.
const farewellLimit = 100 * time.Millisecond

// buildParts builds the control parts.
func (d *Daemon) buildParts(p platform.Client, t timer.Service) error {
	parts, err := linker.New(linker.Options{Settings: d.settings, Platform: p, Timer: t, Log: d.log})
	if err != nil {
		return err
	}
	d.parts, d.spreader, d.watcher = parts, parts.Spreader, parts.Watcher
	return nil
}

// announceDrain tells peers that this daemon is shutting down.
func (d *Daemon) announceDrain() {
	if d.parts.Gossiper != nil {
		d.parts.Gossiper.SetDraining(true)
	}
}

// leave tells peers that this daemon stops.
func (d *Daemon) leave() {
	if d.parts.Gossiper != nil {
		d.parts.Gossiper.Leave()
		time.Sleep(farewellLimit)
	}
}
