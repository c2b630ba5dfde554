package daemon

import (
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/linker"
)

// leaveSendTime is the time allowed for sending the last message to peers.
const leaveSendTime = 100 * time.Millisecond

// buildParts builds the parts that exchange state with the platform and the peers.
func (d *Daemon) buildParts(p platform.Client, t timer.Service) error {
	parts, err := linker.New(linker.Options{Settings: d.settings, Platform: p, Timer: t, Log: d.log})
	if err != nil {
		return err
	}
	d.parts, d.spreader, d.watcher = parts, parts.Spreader, parts.Watcher
	return nil
}

// announceDrain notifies peers that this daemon is shutting down.
func (d *Daemon) announceDrain() {
	if d.parts.Gossiper != nil {
		d.parts.Gossiper.SetDraining(true)
	}
}

// announceLeave notifies peers that this daemon stops now.
func (d *Daemon) announceLeave() {
	if d.parts.Gossiper != nil {
		d.parts.Gossiper.Leave()
		time.Sleep(leaveSendTime)
	}
}
