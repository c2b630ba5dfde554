// Package fetcher requests data from other daemons over HTTP.
//
// A request ends when nothing arrives for a while, not after a fixed time for everything: a
// large answer over a slow link, or to a host that is short of processor time, would be cut
// off and begun again from nothing, each time. The rule is:
//   - The connection may take Options.Dial, it and the first byte Options.FirstByte.
//   - After that, some bytes must arrive in each Options.Stall.
//   - A process that was not run in time finds its timer due and the bytes here at the same
//     moment, so a due timer gives the reader one more lastChance.
//   - The whole answer may take Options.Total.
//
// Usage:
//
//	f := fetcher.New(fetcher.Options{Dial: 300 * time.Millisecond, FirstByte: 300 * time.Millisecond, Stall: 300 * time.Millisecond, Total: 4 * time.Second, MaxBytes: 1 << 20})
//	a, err := f.Get(ctx, "http://10.1.0.40:7341/configuration")
//	if errors.Is(err, fetcher.ErrStalled) {
//		tryOther()
//	}
package fetcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oleandercove.example/core/receiver"
)

// ErrStalled is returned if no bytes arrived for the time that the options allow.
var ErrStalled = errors.New("peer sent nothing in time")

// lastChance is how long a reader may still take once its timer is due.
const lastChance = 100 * time.Millisecond

// Options configures a Fetcher.
type Options struct {
	// Dial bounds the time to connect, FirstByte the time to the head of the answer, Stall the
	// time without any byte after it, and Total the time for the whole answer. FirstByte and
	// Stall are extended by lastChance.
	Dial, FirstByte, Stall, Total time.Duration
	// MaxBytes bounds the decompressed body of an answer.
	MaxBytes int64
}

// Fetcher requests data from other daemons. It is safe for concurrent use.
type Fetcher struct {
	Options
	client *http.Client
}

// New returns a Fetcher that keeps one idle connection to each daemon.
func New(o Options) *Fetcher {
	d := &net.Dialer{Timeout: o.Dial}
	return &Fetcher{Options: o, client: &http.Client{Transport: receiver.NewTransport(&http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 1,
	})}}
}

// Answer is the answer of a daemon.
type Answer struct {
	Header http.Header
	Body   []byte
}

// Get requests a URL. It blocks until the whole answer, until ctx is done, or until the answer
// takes too long, in which case it returns ErrStalled or the error of the deadline. An answer
// with another status than 200 is an error.
func (f *Fetcher) Get(ctx context.Context, url string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Total)
	defer cancel()
	ctx, stall := context.WithCancelCause(ctx)
	defer stall(nil)
	w := newWatchdog(f.FirstByte, f.Stall, func() { stall(ErrStalled) })
	defer w.stop()
	a, err := f.get(ctx, url, w)
	if err != nil && errors.Is(context.Cause(ctx), ErrStalled) {
		return a, fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return a, err
}

func (f *Fetcher) get(ctx context.Context, url string, w *watchdog) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{}, err
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	w.progress()
	if resp.StatusCode != http.StatusOK {
		return Answer{}, errors.New("peer answered " + resp.Status)
	}
	body, err := receiver.ReadBody(&watchedReader{Reader: resp.Body, watchdog: w}, f.MaxBytes)
	return Answer{Header: resp.Header, Body: body}, err
}

// watchdog calls a function once there was no progress for a while.
type watchdog struct {
	stall   time.Duration
	expired func()
	// moved is set by progress and cleared by check.
	moved atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
	// warned is set once a check has found no progress.
	warned bool
}

func newWatchdog(first, stall time.Duration, expired func()) *watchdog {
	w := &watchdog{stall: stall, expired: expired}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, w.check)
	return w
}

func (w *watchdog) progress() { w.moved.Store(true) }

// check runs when the timer is due.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.moved.Swap(false):
		w.warned = false
		w.timer.Reset(w.stall)
	case !w.warned:
		w.warned = true
		w.timer.Reset(lastChance)
	default:
		w.expired()
	}
}

func (w *watchdog) stop() { w.timer.Stop() }

// watchedReader reports each read that returned bytes.
type watchedReader struct {
	io.Reader
	watchdog *watchdog
}

// Read reads from the underlying reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watchdog.progress()
	}
	return n, err
}
