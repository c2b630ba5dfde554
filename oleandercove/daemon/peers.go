package daemon

import (
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/linker"
)

// farewellLimit is the time for the last message to peers to leave.
const farewellLimit = 100 * time.Millisecond

// buildParts builds the control parts. Run returns the fault, because a daemon
// must not run without the peers that its settings name.
func (d *Daemon) buildParts(p platform.Client, t timer.Service) {
	parts, err := linker.New(linker.Options{Settings: d.settings, Platform: p, Timer: t, Log: d.log})
	if err != nil {
		d.fault = err
		return
	}
	d.parts, d.spreader, d.watcher = parts, parts.Spreader, parts.Watcher
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
