package launcher

import (
	"errors"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against two programs with one port, which happens when tests choose ports at the
// same time, in one process or in several, and the programs listen later.
func TestPortsAreDistinct(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		processes int
		takes     int
		ports     int
	}{
		{"many launchers of one process", 1, 1500, 1},
		{"several processes", 4, 300, 1},
		{"pairs of consecutive ports", 2, 200, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			taken := make([][]int, tt.processes)
			errs := make([]error, tt.processes)
			var wg sync.WaitGroup
			for i := range tt.processes {
				a := &portAllocator{}
				t.Cleanup(a.release)
				wg.Go(func() { taken[i], errs[i] = takeMany(a, tt.takes, tt.ports) })
			}
			wg.Wait()
			is.NoErr(errors.Join(errs...))
			ports := slices.Concat(taken...)
			slices.Sort(ports)
			is.Equal(len(slices.Compact(ports)), tt.processes*tt.takes*tt.ports)
		})
	}
}

// takeMany takes n consecutive ports the given number of times, and returns them all.
func takeMany(a *portAllocator, times, n int) ([]int, error) {
	var out []int
	for range times {
		first, err := a.take(n)
		if err != nil {
			return nil, err
		}
		for p := first; p < first+n; p++ {
			out = append(out, p)
		}
	}
	return out, nil
}

func (a *portAllocator) release() {
	for _, l := range a.reservations {
		l.Close()
	}
}
