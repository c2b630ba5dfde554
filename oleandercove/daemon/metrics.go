package daemon

import "net/http"

// Metrics returns a handler that serves the daemon's metrics in the Prometheus text
// format.
func (d *Daemon) Metrics() http.Handler { return d.meter.Handler() }
