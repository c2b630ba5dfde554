package limiter

import (
	"math"
	"sync"
	"time"
)

// tokenBatch is the number of tokens that are counted at once, to lock the meters
// less often.
const tokenBatch = 16

// tokenCounter counts the tokens of one response as they are emitted, so that a
// long response counts before it ends.
type tokenCounter struct {
	meters []*meter
	next   func(string) error
	tokens int
}

func newTokenCounter(meters []*meter, next func(string) error) *tokenCounter {
	return &tokenCounter{meters: meters, next: next}
}

func (c *tokenCounter) emit(text string) error {
	c.tokens++
	if c.tokens == tokenBatch {
		c.flush()
	}
	return c.next(text)
}

func (c *tokenCounter) flush() {
	for _, m := range c.meters {
		m.addTokens(c.tokens)
	}
	c.tokens = 0
}

// meter counts the usage of one limit on this daemon.
type meter struct {
	mu         sync.Mutex
	slice      Amounts
	validUntil time.Time

	// credit holds unused requests and tokens. It becomes negative when a
	// response is longer than the credit.
	credit   Amounts
	filledAt time.Time
	running  int

	// wanted counts arrived requests and tokens since the last report.
	wanted      Amounts
	peakRunning int
	reportedAt  time.Time
	usedAt      time.Time
}

func newMeter(now time.Time) *meter {
	m := &meter{filledAt: now.Add(-burstWindow), reportedAt: now, usedAt: now}
	return m
}

// acquire counts one request, or returns the exhausted dimension and the time
// until it has free capacity again.
func (m *meter) acquire(now time.Time, share Amounts) (Dimension, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usedAt = now
	m.wanted[Requests]++
	m.peakRunning = max(m.peakRunning, m.running+1)
	m.refill(now, share)
	switch {
	case m.credit[Requests] < 1:
		return Requests, creditDelay(1-m.credit[Requests], share[Requests]), false
	case m.credit[Tokens] <= 0:
		return Tokens, creditDelay(-m.credit[Tokens], share[Tokens]), false
	case float64(m.running+1) > math.Max(1, math.Floor(share[Streams])):
		return Streams, burstWindow, false
	}
	m.credit[Requests]--
	m.running++
	return 0, 0, true
}

// refill adds the credit of the elapsed time, up to one burst window. A share
// below one request still admits one request every 1/share seconds.
func (m *meter) refill(now time.Time, share Amounts) {
	elapsed := now.Sub(m.filledAt).Seconds()
	m.filledAt = now
	for _, d := range []Dimension{Requests, Tokens} {
		if math.IsInf(share[d], 1) {
			m.credit[d] = math.Inf(1)
			continue
		}
		if math.IsInf(m.credit[d], 1) {
			m.credit[d] = 0
		}
		maxCredit := math.Max(1, share[d]*burstWindow.Seconds())
		m.credit[d] = math.Min(m.credit[d]+elapsed*share[d], maxCredit)
	}
}

// maxRetryAfter bounds the retry delay of a rejection.
const maxRetryAfter = 30 * time.Second

// creditDelay returns the time in which the missing credit accrues at a rate per
// second.
func creditDelay(missing, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(missing/rate*float64(time.Second))+time.Millisecond)
}

func (m *meter) release(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usedAt = now
	m.running--
}

func (m *meter) addTokens(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted[Tokens] += float64(tokens)
	m.credit[Tokens] -= float64(tokens)
}

// currentSlice returns the slice and whether it is still valid.
func (m *meter) currentSlice(now time.Time) (Amounts, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slice, now.Before(m.validUntil)
}

func (m *meter) setSlice(slice Amounts, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slice, m.validUntil = slice, until
}

// collectDemand returns the demand since the last report, with a margin: requests and
// tokens as rates per second, and the peak of concurrent requests. It starts a new
// report period.
func (m *meter) collectDemand(now time.Time) Amounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := math.Max(now.Sub(m.reportedAt).Seconds(), 0.001)
	d := Amounts{
		Requests: math.Max(1, m.wanted[Requests]/seconds*demandMargin),
		Tokens:   math.Max(1, m.wanted[Tokens]/seconds*demandMargin),
		Streams:  math.Max(1, float64(m.peakRunning)*demandMargin),
	}
	m.wanted, m.peakRunning, m.reportedAt = Amounts{}, m.running, now
	return d
}

func (m *meter) idle(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running == 0 && now.Sub(m.usedAt) > idleTimeout
}
