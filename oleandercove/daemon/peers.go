package daemon

import (
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/linker"
)

// leaveSendTime is the time allowed for sending the last message to peers.
const leaveSendTime = 100 * time.Millisecond

// buildControlPlane builds the components that exchange state with the platform and the
// peers.
func (d *Daemon) buildControlPlane(p platform.Client, t timer.Service) error {
	c, err := linker.New(linker.Options{Settings: d.settings, Platform: p, Timer: t, Log: d.log})
	if err != nil {
		return err
	}
	d.controlPlane, d.spreader, d.watcher = c, c.Spreader, c.Watcher
	return nil
}

// announceDrain notifies peers that this daemon is shutting down.
func (d *Daemon) announceDrain() {
	if d.controlPlane.Gossiper != nil {
		d.controlPlane.Gossiper.SetDraining(true)
	}
}

// announceLeave notifies peers that this daemon stops now.
func (d *Daemon) announceLeave() {
	if d.controlPlane.Gossiper != nil {
		d.controlPlane.Gossiper.Leave()
		time.Sleep(leaveSendTime)
	}
}
