package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/acceptor"
	"oleandercove.example/oleandercove/drainer"
	"oleandercove.example/oleandercove/settings"
)

// closeReserve is the part of the shutdown limit that is reserved for closing
// connections and for cancel calls to engines after the last request has ended.
const closeReserve = 500 * time.Millisecond

func newDrainer(s settings.Shutdown, t timer.Service, l *log.Logger) *drainer.Drainer {
	return drainer.New(drainer.Options{
		Timer: t, BalancerDelay: s.BalancerDelay.Std(),
		Limit: max(s.Limit.Std()-closeReserve, s.BalancerDelay.Std()), Log: l.WithPrefix("drainer"),
	})
}

// closeConnections closes each caller's connection with its next response once the
// shutdown has started, so that none is open when the listener closes.
func (d *Daemon) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.drainer.Ready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// shutdown drains the daemon and closes its connections. It blocks until that is
// done, at most until the shutdown limit.
func (d *Daemon) shutdown(ctx context.Context, srv *acceptor.Server) error {
	l := d.log.WithPrefix("daemon")
	ctx, cancel := context.WithTimeout(ctx, d.settings.Shutdown.Limit.Std())
	defer cancel()
	finished := d.drainer.Drain(ctx)
	if err := srv.Stop(ctx); err != nil {
		l.Warn("closing connections that did not end", "err", err)
		return srv.Close()
	}
	d.claimer.Flush(ctx)
	if finished {
		d.models.WaitForReleases(ctx)
	}
	l.Info("shut down")
	return nil
}
