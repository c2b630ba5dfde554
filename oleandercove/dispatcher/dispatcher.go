// Package dispatcher sends model requests to engines and reads their streams.
//
// Usage:
//
//	d := dispatcher.New(dispatcher.Options{})
//	s, err := d.Open(ctx, streamRequest)
//	if err != nil {
//		return err
//	}
//	defer s.Close()
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
	// DefaultSilenceLimit is how long an engine may send nothing on an open stream before
	// the stream fails. Engines send a heartbeat every 250 ms.
	DefaultSilenceLimit = time.Second
	// dialTimeout bounds connecting to a backend server.
	dialTimeout = 500 * time.Millisecond
	// maxEventBytes bounds one line of an engine's response.
	maxEventBytes = 64 << 10
	// cancelTimeout bounds a call that cancels a stream on an engine.
	cancelTimeout = time.Second
)

// ErrSilent is returned when an engine sent nothing for the silence limit on an
// open connection. The request may have been sent.
var ErrSilent = tracer.ErrSilent

// OpenError is returned by a failed Open; Outcome holds how much was sent and
// received.
type OpenError struct {
	Outcome classifier.Outcome
	Err     error
}

// Error returns the text of the underlying error.
func (e *OpenError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *OpenError) Unwrap() error { return e.Err }

// StatusError is returned when a backend server responds with a status of 300 or
// above. The request was sent, possibly without its whole body.
type StatusError struct{ Status int }

// Error returns a text with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server answered status %d", e.Status)
}

// Dispatcher sends model requests to engines.
type Dispatcher interface {
	// Open starts or resumes a stream at the first stage of its chain. It blocks
	// until the response headers arrive, the engine is silent for the silence
	// limit or ctx is done. The error of a failed attempt is an *OpenError.
	Open(ctx context.Context, r engine.StreamRequest) (Stream, error)
	// Cancel ends a stream on one engine. It blocks until the engine has replied,
	// cancelTimeout has passed or ctx is done; errors are ignored.
	Cancel(ctx context.Context, s engine.Stage, r engine.CancelRequest)
	// Import makes an engine fetch the KV state of a stream from another engine.
	// It blocks until the engine has replied or ctx is done. The error is a
	// *StatusError if the engine responds with a status of 300 or above.
	Import(ctx context.Context, to engine.Stage, k engine.KVState) error
}

// Stream is the response of an engine in progress.
type Stream interface {
	// Events yields events until the response ends or fails. The last pair holds
	// the error: ErrSilent after the silence limit, io.ErrUnexpectedEOF at the end
	// of the response.
	Events() iter.Seq2[engine.Event, error]
	// Close ends the connection.
	Close()
}

// Options configures a Dispatcher.
type Options struct {
	// SilenceLimit is the silence limit of a stream; 0 means DefaultSilenceLimit.
	SilenceLimit time.Duration
}

type httpDispatcher struct {
	options Options
	http    *http.Client
}

// New returns a Dispatcher over HTTP.
func New(o Options) Dispatcher {
	if o.SilenceLimit == 0 {
		o.SilenceLimit = DefaultSilenceLimit
	}
	d := tracer.Dial(&net.Dialer{Timeout: dialTimeout})
	return &httpDispatcher{options: o, http: &http.Client{CheckRedirect: noRedirect, Transport: receiver.NewTransport(&http.Transport{
		DialContext: d, MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second,
	})}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (d *httpDispatcher) Open(ctx context.Context, r engine.StreamRequest) (Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(d.options.SilenceLimit, func() { cancel(ErrSilent) })
	ctx, trace := tracer.Start(ctx, len(body), nil)
	res, err := d.post(ctx, r.Chain[0].Address, "/v1/streams", body)
	if err != nil {
		watchdog.Stop()
		defer cancel(nil)
		return nil, &OpenError{Outcome: trace.Outcome(res, true, tracer.Failure(ctx, err)), Err: cause(ctx, err)}
	}
	return &httpStream{ctx: ctx, cancel: cancel, body: res.Body, watchdog: watchdog, silenceLimit: d.options.SilenceLimit}, nil
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
	if res.StatusCode >= http.StatusMultipleChoices {
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
	ctx          context.Context
	cancel       context.CancelCauseFunc
	body         io.ReadCloser
	watchdog     *time.Timer
	silenceLimit time.Duration
}

func (s *httpStream) Events() iter.Seq2[engine.Event, error] {
	return func(yield func(engine.Event, error) bool) {
		lines := bufio.NewScanner(s.body)
		lines.Buffer(nil, maxEventBytes)
		for lines.Scan() {
			s.watchdog.Reset(s.silenceLimit)
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

// IsDialError reports whether err means that no connection was made, so that the
// request wasn't sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// cause returns the reason for which ctx was canceled if there is a specific one,
// otherwise err.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && !errors.Is(c, context.Canceled) {
		return c
	}
	return err
}
