package reserver

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against bodies that take more memory than there is, and against large bodies that
// leave none to small ones.
func TestReserve(t *testing.T) {
	const mega = 1 << 20
	tests := []struct {
		name       string
		used       int64
		held, size int64
		want       bool
	}{
		{"a large body that fits is refused", 60 * mega, 0, 4 * mega, true},
		{"large bodies take the memory of small ones", 72 * mega, 0, 4 * mega, false},
		{"a small body is refused beside large ones", 75 * mega, 0, smallBody, true},
		{"small bodies exceed the memory", 100*mega - 1, 0, 2, false},
		{"a body that grows is counted twice", 72 * mega, 2 * mega, 4 * mega, true},
		{"a body that grows takes the memory of small ones", 74 * mega, 2 * mega, 4 * mega, false},
		{"a body without bytes is refused", 100 * mega, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New(100 * mega)
			r.used = tt.used
			is.Equal(r.Reserve(tt.held, tt.size), tt.want)
			if tt.want {
				r.Release(tt.size - tt.held)
			}
			is.Equal(r.Used(), tt.used)
		})
	}
}
