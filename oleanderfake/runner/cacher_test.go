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

// TestCacher guards against prefixes that are taken for cached although an
// earlier position differs, and against a cache that outgrows its memory.
func TestCacher(t *testing.T) {
	is := is.New(t)
	c := newCacher(4, 0, 0)
	is.Equal(c.use(prompt(0, 40)), 0)
	is.Equal(c.use(prompt(0, 40)), 32)
	is.Equal(c.use(prompt(0, 20)), 16)
	is.Equal(c.use(prompt(9, 40)), 0)
	is.Equal(c.use(prompt(8, 40)), 0) // evicts the first prompt
	is.Equal(c.use(prompt(0, 40)), 0)
	is.Equal(c.recent.Len(), 4)
}

// TestCacheEvents guards against events that arrive at once or without gaps.
func TestCacheEvents(t *testing.T) {
	is := is.New(t)
	c := newCacher(100, time.Hour, 0)
	c.use(prompt(0, 32))
	is.Equal(len(c.after(0, time.Now())), 0)
	late := c.after(0, time.Now().Add(time.Hour))
	is.Equal(len(late), 2)
	is.Equal(len(c.after(late[0].Sequence, time.Now().Add(time.Hour))), 1)
	lossy := newCacher(100, 0, 1)
	lossy.use(prompt(0, 32))
	is.Equal(len(lossy.after(0, time.Now())), 0)
	is.Equal(lossy.sequence, uint64(2))
}
