package watcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/logger"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
)

func TestLeavingRow(t *testing.T) {
	for _, row := range []struct {
		name   string
		states []platform.HostState // one a second
		want   bool
	}{
		{"leaving row is ignored", []platform.HostState{platform.HostLeaving}, true},
		{"row that flips back brings new work", []platform.HostState{platform.HostLeaving, platform.HostLive, platform.HostLive}, true},
		{"later sign does not extend the first", []platform.HostState{platform.HostLeaving, platform.HostLive, platform.HostLeaving, platform.HostLive, platform.HostLive, platform.HostLive}, true},
		{"withdrawn sign hides a backend server for ever", []platform.HostState{platform.HostLeaving, platform.HostLive, platform.HostLive, platform.HostLive, platform.HostLive, platform.HostLive}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual(time.Unix(0, 0))
			w := New(Options{Timer: clock, Log: logger.Discard()})
			for i, s := range row.states {
				if i > 0 {
					clock.Advance(time.Second)
				}
				w.install([]platform.Host{{ID: "e", Role: platform.RoleEngine, State: s}})
			}
			is.Equal(w.Backends()[0].Draining, row.want)
		})
	}
}
