// Package exchanger sends one request to one backend server over a pool of connections
// and returns its response as it arrives.
//
// It sends a request at most once, and reports with each failure whether bytes of the
// request may have reached the server. A connection returns to the pool only if the
// response was complete, belonged to the request and left no bytes behind.
//
// A faulty server may write a response once more while the next request is under way. The
// request id tells whose response it is, and so
//   - a response to another request is skipped, and its connection is not used again;
//   - a response without an id counts only as the first one on its connection, which
//     carries no other request;
//   - a request that was unsuccessful on a connection is not sent on it again, because the
//     ids of both responses would be equal.
//
// Usage:
//
//	x := exchanger.New(exchanger.Options{MaxIdle: 64, Identify: identify})
//	e, err := x.Send(ctx, "10.1.64.9:8080", &exchanger.Request{Method: "GET", Target: "/a", Host: "h"})
//	defer e.Close()
//	n, err := e.Response.Body.Read(buf)
package exchanger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/receiver"
	"oleandercove.example/core/unit"
)

const (
	// dialTimeout bounds the set-up of a connection. A link within one region answers
	// in a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	unackedTimeout = 1500 * time.Millisecond
	// maxStrayResponses bounds the responses that are read for one request, so that
	// responses to other requests are skipped without an endless wait.
	maxStrayResponses = 3
	// maxInlineBody is the largest request body, in bytes, that is written before the
	// response is read. It fits into the TCP windows of a connection.
	maxInlineBody  = 8 << 10
	readBufferSize = 4 << 10
)

// Request is a request to a backend server. Header is written unchanged.
type Request struct {
	ID     unit.RequestID
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Error is returned by Send if no response arrived.
type Error struct {
	// Sent is true if bytes of the request may have reached the server.
	Sent bool
	// Unreachable is true if no connection could be made before the context ended:
	// nothing listens at the address or it does not answer.
	Unreachable bool
	Err         error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Sent {
		return "no response: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Identify returns the request id that a response carries, or an empty one.
type Identify func(status int, h http.Header) unit.RequestID

// Options configures an Exchanger.
type Options struct {
	// MaxIdle bounds the idle connections to one server.
	MaxIdle int
	// Identify returns the id by which a response is matched to its request.
	Identify Identify
}

// Exchanger sends requests to backend servers.
type Exchanger struct {
	options Options
	pool    *pool
	dials   atomic.Int64
}

// New returns an Exchanger without connections.
func New(o Options) *Exchanger {
	return &Exchanger{options: o, pool: newPool(o.MaxIdle)}
}

// Dials returns the number of connections dialled so far.
func (x *Exchanger) Dials() int64 { return x.dials.Load() }

// CleanupInterval is how often to call CloseUnusable.
const CleanupInterval = 2 * time.Second

// CloseUnusable closes the idle connections on which no request may be sent any more. To a
// server that has left no request is sent, so its connections would stay open, and so would
// the bytes that a faulty server sends unasked.
func (x *Exchanger) CloseUnusable() { x.pool.closeUnusable(time.Now()) }

// Exchange is a request that was sent, with its response as it arrives.
type Exchange struct {
	Response *http.Response

	exchanger *Exchanger
	address   backend.Address
	conn      *conn
	// stopAbort detaches the connection from the context of Send; it returns false if that
	// context has already ended.
	stopAbort func() bool
	// bodyWritten receives the result of writing a large request body; nil for others.
	bodyWritten chan error
	// unclear is set if later responses on the connection could not be matched to their
	// requests.
	unclear  bool
	complete atomic.Bool
	closed   atomic.Bool
}

// Send writes the request and blocks until the head of the response has arrived, the
// connection fails or ctx is done. The end of ctx also aborts reading the body. Each
// error is an Error.
func (x *Exchanger) Send(ctx context.Context, a backend.Address, r *Request) (*Exchange, error) {
	c, err := x.connect(ctx, a, r.ID)
	if err != nil {
		return nil, &Error{Unreachable: ctx.Err() == nil, Err: err}
	}
	e := &Exchange{exchanger: x, address: a, conn: c}
	e.stopAbort = context.AfterFunc(ctx, func() { c.abort() })
	if err := e.write(r); err != nil {
		e.Close()
		return nil, &Error{Sent: true, Err: err}
	}
	if err := e.readHead(r); err != nil {
		e.Close()
		return nil, &Error{Sent: true, Err: err}
	}
	return e, nil
}

// connect returns an idle connection that may carry the request with the id, or a new one
// if there is none.
func (x *Exchanger) connect(ctx context.Context, a backend.Address, id unit.RequestID) (*conn, error) {
	if c := x.pool.takeUsable(a, id, time.Now()); c != nil {
		return c, nil
	}
	return x.dial(ctx, a)
}

// dial opens a new connection.
func (x *Exchanger) dial(ctx context.Context, a backend.Address) (*conn, error) {
	x.dials.Add(1)
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", string(a))
	if err != nil {
		return nil, err
	}
	setUnackedTimeout(nc, unackedTimeout)
	rc := receiver.NewConn(nc)
	return &conn{Conn: rc, receiver: receiver.New(rc, readBufferSize)}, nil
}

// RefusesConnections reports whether a server refuses connections, which means that the
// process at its address has exited. It dials and blocks until the answer, dialTimeout or
// the end of ctx; a timeout counts as false. If it connects, it keeps the connection for
// the next request.
func (x *Exchanger) RefusesConnections(ctx context.Context, a backend.Address) bool {
	c, err := x.dial(ctx, a)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.setIdleDeadline("", time.Now())
	x.pool.put(a, c)
	return false
}

// write sends the request. A large body is written concurrently with reading, because a
// server may respond before it has read all of it.
func (e *Exchange) write(r *Request) error {
	var b bytes.Buffer
	r.writeHead(&b)
	if len(r.Body) <= maxInlineBody {
		b.Write(r.Body)
		_, err := e.conn.Write(b.Bytes())
		return err
	}
	if _, err := e.conn.Write(b.Bytes()); err != nil {
		return err
	}
	e.bodyWritten = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(r.Body)
		e.bodyWritten <- err
	}()
	return nil
}

func (r *Request) writeHead(b *bytes.Buffer) {
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for k, values := range r.Header {
		for _, v := range values {
			b.WriteString(k + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
}

var (
	// errStray is returned if maxStrayResponses responses belonged to other requests.
	errStray = errors.New("only responses to other requests")
	// errNoID is returned for a response without an id that may belong to another request.
	errNoID = errors.New("response without the id of a request")
)

// readHead reads response heads until one belongs to the request. Late responses to
// earlier requests are discarded.
func (e *Exchange) readHead(r *Request) error {
	first := !e.conn.used
	e.conn.used = true
	for range maxStrayResponses {
		resp, err := e.conn.receiver.Next(r.Method)
		if err != nil {
			return err
		}
		switch id := e.exchanger.identify(resp); {
		case id == r.ID && id != "", first && (id == "" || r.ID == ""):
			e.accept(id, resp)
			return nil
		case id == "":
			return errNoID
		}
		first, e.unclear = false, true
		if err := receiver.Discard(resp); err != nil {
			return fmt.Errorf("response to another request: %w", err)
		}
	}
	return errStray
}

// identify returns the request id of a response, or an empty one.
func (x *Exchanger) identify(resp *http.Response) unit.RequestID {
	return x.options.Identify(resp.StatusCode, resp.Header)
}

// accept makes resp, which carries the id, the response to the request.
func (e *Exchange) accept(id unit.RequestID, resp *http.Response) {
	if id == "" {
		e.unclear = true
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		e.conn.recordUnsuccessful(id)
	}
	e.complete.Store(resp.Body == http.NoBody)
	e.Response = resp
	resp.Body = &body{ReadCloser: resp.Body, exchange: e}
}

// SetReadDeadline sets the deadline of the next reads of the body; a zero time removes
// it.
func (e *Exchange) SetReadDeadline(t time.Time) error { return e.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection returns to the pool if the response was
// complete, and is closed otherwise.
func (e *Exchange) Close() {
	if e.closed.Swap(true) {
		return
	}
	alive := e.stopAbort()
	if alive && e.complete.Load() && e.reusable() {
		e.exchanger.pool.put(e.address, e.conn)
		return
	}
	e.conn.abort()
}

// reusable reports whether the next response on the connection will belong to the next
// request. If so, it prepares the connection for the pool.
func (e *Exchange) reusable() bool {
	if e.Response.Close || e.unclear || e.conn.receiver.Pending() || e.conn.isFull() {
		return false
	}
	if e.bodyWritten != nil {
		select {
		case err := <-e.bodyWritten:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	e.conn.setIdleDeadline(e.Response.Header.Get("Keep-Alive"), time.Now())
	return e.conn.SetReadDeadline(time.Time{}) == nil
}

// body is a response body that records when the response is complete.
type body struct {
	io.ReadCloser
	exchange *Exchange
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.complete.Store(true)
	}
	return n, err
}
