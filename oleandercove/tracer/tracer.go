// Package tracer observes what an HTTP call writes to a connection and what
// comes back, so that a failed call can be classified.
//
// Usage:
//
//	transport := &http.Transport{DialContext: tracer.Dial(dialer)}
//	ctx, t := tracer.Start(ctx, len(body))
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

var headEnd = []byte("\r\n\r\n")

// conn counts the bytes of the call that uses it.
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

func (c *conn) use(t *Trace) {
	c.mu.Lock()
	c.trace = t
	c.mu.Unlock()
}

func (c *conn) current() *Trace {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trace
}

// Write counts the bytes before they are written and corrects the count
// afterwards: the call may be judged while a write is blocked, and then the
// bytes may have been sent.
func (c *conn) Write(p []byte) (int, error) {
	t := c.current()
	if t == nil {
		return c.Conn.Write(p)
	}
	t.writing(p)
	n, err := c.Conn.Write(p)
	t.unsent(len(p) - n)
	return n, err
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if t := c.current(); t != nil && n > 0 {
		t.read(n)
	}
	return n, err
}

// Trace is the observation of one call.
type Trace struct {
	body int
	// progress is called after each byte that arrives.
	progress func()

	mu        sync.Mutex
	connected bool
	reused    bool
	// tail is the end of what was written before the header section ended, and
	// headBytes the length of the header section, once it is known.
	tail      []byte
	headBytes int
	sentBytes int
	readBytes int
}

// Start observes the call that is made with the returned context; body is the
// length of its body. The function progress may be nil.
func Start(ctx context.Context, body int, progress func()) (context.Context, *Trace) {
	t := &Trace{body: body, progress: progress}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

// gotConn keeps the counts of an earlier connection: the transport repeats a
// call by itself only if it wrote nothing or the call may be repeated.
func (t *Trace) gotConn(i httptrace.GotConnInfo) {
	t.mu.Lock()
	t.connected, t.reused = true, i.Reused
	t.mu.Unlock()
	if c, ok := i.Conn.(*conn); ok {
		c.use(t)
	}
}

func (t *Trace) writing(p []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.headBytes == 0 {
		joined := append(t.tail, p...)
		if i := bytes.Index(joined, headEnd); i >= 0 {
			t.headBytes = t.sentBytes - len(t.tail) + i + len(headEnd)
		}
		t.tail = bytes.Clone(joined[max(0, len(joined)-len(headEnd)+1):])
	}
	t.sentBytes += len(p)
}

func (t *Trace) unsent(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentBytes -= n
}

func (t *Trace) read(n int) {
	t.mu.Lock()
	t.readBytes += n
	t.mu.Unlock()
	if t.progress != nil {
		t.progress()
	}
}

// Reused tells whether the call used a connection of an earlier call.
func (t *Trace) Reused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// Outcome returns what happened. The response is nil if its header section
// did not arrive; complete tells whether its whole body was read.
func (t *Trace) Outcome(res *http.Response, complete bool, f classifier.Failure) classifier.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := classifier.Outcome{Connected: t.connected, Sent: t.sent(), Failure: f}
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
		o.SaysNotRun = res.Header.Get(api.HeaderVerdict) == string(verdict.NotRun)
	}
	return o
}

func (t *Trace) sent() classifier.Sent {
	body := t.sentBytes - t.headBytes
	switch {
	case t.sentBytes == 0:
		return classifier.SentNothing
	case t.headBytes == 0 || body < 0:
		return classifier.SentPartHead
	case body >= t.body:
		return classifier.SentAll
	case body == 0:
		return classifier.SentHead
	default:
		return classifier.SentPartBody
	}
}

// ErrSilent is the cause with which a call without progress is canceled.
var ErrSilent = errors.New("connection is silent")

// Failure maps the error of a call to its type.
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
