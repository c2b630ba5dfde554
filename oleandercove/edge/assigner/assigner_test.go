package assigner

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a load of a few dozen requests that counts as much less than it is, so that an
// engine with memory for just these gives up no layers, and against a plan for each request that
// begins or ends.
func TestRoundDown(t *testing.T) {
	tests := []struct{ give, want int }{
		{0, 0}, {7, 7}, {9, 8}, {31, 28}, {47, 40}, {63, 56}, {100, 96}, {190, 160},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(roundDown(tt.give), tt.want)
	}
}
