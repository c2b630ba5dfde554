// Package dispatcher sends requests to backend servers.
//
// Usage:
//
//	d := dispatcher.New(dispatcher.Options{})
//	s, err := d.Open(ctx, streamRequest)
//	for e, err := range s.Events() {
//	}
package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/receiver"
	"oleandercove.example/oleandercove/classifier"
	"oleandercove.example/oleandercove/tracer"
)

const (
	// Silence is how long an engine may send nothing on an open stream. Engines
	// send a heartbeat every 250 ms.
	Silence = time.Second
	// dialTimeout bounds the connection set-up to a backend server.
	dialTimeout = 500 * time.Millisecond
	// maxEventBytes bounds one line of an engine's answer.
	maxEventBytes = 64 << 10
	// cancelTimeout bounds a call that ends a stream on an engine.
	cancelTimeout = time.Second
)

// ErrSilent means that the connection was open but silent for too long.
var ErrSilent = tracer.ErrSilent

// OpenError is a failed Open with what was sent and received.
type OpenError struct {
	Outcome classifier.Outcome
	Err     error
}

// Error returns the text of the underlying error.
func (e *OpenError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *OpenError) Unwrap() error { return e.Err }

// StatusError means that a backend server answered with a failure status.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server answered status %d", e.Status)
}

// Dispatcher sends model requests to engines.
type Dispatcher interface {
	// Open starts or resumes a stream at the first stage of its chain.
	Open(ctx context.Context, r engine.StreamRequest) (Stream, error)
	// Cancel ends a stream on one engine.
	Cancel(ctx context.Context, s engine.Stage, r engine.CancelRequest)
	// Import makes an engine take the state of a stream from another engine.
	Import(ctx context.Context, to engine.Stage, k engine.KVState) error
}

// Stream is the answer of an engine in progress.
type Stream interface {
	// Events yields events until the answer ends or fails.
	Events() iter.Seq2[engine.Event, error]
	// Close ends the connection.
	Close()
}

// Options configures a Dispatcher.
type Options struct {
	// Silence replaces the default silence limit.
	Silence time.Duration
}

type httpDispatcher struct {
	options Options
	http    *http.Client
}

// New returns a Dispatcher over HTTP.
func New(o Options) Dispatcher {
	if o.Silence == 0 {
		o.Silence = Silence
	}
	d := tracer.Dial(&net.Dialer{Timeout: dialTimeout})
	return &httpDispatcher{options: o, http: &http.Client{Transport: &http.Transport{
		DialContext: d, MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: receiver.MaxHead,
	}}}
}

func (d *httpDispatcher) Open(ctx context.Context, r engine.StreamRequest) (Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(d.options.Silence, func() { cancel(ErrSilent) })
	ctx, trace := tracer.Start(ctx, len(body), nil)
	res, err := d.post(ctx, r.Chain[0].Address, "/v1/streams", body)
	if err != nil {
		watchdog.Stop()
		defer cancel(nil)
		return nil, &OpenError{Outcome: trace.Outcome(res, true, tracer.Failure(ctx, err)), Err: cause(ctx, err)}
	}
	return &httpStream{ctx: ctx, cancel: cancel, body: res.Body, watchdog: watchdog, silence: d.options.Silence}, nil
}

func (d *httpDispatcher) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode >= http.StatusBadRequest {
		res.Body.Close()
		return res, &StatusError{Status: res.StatusCode}
	}
	return res, nil
}

func (d *httpDispatcher) Cancel(ctx context.Context, s engine.Stage, r engine.CancelRequest) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	if res, err := d.post(ctx, s.Address, "/v1/cancel", body); err == nil {
		res.Body.Close()
	}
}

func (d *httpDispatcher) Import(ctx context.Context, to engine.Stage, k engine.KVState) error {
	body, err := json.Marshal(k)
	if err != nil {
		return err
	}
	res, err := d.post(ctx, to.Address, "/v1/import", body)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

type httpStream struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	body     io.ReadCloser
	watchdog *time.Timer
	silence  time.Duration
}

func (s *httpStream) Events() iter.Seq2[engine.Event, error] {
	return func(yield func(engine.Event, error) bool) {
		lines := bufio.NewScanner(s.body)
		lines.Buffer(nil, maxEventBytes)
		for lines.Scan() {
			s.watchdog.Reset(s.silence)
			var e engine.Event
			if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
				yield(e, fmt.Errorf("decode engine event: %w", err))
				return
			}
			if !yield(e, nil) {
				return
			}
		}
		err := lines.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		yield(engine.Event{}, cause(s.ctx, err))
	}
}

func (s *httpStream) Close() {
	s.watchdog.Stop()
	s.cancel(nil)
	s.body.Close()
}

// NotConnected tells whether an error means that no connection was made.
func NotConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// cause prefers the reason for which ctx was canceled over err.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && !errors.Is(c, context.Canceled) {
		return c
	}
	return err
}
