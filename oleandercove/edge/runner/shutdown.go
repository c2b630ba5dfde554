package runner

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"oleandercove.example/oleandercove/edge/settings"
)

const (
	// balancerDelay is how long connections are accepted after the daemon reports that
	// it is not ready: the load balancer polls once a second and needs two failed
	// polls.
	balancerDelay = 2500 * time.Millisecond
	// graceMargin is reserved at the end of the grace time for the last steps.
	graceMargin = 700 * time.Millisecond
	// lastAnswerTime is how long requests that have not finished by then may take to be answered.
	lastAnswerTime = 300 * time.Millisecond
	// settingsPollInterval is the time between two checks of the settings file, which
	// may change without a signal.
	settingsPollInterval = 5 * time.Second
)

// shutDown lets running requests finish. It blocks until they have and the lease is
// released, until graceMargin before the end of the grace time at most, and lets those that
// have not finished be answered then. Requests on open connections are accepted for
// balancerDelay, until the load balancer sends no more, and refused after that, because they
// might not finish.
func (r *Runner) shutDown(stopControl func(), controllers *conc.WaitGroup) {
	start := time.Now()
	limit := start.Add(r.settings.Bounds.Grace.Std() - graceMargin)
	r.log.Info("shutting down", "active", r.gateway.Active(), "limit", time.Until(limit))
	r.leaving.Store(true)
	r.gateway.DisableKeepAlives()
	r.announcer.AnnounceLeaving()
	stopControl()
	controllersDone := make(chan struct{})
	go func() {
		controllers.Wait()
		close(controllersDone)
	}()
	time.Sleep(balancerDelay)
	r.gateway.RefuseNewRequests()
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	r.stopServers(ctx)
	select {
	case <-controllersDone:
	case <-ctx.Done():
	}
}

// stopServers blocks until the servers have stopped. At the end of ctx the remaining requests are
// ended, and their answers written within lastAnswerTime.
func (r *Runner) stopServers(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		r.log.Warn("grace time ended; remaining requests are ended", "active", r.gateway.Active())
		r.gateway.EndRequests()
	})
	defer stop()
	deadline, _ := ctx.Deadline()
	last, cancel := context.WithDeadline(context.Background(), deadline.Add(lastAnswerTime))
	defer cancel()
	for _, s := range r.servers {
		if err := s.Shutdown(last); err != nil {
			r.log.Warn("remaining requests are cut off", "active", r.gateway.Active(), "err", err)
		}
	}
}

// watchSettings checks the settings file after SIGHUP and after each change, until ctx
// is done. It logs the result; a running daemon keeps its settings.
func (r *Runner) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	lastModTime := modTime(r.path)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hup:
			r.reload("signal")
		case <-ticker.C:
			if at := modTime(r.path); at != lastModTime {
				r.reload("file changed")
			}
		case <-ctx.Done():
			return
		}
		lastModTime = modTime(r.path)
	}
}

// modTime returns the modification time of a file, or the zero time if it can't be
// read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload checks the settings file and logs the result.
func (r *Runner) reload(reason string) {
	s, err := settings.Load(r.path)
	if err != nil {
		r.log.Error("settings check failed", "why", reason, "err", err)
		return
	}
	r.log.Info("settings check passed", "why", reason, "restart_needed", s.Listen != r.settings.Listen || s.StoreAddress != r.settings.StoreAddress)
}
