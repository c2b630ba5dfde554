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
		return &checkedConn{Conn: NewConn(c), head: &headChecker{}}, nil
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
	var head *headChecker
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c = i.Conn.(*checkedConn)
		head = c.expectHead()
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := c.checkResponse(resp, head); err != nil {
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
	// head is that of the response to the last request. The client may still have to look at
	// the one before, because net/http passes the connection on before such a response.
	head *headChecker
}

// expectHead makes the next bytes those of a head, and returns it.
func (c *checkedConn) expectHead() *headChecker {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &headChecker{}
	return c.head
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
			*c.head = headChecker{}
		}
	}
}

// checkResponse checks a response with a head that was read from the connection.
func (c *checkedConn) checkResponse(resp *http.Response, head *headChecker) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case head.err != nil:
		return head.err
	case !head.complete:
		return fmt.Errorf("%w: it came before its request", ErrMalformed)
	case isJoined(resp):
		return ErrJoinedHead
	}
	return nil
}
