package chooser

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against a panic with few hosts, and against keys that move although their hosts
// stay, which happens when the score of a host depends on the others.
func TestTop(t *testing.T) {
	for _, c := range []struct {
		failure string
		hosts   int
		n       int
	}{
		{"no host panics", 0, 2},
		{"fewer hosts than wanted panic", 1, 2},
		{"loss of a host moves keys of others", 20, 2},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			var hosts []string
			for i := range c.hosts {
				hosts = append(hosts, fmt.Sprintf("entry-%d", i))
			}
			for k := range 200 {
				key := fmt.Sprint(k)
				top := Top(key, hosts, c.n)
				is.Equal(len(top), min(c.n, c.hosts))
				for _, h := range hosts {
					is.Equal(InTop(key, h, hosts, c.n), slices.Contains(top, h))
					rest := slices.DeleteFunc(slices.Clone(hosts), func(o string) bool { return o == h })
					if !slices.Contains(top, h) {
						is.Equal(Top(key, rest, c.n), top)
					}
				}
			}
			is.True(!InTop("k", "stranger", hosts, c.n))
		})
	}
}
