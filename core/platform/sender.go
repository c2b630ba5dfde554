package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

const (
	// firstPause and longestPause bound the backoff between tries.
	firstPause   = 10 * time.Millisecond
	longestPause = 200 * time.Millisecond
	// burstSeconds is the part of a second's budget that may be used at once.
	burstSeconds = 1
)

// budget limits the calls of this process.
type budget struct{ reads, writes, watches *rate.Limiter }

func newBudget(o Options) budget {
	return budget{reads: limiter(o.ReadsPerSecond), writes: limiter(o.WritesPerSecond), watches: limiter(o.WatchesPerSecond)}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

func (b budget) of(c Call) *rate.Limiter {
	switch c {
	case CallPut:
		return b.writes
	case CallWatch:
		return b.watches
	default:
		return b.reads
	}
}

// pause waits between tries with jitter.
type pause struct{ backoff *backoff.ExponentialBackOff }

func newPause() *pause {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, longestPause
	return &pause{backoff: b}
}

func (p *pause) wait(ctx context.Context) bool {
	t := time.NewTimer(p.backoff.NextBackOff())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt is one HTTP call.
type attempt struct {
	call         Call
	method, path string
	header       http.Header
	body         []byte
	limit        time.Duration
}

// try makes one HTTP call under the budget and the circuit breaker.
func (c *client) try(ctx context.Context, a attempt, out any) error {
	err := c.guarded(ctx, a, out)
	c.counts.add(a.call, outcomeOf(err))
	return err
}

func (c *client) guarded(ctx context.Context, a attempt, out any) error {
	if !c.breaker.allow(time.Now()) {
		return fmt.Errorf("%w: %w", ErrUnavailable, ErrOpen)
	}
	if err := c.budget.of(a.call).Wait(ctx); err != nil {
		c.breaker.abandon()
		return fmt.Errorf("%w: %v", ErrBudget, err)
	}
	limited, cancel := context.WithTimeout(ctx, a.limit)
	defer cancel()
	err := c.send(limited, a, out)
	if ctx.Err() != nil {
		// The deadline of one caller says nothing about the platform.
		c.breaker.abandon()
		return err
	}
	if limited.Err() != nil {
		// Other idle connections to the same server are likely silent too.
		c.http.CloseIdleConnections()
	}
	c.breaker.report(!errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown), time.Now())
	return err
}

func (c *client) send(ctx context.Context, a attempt, out any) error {
	req, err := http.NewRequestWithContext(ctx, a.method, c.base+a.path, bytes.NewReader(a.body))
	if err != nil {
		return err
	}
	for k, v := range a.header {
		req.Header[k] = v
	}
	res, err := c.http.Do(req)
	if err != nil {
		return lost(a.method, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return lost(a.method, err)
	}
	return decode(a.method, res.StatusCode, data, out)
}

// lost maps a transport error: a read failed, a write's outcome is unknown.
func lost(method string, err error) error {
	if method == http.MethodGet {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}

func decode(method string, status int, data []byte, out any) error {
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal(data, out); err != nil {
			return lost(method, err)
		}
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return lost(method, fmt.Errorf("status %d: %s", status, data))
	}
}
