// Package exchanger sends one request to one backend server over a pool of
// connections and returns its response as it arrives.
//
// It never sends a request twice and says of each failure whether bytes of the
// request may have reached the server. A connection returns to the pool only if
// the response was complete, carried the id of the request and left no bytes
// behind.
//
// Usage:
//
//	x := exchanger.New(exchanger.Options{MaxIdle: 64})
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
	// dialTimeout bounds a new connection; a link in one region answers in a few
	// milliseconds.
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout ends a connection whose sent bytes are not acknowledged.
	silenceTimeout = 1500 * time.Millisecond
	// maxStray bounds the responses to other requests that are skipped on one
	// connection.
	maxStray = 3
	// inlineBody is the largest body, in bytes, that is written before the
	// response is read; it fits the windows of a connection.
	inlineBody = 8 << 10
	readBuffer = 4 << 10
)

// Request is a request to a backend server. Header is written as it is.
type Request struct {
	ID     unit.RequestID
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Error is a failure to get a response.
type Error struct {
	// Sent is true if bytes of the request may have reached the server.
	Sent bool
	// Refused is true if nothing listens at the address or it does not answer.
	Refused bool
	Err     error
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

// Identify reads the request id that a response carries.
type Identify func(status int, h http.Header) unit.RequestID

// Options configures an Exchanger.
type Options struct {
	// MaxIdle bounds the idle connections to one server.
	MaxIdle int
	// Identify tells stray responses apart; nil accepts all.
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

// Dials returns the number of new connections so far.
func (x *Exchanger) Dials() int64 { return x.dials.Load() }

// Exchange is a response that is arriving.
type Exchange struct {
	Response *http.Response

	owner    *Exchanger
	address  backend.Address
	conn     *conn
	stop     func() bool
	writing  chan error
	complete atomic.Bool
	closed   atomic.Bool
}

// Send writes the request and reads the head of the response. The context ends
// the whole exchange, also while the body is read.
func (x *Exchanger) Send(ctx context.Context, a backend.Address, r *Request) (*Exchange, error) {
	c, err := x.connect(ctx, a)
	if err != nil {
		return nil, &Error{Refused: ctx.Err() == nil, Err: err}
	}
	e := &Exchange{owner: x, address: a, conn: c}
	e.stop = context.AfterFunc(ctx, func() { c.abort() })
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

func (x *Exchanger) connect(ctx context.Context, a backend.Address) (*conn, error) {
	if c := x.pool.take(a, time.Now()); c != nil {
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
	setSilenceTimeout(nc, silenceTimeout)
	return &conn{Conn: nc, receiver: receiver.New(nc, readBuffer)}, nil
}

// Refuses tells whether a server refuses connections: the process at its address has
// ended. A new connection is kept for the next request.
func (x *Exchanger) Refuses(ctx context.Context, a backend.Address) bool {
	c, err := x.dial(ctx, a)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.keep("", time.Now())
	x.pool.put(a, c)
	return false
}

// write sends the request. A large body is written beside reading, because a
// server may respond before it has read all of it.
func (e *Exchange) write(r *Request) error {
	var b bytes.Buffer
	r.writeHead(&b)
	if len(r.Body) <= inlineBody {
		b.Write(r.Body)
		_, err := e.conn.Write(b.Bytes())
		return err
	}
	if _, err := e.conn.Write(b.Bytes()); err != nil {
		return err
	}
	e.writing = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(r.Body)
		e.writing <- err
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

var errStray = errors.New("only responses to other requests")

// readHead reads heads until one belongs to the request. Late responses to
// earlier requests are skipped.
func (e *Exchange) readHead(r *Request) error {
	for range maxStray {
		resp, err := e.conn.receiver.Next(r.Method)
		if err != nil {
			return err
		}
		if !e.owner.stray(r, resp) {
			e.Response = resp
			resp.Body = &body{ReadCloser: resp.Body, exchange: e}
			return nil
		}
		if err := receiver.Discard(resp); err != nil {
			return fmt.Errorf("response to another request: %w", err)
		}
	}
	return errStray
}

// stray tells whether a response belongs to another request.
func (x *Exchanger) stray(r *Request, resp *http.Response) bool {
	if x.options.Identify == nil || r.ID == "" {
		return false
	}
	id := x.options.Identify(resp.StatusCode, resp.Header)
	return id != "" && id != r.ID
}

// SetReadDeadline bounds the next reads of the body; zero removes the bound.
func (e *Exchange) SetReadDeadline(t time.Time) error { return e.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept if the response was complete.
func (e *Exchange) Close() {
	if e.closed.Swap(true) {
		return
	}
	alive := e.stop()
	if alive && e.complete.Load() && e.reusable() {
		e.owner.pool.put(e.address, e.conn)
		return
	}
	e.conn.abort()
}

// reusable tells whether the next response on the connection will belong to
// the next request.
func (e *Exchange) reusable() bool {
	if e.Response.Close || e.conn.receiver.Pending() {
		return false
	}
	if e.writing != nil {
		select {
		case err := <-e.writing:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	e.conn.keep(e.Response.Header.Get("Keep-Alive"), time.Now())
	return e.conn.SetReadDeadline(time.Time{}) == nil
}

// body notes when a response is complete.
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
