package runner

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/follower"
	"oleandercove.example/platform"
)

const (
	configurationPath = "/configuration"
	metricsPath       = "/metrics"
	dumpPath          = "/dump"
	// defaultHeaderTimeout and defaultIdleTimeout apply while the configuration sets no
	// limits.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// placeholderHeaderTimeout and placeholderIdleTimeout are set on the HTTP server,
	// which reads its limits only at its start. On each connection they are replaced by
	// the limits in force. Their difference shows which of the two limits a deadline
	// stands for.
	placeholderHeaderTimeout = 2 * time.Hour
	placeholderIdleTimeout   = time.Hour
	// idleMargin is added to the idle limit of the configuration, so that the caller
	// stops using a connection before it is closed.
	idleMargin = 500 * time.Millisecond
	// maxHeaderBytes bounds the headers of callers, whatever the configuration allows.
	maxHeaderBytes = routing.MaxHeaderBytes
	// internalTimeout bounds the reading of requests from the platform and from peers.
	internalTimeout = 5 * time.Second
)

// listen opens all listeners, so that an occupied port is an error at the start.
func (r *Runner) listen() error {
	for _, address := range []string{r.settings.Listen.Callers, r.settings.Listen.Ready, r.settings.PeerAddress()} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		r.listeners = append(r.listeners, l)
	}
	callers := &http.Server{
		Handler: r.gateway, ReadHeaderTimeout: placeholderHeaderTimeout, IdleTimeout: placeholderIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: r.log.StandardLog(),
	}
	r.servers = []*http.Server{
		callers,
		{Handler: r.readyRoutes(), ReadTimeout: internalTimeout},
		{Handler: r.peerRoutes(), ReadTimeout: internalTimeout, IdleTimeout: time.Minute},
	}
	r.listeners[0] = &boundedListener{Listener: r.listeners[0], limits: r.connectionLimits}
	return nil
}

// connectionLimits are the limits of a caller's connection.
type connectionLimits struct {
	// headerTimeout bounds the head of a request, idleTimeout the wait for the next
	// one.
	headerTimeout, idleTimeout time.Duration
}

// connectionLimits returns the limits in force.
func (r *Runner) connectionLimits() connectionLimits {
	c := connectionLimits{headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
	t := r.directory.Table()
	if t == nil {
		return c
	}
	if l := t.Configuration.Limits; l.HeaderTimeout > 0 {
		c.headerTimeout = l.HeaderTimeout
	}
	if l := t.Configuration.Limits; l.IdleTimeout > 0 {
		c.idleTimeout = l.IdleTimeout + idleMargin
	}
	return c
}

// serve starts the HTTP servers. The channel receives the errors of those that end
// before a shutdown.
func (r *Runner) serve() <-chan error {
	failed := make(chan error, len(r.servers))
	for i, s := range r.servers {
		go func() {
			if err := s.Serve(r.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

// readyRoutes returns the handler of the platform's readiness checks.
func (r *Runner) readyRoutes() http.Handler {
	m := httprouter.New()
	m.GET(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		conf := r.directory.Configuration()
		if r.leaving.Load() || conf == nil || !conf.IsCompared(r.timer.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return m
}

// peerRoutes returns the handler of requests from peers and of requests for metrics and
// dumps.
func (r *Runner) peerRoutes() http.Handler {
	m := httprouter.New()
	m.GET(configurationPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		conf := r.directory.Configuration()
		if conf == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		packed, err := conf.Packed()
		if err != nil {
			r.log.Error("compressing configuration for a peer failed", "err", err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set(headerRevision, strconv.FormatUint(conf.Revision.Number, 10))
		w.Header().Set(headerEra, strconv.FormatUint(uint64(conf.Revision.Era), 10))
		if _, err := w.Write(packed); err != nil {
			r.log.Debug("sending configuration to a peer failed", "err", err)
		}
	})
	m.Handler(http.MethodGet, follower.Path, r.follower)
	m.Handler(http.MethodGet, metricsPath, r.metrics.handler)
	m.GET(dumpPath, r.dump)
	return m
}

// boundedListener applies the limits in force to each connection.
type boundedListener struct {
	net.Listener
	limits func() connectionLimits
}

// Accept blocks until the next connection or an error of the listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: c, limits: l.limits}, nil
}

// boundedConn replaces read deadlines that stem from a placeholder timeout.
type boundedConn struct {
	net.Conn
	limits func() connectionLimits
}

// SetReadDeadline sets the deadline, or that of the limit in force if t stems from a
// placeholder timeout.
func (c *boundedConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	switch left := t.Sub(now); {
	case left > (placeholderHeaderTimeout+placeholderIdleTimeout)/2:
		t = now.Add(c.limits().headerTimeout)
	case left > placeholderIdleTimeout/2:
		t = now.Add(c.limits().idleTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}
