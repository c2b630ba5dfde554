package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff between attempts.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// burstSeconds is the burst capacity of the call budget, in seconds of its rate.
	burstSeconds = 1
)

// budget limits the rates of the calls of this process.
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

func (b budget) limiterFor(c Call) *rate.Limiter {
	switch c {
	case CallPut:
		return b.writes
	case CallWatch:
		return b.watches
	default:
		return b.reads
	}
}

// retryDelay is the exponential backoff with jitter between the attempts of a call.
type retryDelay struct{ backoff *backoff.ExponentialBackOff }

func newRetryDelay() *retryDelay {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return &retryDelay{backoff: b}
}

// wait blocks for the next delay or until ctx is done. It reports whether the delay has
// passed.
func (p *retryDelay) wait(ctx context.Context) bool {
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
	timeout      time.Duration
}

// do makes one HTTP call under the call budget and the circuit breaker, and counts its
// outcome.
func (c *client) do(ctx context.Context, a attempt, out decoder) error {
	err := c.doGuarded(ctx, a, out)
	c.counts.add(a.call, outcomeOf(err))
	return err
}

func (c *client) doGuarded(ctx context.Context, a attempt, out decoder) error {
	if !c.breaker.allow(time.Now()) {
		return fmt.Errorf("%w: %w", ErrUnavailable, ErrBreakerOpen)
	}
	if err := c.budget.limiterFor(a.call).Wait(ctx); err != nil {
		c.breaker.abandon()
		return fmt.Errorf("%w: %v", ErrBudget, err)
	}
	attemptCtx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	err := c.send(attemptCtx, a, out)
	if ctx.Err() != nil {
		// An expired or cancelled caller context does not show the state of the platform.
		c.breaker.abandon()
		return err
	}
	if attemptCtx.Err() != nil {
		// Other idle connections to the same server are probably dead too.
		c.http.CloseIdleConnections()
	}
	c.breaker.record(!errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrOutcomeUnknown), time.Now())
	return err
}

func (c *client) send(ctx context.Context, a attempt, out decoder) error {
	req, err := http.NewRequestWithContext(ctx, a.method, c.base+a.path, bytes.NewReader(a.body))
	if err != nil {
		return err
	}
	for k, v := range a.header {
		req.Header[k] = v
	}
	res, err := c.http.Do(req)
	if err != nil {
		return unresolvedError(a.method, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return unresolvedError(a.method, err)
	}
	return decode(a.method, res.StatusCode, data, out)
}

// unresolvedError wraps the error of a call without a usable response: a read is
// unavailable, and the outcome of a write is unknown.
func unresolvedError(method string, err error) error {
	if method == http.MethodGet {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

func decode(method string, status int, data []byte, out decoder) error {
	switch {
	case status == http.StatusOK:
		if err := out.decode(data); err != nil {
			return unresolvedError(method, err)
		}
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return unresolvedError(method, fmt.Errorf("status %d: %s", status, data))
	}
}
