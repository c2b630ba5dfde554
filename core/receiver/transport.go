package receiver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// NewTransport returns t with the bounds and checks of this package. It changes t. The
// connections that a trace sees have the method NetConn, which returns the dialled one.
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
		if c, _ = i.Conn.(*checkedConn); c != nil {
			c.expectHead()
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp, c); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	checkTrailer(resp)
	return resp, nil
}

// checkResponse checks the response that was read from c.
func checkResponse(resp *http.Response, c *checkedConn) error {
	switch {
	case c != nil && !c.hasHead():
		return fmt.Errorf("%w: it came before its request", ErrMalformed)
	case isJoined(resp):
		return ErrJoinedHead
	}
	return nil
}

// checkedConn is a connection that checks the head of each response. A read fails at the end of
// a malformed head, so that nobody gets the whole of it.
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

// hasHead reports whether the head of the response has arrived.
func (c *checkedConn) hasHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.complete
}

// Read reads into p. It returns ErrMalformed in place of the bytes that show it.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// check checks the part of p that belongs to heads.
func (c *checkedConn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 && !c.head.complete && c.head.err == nil {
		p = c.head.read(p)
		if c.head.interim() {
			c.head = headChecker{}
		}
	}
	return c.head.err
}
