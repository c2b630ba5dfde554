package daemon

import (
	"github.com/charmbracelet/log"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/caller"
	"oleandercove.example/oleandercove/claimer"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/retrier"
	"oleandercove.example/oleandercove/settings"
	"oleandercove.example/oleandercove/tracker"
)

// newPlatform returns the platform client with this daemon's call budget.
func newPlatform(s *settings.Settings, l *log.Logger) platform.Client {
	return platform.NewClient(platform.Options{
		Address:          s.Platform.Address,
		ReadsPerSecond:   s.Services.PlatformReadsPerSecond,
		WritesPerSecond:  s.Services.PlatformWritesPerSecond,
		WatchesPerSecond: s.Services.PlatformWatchesPerSecond,
		Log:              l.WithPrefix("platform"),
	})
}

// newServices returns the last handler of the filter chain for service calls and
// the filter for calls with an idempotency key.
func (d *Daemon) newServices(t timer.Service, k *tracker.Tracker, j recorder.Recorder) (*caller.Caller, *claimer.Claimer) {
	s := d.settings.Services
	calls := caller.New(caller.Options{
		Backends: d.operator.backends, Tracker: k, Recorder: j, Log: d.log.WithPrefix("caller"),
		Retry: retrier.Options{Share: s.RetryShare, Reserve: s.RetryReserve},
	})
	claims := claimer.New(claimer.Options{
		Platform: d.platform, Timer: t, Host: d.settings.Host, Log: d.log.WithPrefix("claimer"),
		Buckets: s.ClaimBuckets, Retention: s.ClaimRetention(),
	})
	return calls, claims
}
