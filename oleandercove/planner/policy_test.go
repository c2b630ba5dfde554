package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleandercove/planner"
)

// Guards against a policy that balances like another one, which happens when its cost is
// wrong or its name is read wrongly.
func TestBalance(t *testing.T) {
	ms := time.Millisecond
	pick := func(p planner.Policy, busyA, busyB int) string {
		a, b := candidate("a", 0, 8, ms), candidate("b", 0, 8, 4*ms)
		a.InFlight, b.InFlight = busyA, busyB
		chain, _ := planner.Plan(planner.Snapshot{Layers: 8, Engines: []planner.Engine{a, b}}, p)
		return string(chain[0].Backend)
	}
	tests := []struct {
		name string
		give planner.PolicyName
		want string
	}{
		{"least delay ignores the speed", planner.LeastDelay, "aaa"},
		{"round robin stays on one engine", planner.RoundRobin, "aba"},
		{"least connections ignores the streams in flight", planner.LeastConnections, "bbb"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p, got := planner.NewPolicy(test.give), ""
			for range 3 {
				got += pick(p, 5, 4)
			}
			is.Equal(got, test.want)
		})
	}
	is := is.New(t)
	var b planner.PolicyName
	is.True(b.UnmarshalText([]byte("least-dealy")) != nil) // a misspelt policy is taken as the default
	is.NoErr(b.UnmarshalText([]byte("round-robin")))
	is.Equal(b, planner.RoundRobin)
}
