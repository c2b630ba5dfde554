package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleandercove/edge/pathfinder"
)

// Guards against a host that spends its processor time on searches which fail, and against a
// stream that waits although a chain has room for it.
func TestShortages(t *testing.T) {
	failed := pathfinder.Request{PromptTokens: 700, OutputTokens: 100, SameDataCentre: true}
	tests := []struct {
		name string
		give pathfinder.Request
		age  time.Duration
		want bool
	}{
		{"the same search is repeated", failed, minResumeInterval / 2, true},
		{"a larger request is searched for", pathfinder.Request{PromptTokens: 800, OutputTokens: 100, SameDataCentre: true}, 0, true},
		{"a smaller request waits", pathfinder.Request{PromptTokens: 600, OutputTokens: 100, SameDataCentre: true}, 0, false},
		{"a request that may cross data centres waits", pathfinder.Request{PromptTokens: 700, OutputTokens: 100}, 0, false},
		{"a chain with new room is not found", failed, minResumeInterval, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var s shortages
			s.add("s", failed, now)
			is := is.New(t)
			is.Equal(s.covers("s", tt.give, now.Add(tt.age)), tt.want)
			is.True(!s.covers("other", tt.give, now))
		})
	}
}
