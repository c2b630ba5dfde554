package runner

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/oleandercove/edge/follower"
	"oleandercove.example/platform"
)

const (
	configurationPath = "/configuration"
	metricsPath       = "/metrics"
	dumpPath          = "/dump"
	// defaultHeaderTimeout and defaultIdle hold while the configuration states no
	// limits.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdle          = 60 * time.Second
	// longestHeader and longestIdle are given to the library, which takes limits at
	// its start only, and replaced by the limits in force on each connection. Their
	// difference tells the two apart.
	longestHeader = 2 * time.Hour
	longestIdle   = time.Hour
	// idleMargin is added to the idle limit of the configuration, so that the
	// caller stops using a connection before it is closed.
	idleMargin = 500 * time.Millisecond
	// maxHeader bounds the headers of callers, in bytes, whatever the configuration
	// allows.
	maxHeader = 256 << 10
	// internalTimeout bounds requests of the platform and of peers.
	internalTimeout = 5 * time.Second
)

// listen opens all listeners, so that a port that is taken is a fault at once.
func (r *Runner) listen() error {
	for _, address := range []string{r.settings.Listen.Callers, r.settings.Listen.Ready, r.settings.PeerAddress()} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		r.listeners = append(r.listeners, l)
	}
	callers := &http.Server{
		Handler: r.gateway, ReadHeaderTimeout: longestHeader, IdleTimeout: longestIdle,
		MaxHeaderBytes: maxHeader, ErrorLog: r.log.StandardLog(),
	}
	r.servers = []*http.Server{
		callers,
		{Handler: r.readyRoutes(), ReadTimeout: internalTimeout},
		{Handler: r.peerRoutes(), ReadTimeout: internalTimeout, IdleTimeout: time.Minute},
	}
	r.listeners[0] = &boundedListener{Listener: r.listeners[0], limits: r.connectionLimits}
	return nil
}

// connectionLimits is how long a connection of a caller may take.
type connectionLimits struct {
	// header is for the head of a request, idle for the wait for the next one.
	header, idle time.Duration
}

func (r *Runner) connectionLimits() connectionLimits {
	c := connectionLimits{header: defaultHeaderTimeout, idle: defaultIdle}
	t := r.directory.Table()
	if t == nil {
		return c
	}
	if l := t.Configuration.Limits; l.HeaderTimeout > 0 {
		c.header = l.HeaderTimeout
	}
	if l := t.Configuration.Limits; l.IdleTimeout > 0 {
		c.idle = l.IdleTimeout + idleMargin
	}
	return c
}

// serve starts the servers; the channel receives the first failure.
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

func (r *Runner) readyRoutes() http.Handler {
	m := httprouter.New()
	m.GET(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if r.leaving.Load() || r.directory.Table() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return m
}

func (r *Runner) peerRoutes() http.Handler {
	m := httprouter.New()
	m.GET(configurationPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		k := r.directory.Knowledge()
		if k == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		packed, err := k.Packed()
		if err != nil {
			r.log.Error("configuration can't be compressed", "err", err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set(headerRevision, strconv.FormatUint(uint64(k.Revision), 10))
		if _, err := w.Write(packed); err != nil {
			r.log.Debug("configuration not delivered to a peer", "err", err)
		}
	})
	m.Handler(http.MethodGet, follower.Path, r.follower)
	m.Handler(http.MethodGet, metricsPath, r.metrics.handler)
	m.GET(dumpPath, r.dump)
	return m
}

// boundedListener applies the limits that are in force to each connection.
type boundedListener struct {
	net.Listener
	limits func() connectionLimits
}

// Accept returns the next connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: c, limits: l.limits}, nil
}

// boundedConn replaces the longest read deadlines by those of the limits.
type boundedConn struct {
	net.Conn
	limits func() connectionLimits
}

// SetReadDeadline sets the deadline, or that of the limit that it stands for.
func (c *boundedConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	switch left := t.Sub(now); {
	case left > (longestHeader+longestIdle)/2:
		t = now.Add(c.limits().header)
	case left > longestIdle/2:
		t = now.Add(c.limits().idle)
	}
	return c.Conn.SetReadDeadline(t)
}
