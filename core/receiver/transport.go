package receiver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// NewTransport returns t with the bounds and checks of this package, for URLs without TLS. It
// changes t. The connections that a trace sees have the method NetConn, which returns the dialled
// one.
func NewTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.MaxResponseHeaderBytes = MaxHeadBytes
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: NewConn(c)}, nil
	}
	return &transport{Transport: t}
}

// transport is a transport of the standard library over connections that check the heads of
// responses.
type transport struct{ *http.Transport }

// RoundTrip blocks until the head of the response has arrived. A malformed one is an error, and
// so is one that arrived before its request.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var c *checkedConn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c = i.Conn.(*checkedConn)
		c.expectHead()
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := c.checkResponse(resp); err != nil {
		_ = resp.Body.Close()
		// The connection may be idle already, and must not be used again.
		_ = c.Close()
		return nil, err
	}
	resp.Body = bodyOf(resp)
	return resp, nil
}

// checkedConn is a connection that checks the heads of responses as they are read.
type checkedConn struct {
	*Conn
	mu sync.Mutex
	// head is that of the response to the last request.
	head headChecker
}

// expectHead makes the next bytes those of a head.
func (c *checkedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headChecker{}
}

// Read reads into p.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.readHeads(p[:n])
	return n, err
}

// readHeads reads the part of p that belongs to heads.
func (c *checkedConn) readHeads(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 && !c.head.complete && c.head.err == nil {
		p = c.head.read(p)
		if c.head.interim() {
			c.head = headChecker{}
		}
	}
}

// checkResponse checks a response that was read from the connection.
func (c *checkedConn) checkResponse(resp *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.head.err != nil:
		return c.head.err
	case !c.head.complete:
		return fmt.Errorf("%w: it came before its request", ErrMalformed)
	case isJoined(resp):
		return ErrJoinedHead
	}
	return nil
}
