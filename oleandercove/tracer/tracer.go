// Package tracer observes how much of an HTTP call is written to its connection and
// how much of the response is read, so that a failed call can be classified.
//
// Usage:
//
//	transport := receiver.NewTransport(&http.Transport{DialContext: tracer.Dial(dialer)})
//	ctx, t := tracer.Start(ctx, len(body), nil)
//	res, err := client.Do(req.WithContext(ctx))
//	o := t.Outcome(res, complete, failure)
package tracer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"

	"oleandercove.example/core/api"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/classifier"
)

var headerEnd = []byte("\r\n\r\n")

// conn counts the bytes of the current call on a connection.
type conn struct {
	net.Conn
	mu    sync.Mutex
	trace *Trace
}

// Dial returns a dial function whose connections are observed.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

func (c *conn) attach(t *Trace) {
	c.mu.Lock()
	c.trace = t
	c.mu.Unlock()
}

func (c *conn) currentTrace() *Trace {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trace
}

// Write counts the bytes before they are written and corrects the count
// afterwards: if the outcome of the call is read while a write is blocked, the
// bytes may have been sent.
func (c *conn) Write(p []byte) (int, error) {
	t := c.currentTrace()
	if t == nil {
		return c.Conn.Write(p)
	}
	t.countWrite(p)
	n, err := c.Conn.Write(p)
	t.uncountWrite(len(p) - n)
	return n, err
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if t := c.currentTrace(); t != nil && n > 0 {
		t.countRead(n)
	}
	return n, err
}

// Trace observes one call.
type Trace struct {
	// bodyBytes is the length of the request's body.
	bodyBytes int
	// progress is called after each read that returns data; it may be nil.
	progress func()

	mu        sync.Mutex
	connected bool
	reused    bool
	// tail holds the last written bytes, in which the end of the header section may
	// begin. headerBytes is the length of the header section, 0 until it is known.
	tail        []byte
	headerBytes int
	sentBytes   int
	readBytes   int
}

// Start observes the call that is made with the returned context. bodyBytes is the
// length of its body; progress is called when data arrives and may be nil.
func Start(ctx context.Context, bodyBytes int, progress func()) (context.Context, *Trace) {
	t := &Trace{bodyBytes: bodyBytes, progress: progress}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

// gotConn attaches the trace to a connection. It keeps the counts of an earlier
// connection: the transport repeats a call by itself only if it wrote nothing or
// the call may be repeated.
func (t *Trace) gotConn(i httptrace.GotConnInfo) {
	t.mu.Lock()
	t.connected, t.reused = true, i.Reused
	t.mu.Unlock()
	if r, ok := i.Conn.(interface{ NetConn() net.Conn }); ok {
		if c, ok := r.NetConn().(*conn); ok {
			c.attach(t)
		}
	}
}

func (t *Trace) countWrite(p []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.headerBytes == 0 {
		joined := append(t.tail, p...)
		if i := bytes.Index(joined, headerEnd); i >= 0 {
			t.headerBytes = t.sentBytes - len(t.tail) + i + len(headerEnd)
		}
		t.tail = bytes.Clone(joined[max(0, len(joined)-len(headerEnd)+1):])
	}
	t.sentBytes += len(p)
}

func (t *Trace) uncountWrite(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentBytes -= n
}

func (t *Trace) countRead(n int) {
	t.mu.Lock()
	t.readBytes += n
	t.mu.Unlock()
	if t.progress != nil {
		t.progress()
	}
}

// Reused reports whether the call used a connection of an earlier call.
func (t *Trace) Reused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// Outcome returns what is known about the call. res is nil if the header section of
// the response did not arrive; complete reports whether its whole body was read.
func (t *Trace) Outcome(res *http.Response, complete bool, f classifier.Failure) classifier.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := classifier.Outcome{Connected: t.connected, Sent: t.sentPart(), Failure: f, Reused: t.reused}
	switch {
	case res != nil && complete:
		o.Received = classifier.ReceivedAll
	case res != nil:
		o.Received = classifier.ReceivedPartBody
	case t.readBytes > 0:
		o.Received = classifier.ReceivedPartHead
	}
	if res != nil {
		o.Status = res.StatusCode
		o.NotRunHeader = res.Header.Get(api.HeaderVerdict) == string(verdict.NotRun)
	}
	return o
}

// sentPart returns how much of the request was written.
func (t *Trace) sentPart() classifier.Sent {
	body := t.sentBytes - t.headerBytes
	switch {
	case t.sentBytes == 0:
		return classifier.SentNothing
	case t.headerBytes == 0 || body < 0:
		return classifier.SentPartHead
	case body >= t.bodyBytes:
		return classifier.SentAll
	case body == 0:
		return classifier.SentHead
	default:
		return classifier.SentPartBody
	}
}

// ErrSilent is the cancellation cause of a call whose connection made no progress;
// the request may have been sent.
var ErrSilent = errors.New("connection is silent")

// Failure returns the type of failure for the error of a call with context ctx.
func Failure(ctx context.Context, err error) classifier.Failure {
	switch {
	case err == nil:
		return classifier.FailureNone
	case errors.Is(context.Cause(ctx), ErrSilent):
		return classifier.FailureSilent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return classifier.FailureTimeout
	case ctx.Err() != nil:
		return classifier.FailureCanceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return classifier.FailureRefused
	default:
		return classifier.FailureReset
	}
}
