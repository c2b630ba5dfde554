package limiter

import (
	"math"
	"sync"
	"time"
)

// tokenBatch is how many tokens are counted at once, to lock the meters less
// often.
const tokenBatch = 16

// tokenCounter counts the tokens of one answer as they are emitted, so that a
// long answer is counted before its end.
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
		m.spend(c.tokens)
	}
	c.tokens = 0
}

// meter counts the use of one limit on this daemon.
type meter struct {
	mu    sync.Mutex
	slice Amounts
	until time.Time

	// credit holds unused requests and tokens; it goes below zero when an
	// answer is longer than the credit.
	credit  Amounts
	filled  time.Time
	running int

	// wanted counts arrivals and tokens since the last report.
	wanted   Amounts
	peak     int
	reported time.Time
	used     time.Time
}

func newMeter(now time.Time) *meter {
	m := &meter{filled: now.Add(-burst), reported: now, used: now}
	return m
}

// take books one request, or names the dimension that is used up and the time
// until it has room again.
func (m *meter) take(now time.Time, share Amounts) (Dimension, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used = now
	m.wanted[Requests]++
	m.peak = max(m.peak, m.running+1)
	m.fill(now, share)
	switch {
	case m.credit[Requests] < 1:
		return Requests, untilCredit(1-m.credit[Requests], share[Requests]), false
	case m.credit[Tokens] <= 0:
		return Tokens, untilCredit(-m.credit[Tokens], share[Tokens]), false
	case float64(m.running+1) > math.Max(1, math.Floor(share[Streams])):
		return Streams, burst, false
	}
	m.credit[Requests]--
	m.running++
	return 0, 0, true
}

// fill adds the credit of the time that passed, up to one burst. A share below
// one request still lets one request through each 1/share seconds.
func (m *meter) fill(now time.Time, share Amounts) {
	passed := now.Sub(m.filled).Seconds()
	m.filled = now
	for _, d := range []Dimension{Requests, Tokens} {
		if math.IsInf(share[d], 1) {
			m.credit[d] = math.Inf(1)
			continue
		}
		if math.IsInf(m.credit[d], 1) {
			m.credit[d] = 0
		}
		most := math.Max(1, share[d]*burst.Seconds())
		m.credit[d] = math.Min(m.credit[d]+passed*share[d], most)
	}
}

// maxWait bounds the time to come back that a refusal names.
const maxWait = 30 * time.Second

func untilCredit(missing, rate float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(missing/rate*float64(time.Second))+time.Millisecond)
}

func (m *meter) release(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used = now
	m.running--
}

func (m *meter) spend(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted[Tokens] += float64(tokens)
	m.credit[Tokens] -= float64(tokens)
}

// valid returns the slice while it may be used.
func (m *meter) valid(now time.Time) (Amounts, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slice, now.Before(m.until)
}

func (m *meter) install(slice Amounts, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slice, m.until = slice, until
}

// demand returns the use since the last report as a rate, with a margin.
func (m *meter) demand(now time.Time) Amounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := math.Max(now.Sub(m.reported).Seconds(), 0.001)
	d := Amounts{
		Requests: math.Max(1, m.wanted[Requests]/seconds*demandMargin),
		Tokens:   math.Max(1, m.wanted[Tokens]/seconds*demandMargin),
		Streams:  math.Max(1, float64(m.peak)*demandMargin),
	}
	m.wanted, m.peak, m.reported = Amounts{}, m.running, now
	return d
}

func (m *meter) idle(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running == 0 && now.Sub(m.used) > idleLimit
}
