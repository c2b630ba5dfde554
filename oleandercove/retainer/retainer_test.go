package retainer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against values that are dropped too early or never.
func TestKeep(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{"dropped within the time", 10 * time.Second, true},
		{"kept for longer than twice the time", 20*time.Second + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := New[string, int](10*time.Second, 8)
			r.Set("first", 0, now)
			now = now.Add(9 * time.Second)
			r.Set("a", 1, now)
			// Other keys are set meanwhile.
			for end := now.Add(tt.after); now.Before(end); now = now.Add(time.Second) {
				r.Set("b", 2, now)
			}
			_, ok := r.Get("a", now)
			is.Equal(ok, tt.want)
		})
	}
}

// Guards against memory that grows with the number of keys.
func TestLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New[int, int](time.Minute, 8)
	for n := range 1000 {
		r.Set(n, n, now)
	}
	is.True(r.Len() <= 16)
	v, ok := r.Get(999, now)
	is.True(ok)
	is.Equal(v, 999)
}
