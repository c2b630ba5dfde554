package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
)

func prompt(first, n int) []engine.Activation {
	out := make([]engine.Activation, n)
	for i := range out {
		out[i] = engine.Activation(i)
	}
	out[0] = engine.Activation(first)
	return out
}

// Guards against prefixes that count as cached although an earlier position differs, and
// against a cache that exceeds its memory limit.
func TestCacher(t *testing.T) {
	is := is.New(t)
	c := newCacher(4, 0, 0)
	is.Equal(c.lookupAndStore(prompt(0, 40)), 0)
	is.Equal(c.lookupAndStore(prompt(0, 40)), 32)
	is.Equal(c.lookupAndStore(prompt(0, 20)), 16)
	is.Equal(c.lookupAndStore(prompt(9, 40)), 0)
	is.Equal(c.lookupAndStore(prompt(8, 40)), 0) // evicts the first prompt
	is.Equal(c.lookupAndStore(prompt(0, 40)), 0)
	is.Equal(c.recent.Len(), 4)
}

// Guards against events that are readable before the lag has passed, and against injected
// losses that have no effect.
func TestCacheEvents(t *testing.T) {
	is := is.New(t)
	c := newCacher(100, time.Hour, 0)
	c.lookupAndStore(prompt(0, 32))
	is.Equal(len(c.eventsAfter(0, time.Now())), 0)
	late := c.eventsAfter(0, time.Now().Add(time.Hour))
	is.Equal(len(late), 2)
	is.Equal(len(c.eventsAfter(late[0].Sequence, time.Now().Add(time.Hour))), 1)
	lossy := newCacher(100, 0, 1)
	lossy.lookupAndStore(prompt(0, 32))
	is.Equal(len(lossy.eventsAfter(0, time.Now())), 0)
	is.Equal(lossy.sequence, uint64(2))
}
