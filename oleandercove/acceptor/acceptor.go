// Package acceptor stops an HTTP server without losing a connection.
//
// When a listener closes, the kernel resets connections that are established but not
// accepted, and net/http drops a request that it reads after the start of Shutdown.
// In both cases the caller can't know whether the request ran. Stop therefore accepts
// and serves pending connections before it calls Shutdown.
//
// Usage:
//
//	ln, err := acceptor.Listen("127.0.0.1:8080")
//	s := acceptor.New(srv, ln)
//	go s.Serve()
//	err = s.Stop(ctx)
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// pendingTimeout is how long a closing listener waits for the next connection.
	// The kernel has already queued established connections, so the time only has
	// to suffice for one check of the queue. With a longer time, new connections
	// would keep the listener open.
	pendingTimeout = 200 * time.Microsecond
	// closeTimeout bounds the wait for an empty queue while callers keep connecting.
	closeTimeout = 200 * time.Millisecond
	// serveTimeout bounds the wait for connections that have sent nothing yet or serve a
	// request, before Shutdown.
	serveTimeout = time.Second
	// servePollInterval is the time between two checks of the connections.
	servePollInterval = 5 * time.Millisecond
)

// Listener is a TCP listener that accepts pending connections before it closes.
type Listener struct {
	*net.TCPListener
	mu      sync.Mutex
	closing bool
	// drained is closed once a closing listener has no pending connection.
	drained chan struct{}
}

// Listen listens on an IP address and port.
func Listen(address string) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: ln.(*net.TCPListener), drained: make(chan struct{})}, nil
}

// Accept blocks until there is a connection. It returns net.ErrClosed once a closing
// listener has no pending connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.extendDeadline(false)
	c, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		close(l.drained)
		return nil, net.ErrClosed
	}
	return c, err
}

// extendDeadline sets the accept deadline of a closing listener to pendingTimeout from
// now. If closing is set, it marks the listener as closing.
func (l *Listener) extendDeadline(closing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = l.closing || closing
	if l.closing {
		_ = l.SetDeadline(time.Now().Add(pendingTimeout))
	}
}

// drainAndClose waits until no connection is pending, at most closeTimeout, and closes
// the listener.
func (l *Listener) drainAndClose() error {
	l.extendDeadline(true)
	select {
	case <-l.drained:
	case <-time.After(closeTimeout):
	}
	// The accept loop of http.Server may have closed the listener already.
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Server is an HTTP server on a Listener.
type Server struct {
	*http.Server
	ln *Listener

	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// New returns a server that serves on the listener. It replaces the server's ConnState.
func New(srv *http.Server, ln *Listener) *Server {
	s := &Server{Server: srv, ln: ln, states: map[net.Conn]http.ConnState{}}
	srv.ConnState = s.recordState
	return s
}

// Serve accepts and serves connections until Stop. It always returns an error.
func (s *Server) Serve() error { return s.Server.Serve(s.ln) }

func (s *Server) recordState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.states, c)
		return
	}
	s.states[c] = state
}

// hasBusyConnection reports whether any connection is new or serves a request.
func (s *Server) hasBusyConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.states {
		if state != http.StateIdle {
			return true
		}
	}
	return false
}

// Stop accepts pending connections, closes the listener, serves what was accepted and
// shuts the server down. It blocks until all connections are idle or ctx is done.
func (s *Server) Stop(ctx context.Context) error {
	err := s.ln.drainAndClose()
	for end := time.Now().Add(serveTimeout); s.hasBusyConnection() && ctx.Err() == nil && time.Now().Before(end); {
		time.Sleep(servePollInterval)
	}
	return errors.Join(err, s.Shutdown(ctx))
}
