package admitter

import (
	"time"

	"oleandercove.example/core/verdict"
)

const (
	// saturationFactor is the time per token, relative to engines without a queue, at
	// which the engines count as saturated. Fewer streams than at that point leave
	// gaps in the batches; more only wait in the engines' queues.
	saturationFactor = 2.0
	// initialLimitShare is the first limit of a daemon, relative to the number of
	// streams that fill engines without a queue. Other daemons may run as many.
	initialLimitShare = 0.5
	// adjustInterval is the minimum time between two changes of the limit.
	adjustInterval = 100 * time.Millisecond
	// maxCapacityAge is how long a computed capacity is used.
	maxCapacityAge = 250 * time.Millisecond
	// decreaseFactor and increaseShare are the relative changes of the limit.
	// With them daemons that don't see each other converge to equal limits.
	decreaseFactor = 0.95
	increaseShare  = 0.02
	// highClassHeadroom is the factor by which the highest class may exceed the
	// limit. Engines run this class first, so it needn't wait for a stream of
	// another class to end.
	highClassHeadroom = 1.2
	// minLimit is the lowest limit. It keeps enough streams running to measure
	// slow engines.
	minLimit = 4
	// smoothing is the weight of a new sample in the exponential moving averages.
	smoothing = 0.1
)

// gate limits the running streams of one model.
type gate struct {
	queue      *queue
	running    int
	limit      float64
	capacity   capacity
	computedAt time.Time

	// tokenGaps holds the time between tokens by class. Engines prefer the higher
	// classes, so a single mean would reject too many requests of those and too
	// few of the lower ones.
	tokenGaps  [classes]tokenGap
	adjustedAt time.Time
	// grants holds the rate of grants by class.
	grants [classes]rateMeter
	// meanStreamTime is the mean duration of a stream; generatedShare is the mean
	// ratio of generated to allowed tokens.
	meanStreamTime time.Duration
	generatedShare float64
}

// rateMeter measures a rate per second, averaged over about one second.
type rateMeter struct {
	count int
	rate  float64
}

// update adds the events counted in the interval to the rate.
func (m *rateMeter) update(interval time.Duration) {
	weight := min(1, interval.Seconds())
	m.rate += weight * (float64(m.count)/interval.Seconds() - m.rate)
	m.count = 0
}

// tokenGap measures the time between the tokens of one class.
type tokenGap struct {
	// tokens and elapsed are the samples since the last change of the limit.
	tokens  int
	elapsed time.Duration
	// mean is the smoothed time between tokens.
	mean time.Duration
}

// update adds the samples to the mean; without samples the mean decays slowly
// towards the time on unloaded engines.
func (g *tokenGap) update(unloaded time.Duration) {
	if g.tokens > 0 {
		g.mean += (g.elapsed/time.Duration(g.tokens) - g.mean) / 4
	} else {
		g.mean += (unloaded - g.mean) / 16
	}
	g.tokens, g.elapsed = 0, 0
}

func newGate() *gate { return &gate{queue: newQueue(), generatedShare: 1} }

// setCapacity installs a new capacity. The limit starts at a share of the first
// capacity and shrinks in proportion when the capacity does.
func (g *gate) setCapacity(c capacity, now time.Time) {
	g.computedAt = now
	if c.maxFlow > 0 && g.capacity.maxFlow == 0 {
		g.limit = max(minLimit, c.maxFlow*c.tokenTime.Seconds()*initialLimitShare)
		for i := range g.tokenGaps {
			g.tokenGaps[i].mean = c.tokenTime
		}
	} else if c.maxFlow < g.capacity.maxFlow && g.capacity.maxFlow > 0 {
		g.limit = max(minLimit, g.limit*c.maxFlow/g.capacity.maxFlow)
	}
	g.capacity = c
}

// recordGap records the time between two tokens of a stream. The sample is
// capped, so that the gap of one recovery doesn't look like overload.
func (g *gate) recordGap(class int, d time.Duration) {
	gap := &g.tokenGaps[class]
	gap.tokens++
	gap.elapsed += min(d, 4*time.Duration(saturationFactor*float64(g.capacity.tokenTime)))
}

// adjustLimit adapts the limit to the mean time between tokens.
func (g *gate) adjustLimit(now time.Time) {
	tokens, elapsed := 0, time.Duration(0)
	for i := range g.tokenGaps {
		tokens += g.tokenGaps[i].tokens
		elapsed += g.tokenGaps[i].elapsed
	}
	if now.Sub(g.adjustedAt) < adjustInterval || tokens < minLimit {
		return
	}
	mean := elapsed / time.Duration(tokens)
	for i := range g.tokenGaps {
		g.tokenGaps[i].update(g.capacity.tokenTime)
		g.grants[i].update(now.Sub(g.adjustedAt))
	}
	g.adjustedAt = now
	maxLimit := max(minLimit, 2*saturationFactor*g.capacity.maxFlow*g.capacity.tokenTime.Seconds())
	switch {
	case float64(mean) > saturationFactor*float64(g.capacity.tokenTime):
		// Another decrease before the number of streams has dropped to the new limit
		// would stop all grants for a while.
		if float64(g.running) <= g.limit*highClassHeadroom+1 {
			g.limit = max(minLimit, g.limit*decreaseFactor)
		}
	case float64(g.running) >= g.limit-1:
		g.limit = min(maxLimit, g.limit+max(1, increaseShare*g.limit))
	}
}

// recordStream updates the averages with a finished stream.
func (g *gate) recordStream(d time.Duration, tokens, allowed int) {
	if tokens == 0 || allowed == 0 {
		return
	}
	if g.meanStreamTime == 0 {
		g.meanStreamTime = d
	}
	g.meanStreamTime += time.Duration(smoothing * float64(d-g.meanStreamTime))
	g.generatedShare += smoothing * (float64(tokens)/float64(allowed) - g.generatedShare)
}

// expectedTokens returns the expected number of tokens of a request that allows
// the given number.
func (g *gate) expectedTokens(allowed int) float64 { return max(1, g.generatedShare*float64(allowed)) }

// generationTime returns the expected time to generate all tokens of a ticket.
func (g *gate) generationTime(t *ticket) time.Duration {
	return time.Duration(t.cost * float64(g.tokenGaps[t.class].mean))
}

// estimateWait estimates the queueing time of a new ticket: the number of tickets of
// its class that are granted before it, divided by the grant rate of the class.
func (g *gate) estimateWait(t *ticket) time.Duration {
	if float64(g.running) < g.limit && len(g.queue.waiting) == 0 {
		return 0
	}
	return time.Duration(g.queue.ticketsAhead(t) / g.grantRate(t.class) * float64(time.Second))
}

// grantRate returns the grants per second that a class can have: what the higher
// classes leave, minus the minimum shares of the lower ones.
func (g *gate) grantRate(class int) float64 {
	stream := g.meanStreamTime
	if stream == 0 {
		stream = time.Second
	}
	total := g.limit / stream.Seconds()
	rest := total
	for c := range classes {
		switch {
		case c < class:
			rest -= minShare[c] * total
		case c > class:
			rest -= g.grants[c].rate
		}
	}
	return max(rest, minShare[class]*total)
}

// checkWait rejects a request that would wait longer than maxWait or miss its
// deadline.
func (g *gate) checkWait(t *ticket, now time.Time, maxWait time.Duration) error {
	wait := g.estimateWait(t)
	total := wait + g.generationTime(t)
	if wait <= maxWait && !now.Add(total).After(t.deadline) {
		return nil
	}
	return overloaded(wait, "estimated %s to the first token and %s to the end",
		(wait + g.tokenGaps[t.class].mean).Round(time.Millisecond), total.Round(time.Millisecond))
}

// overloaded returns a rejection; the caller may retry after the estimated wait in the
// queue, but at least one second.
func overloaded(wait time.Duration, format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, format, args...).WithRetryAfter(max(time.Second, wait))
}

// nextTicket removes and returns the next ticket to grant, or nil if there is
// none or the limit is reached.
func (g *gate) nextTicket() *ticket {
	switch n := float64(g.running); {
	case n < g.limit:
		return g.queue.pop()
	case n < g.limit*highClassHeadroom:
		return g.queue.popClass(classes - 1)
	default:
		return nil
	}
}

// dispatch grants waiting tickets while the limit has free capacity. It rejects
// those that can't meet their deadline any more.
func (g *gate) dispatch(now time.Time) {
	for {
		t := g.nextTicket()
		if t == nil {
			return
		}
		if late := now.Add(g.generationTime(t)); late.After(t.deadline) {
			t.ready <- overloaded(0, "waited until the deadline could not be met any more")
			continue
		}
		g.running++
		g.grants[t.class].count++
		t.ready <- nil
	}
}
