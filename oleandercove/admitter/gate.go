package admitter

import (
	"time"

	"oleandercove.example/core/verdict"
)

const (
	// stretch is the time of a token, relative to engines without a queue, at
	// which the engines count as saturated. Fewer streams than that leave
	// gaps in the batches; more only wait in the engines' queues.
	stretch = 2.0
	// startShare is the first limit of a daemon, relative to the streams that
	// fill engines without a queue. Other daemons may run as many.
	startShare = 0.5
	// adjustInterval is the time between two changes of the limit.
	adjustInterval = 100 * time.Millisecond
	// capacityAge is how long a computed capacity is used.
	capacityAge = 250 * time.Millisecond
	// decrease and increase change the limit; daemons that don't see each
	// other come to equal limits by them.
	decrease = 0.95
	increase = 0.02
	// headroom lets the highest class exceed the limit; engines run it first,
	// so it need not wait for the end of a stream of another class.
	headroom = 1.2
	// minLimit keeps a probe of streams running when the engines are slow.
	minLimit = 4
	// smoothing is the weight of a new sample in the means.
	smoothing = 0.1
)

// gate limits the running streams of one model.
type gate struct {
	queue    *queue
	running  int
	limit    float64
	capacity capacity
	computed time.Time

	// pace holds the time between tokens by class: engines prefer the higher
	// classes, so that one mean would refuse too many of those and too few of
	// the lower ones.
	pace     [classes]pace
	adjusted time.Time
	// grants holds the rate of grants by class.
	grants [classes]meter
	// stream is the mean time of a stream, yield the generated share of the
	// allowed tokens.
	stream time.Duration
	yield  float64
}

// meter measures a rate over about a second.
type meter struct {
	count int
	rate  float64
}

func (m *meter) settle(interval time.Duration) {
	weight := min(1, interval.Seconds())
	m.rate += weight * (float64(m.count)/interval.Seconds() - m.rate)
	m.count = 0
}

// pace is the time between the tokens of one class.
type pace struct {
	// tokens and elapsed are the samples since the last change of the limit.
	tokens  int
	elapsed time.Duration
	// mean is the smoothed time between tokens.
	mean time.Duration
}

// settle takes over the samples; without any the mean falls back slowly.
func (p *pace) settle(unloaded time.Duration) {
	if p.tokens > 0 {
		p.mean += (p.elapsed/time.Duration(p.tokens) - p.mean) / 4
	} else {
		p.mean += (unloaded - p.mean) / 16
	}
	p.tokens, p.elapsed = 0, 0
}

func newGate() *gate { return &gate{queue: newQueue(), yield: 1} }

// refresh takes over a new capacity.
func (g *gate) refresh(c capacity, now time.Time) {
	g.computed = now
	if c.bound > 0 && g.capacity.bound == 0 {
		g.limit = max(minLimit, c.bound*c.token.Seconds()*startShare)
		for i := range g.pace {
			g.pace[i].mean = c.token
		}
	} else if c.bound < g.capacity.bound && g.capacity.bound > 0 {
		g.limit = max(minLimit, g.limit*c.bound/g.capacity.bound)
	}
	g.capacity = c
}

// sample records the time between two tokens of a stream. The bound keeps the
// gap of one recovery from looking like overload.
func (g *gate) sample(class int, d time.Duration) {
	p := &g.pace[class]
	p.tokens++
	p.elapsed += min(d, 4*time.Duration(stretch*float64(g.capacity.token)))
}

// adjust changes the limit by the mean time between tokens.
func (g *gate) adjust(now time.Time) {
	tokens, elapsed := 0, time.Duration(0)
	for i := range g.pace {
		tokens += g.pace[i].tokens
		elapsed += g.pace[i].elapsed
	}
	if now.Sub(g.adjusted) < adjustInterval || tokens < minLimit {
		return
	}
	mean := elapsed / time.Duration(tokens)
	for i := range g.pace {
		g.pace[i].settle(g.capacity.token)
		g.grants[i].settle(now.Sub(g.adjusted))
	}
	g.adjusted = now
	most := max(minLimit, 2*stretch*g.capacity.bound*g.capacity.token.Seconds())
	switch {
	case float64(mean) > stretch*float64(g.capacity.token):
		// A second decrease before the streams have followed the first one
		// would stop all grants for a while.
		if float64(g.running) <= g.limit*headroom+1 {
			g.limit = max(minLimit, g.limit*decrease)
		}
	case float64(g.running) >= g.limit-1:
		g.limit = min(most, g.limit+max(1, increase*g.limit))
	}
}

// finished updates the means with a complete stream.
func (g *gate) finished(d time.Duration, tokens, allowed int) {
	if tokens == 0 || allowed == 0 {
		return
	}
	if g.stream == 0 {
		g.stream = d
	}
	g.stream += time.Duration(smoothing * float64(d-g.stream))
	g.yield += smoothing * (float64(tokens)/float64(allowed) - g.yield)
}

// expected returns the expected number of tokens.
func (g *gate) expected(allowed int) float64 { return max(1, g.yield*float64(allowed)) }

// tokens returns the expected time of all tokens of a ticket.
func (g *gate) tokens(t *ticket) time.Duration {
	return time.Duration(t.cost * float64(g.pace[t.class].mean))
}

// wait estimates how long a new ticket would wait for its turn: the tickets of
// its class that go first, at the measured rate of grants of the class.
func (g *gate) wait(t *ticket) time.Duration {
	if float64(g.running) < g.limit && len(g.queue.waiting) == 0 {
		return 0
	}
	return time.Duration(g.queue.ahead(t) / g.rate(t.class) * float64(time.Second))
}

// rate returns the grants a second that a class can have: what the higher
// classes leave, without the least shares of the lower ones.
func (g *gate) rate(class int) float64 {
	stream := g.stream
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

// check refuses a request that would come too late.
func (g *gate) check(t *ticket, now time.Time, maxWait time.Duration) error {
	wait := g.wait(t)
	whole := wait + g.tokens(t)
	if wait <= maxWait && !now.Add(whole).After(t.deadline) {
		return nil
	}
	return overloaded(wait, "estimated %s to the first token and %s to the end",
		(wait + g.pace[t.class].mean).Round(time.Millisecond), whole.Round(time.Millisecond))
}

// overloaded returns a refusal; the caller should come back once the queue of
// now has passed.
func overloaded(wait time.Duration, format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, format, args...).After(max(time.Second, wait))
}

// next returns the ticket to grant, or nil.
func (g *gate) next() *ticket {
	switch n := float64(g.running); {
	case n < g.limit:
		return g.queue.pop()
	case n < g.limit*headroom:
		return g.queue.take(classes - 1)
	default:
		return nil
	}
}

// dispatch grants waiting tickets while there is room.
func (g *gate) dispatch(now time.Time) {
	for {
		t := g.next()
		if t == nil {
			return
		}
		if late := now.Add(g.tokens(t)); late.After(t.deadline) {
			t.ready <- overloaded(0, "waited until the deadline could not be met any more")
			continue
		}
		g.running++
		g.grants[t.class].count++
		t.ready <- nil
	}
}
