package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/planner"
)

func candidate(id string, from, to unit.Layer, iteration time.Duration) planner.Engine {
	return planner.Engine{
		Stage:     engine.Stage{Backend: unit.BackendID(id), From: from, To: to},
		Iteration: iteration, MaxBatch: 4, MaxStreams: 8,
	}
}

// Guards against a chain that is invalid or slower than another, which happens when
// layers, load, links or the stream's own stages are ignored.
func TestPlan(t *testing.T) {
	fast, slow := 2*time.Millisecond, 9*time.Millisecond
	with := func(e planner.Engine, change func(*planner.Engine)) planner.Engine {
		change(&e)
		return e
	}
	tests := []struct {
		name string
		give []planner.Engine
		want string
	}{
		{"a gap in the layers is planned over", []planner.Engine{candidate("a", 0, 4, fast), candidate("b", 5, 8, fast)}, ""},
		{"overlapping ranges run a layer twice", []planner.Engine{candidate("a", 0, 5, fast), candidate("b", 4, 8, fast)}, ""},
		{"a range beyond the model is used", []planner.Engine{candidate("a", 0, 9, fast)}, ""},
		{"a slow engine is chosen although a fast one is idle", []planner.Engine{candidate("a", 0, 8, slow), candidate("b", 0, 8, fast)}, "b"},
		{"many stages are chosen although one engine is cheaper", []planner.Engine{candidate("a", 0, 4, slow), candidate("b", 4, 8, slow), candidate("c", 0, 8, slow)}, "c"},
		{"a stage that holds the stream is moved", []planner.Engine{
			with(candidate("a", 0, 8, slow), func(e *planner.Engine) { e.HoldsState = true }), candidate("b", 0, 8, fast),
		}, "a"},
		{"a full engine gets another stream", []planner.Engine{
			with(candidate("a", 0, 8, fast), func(e *planner.Engine) { e.InFlight = 8 }), candidate("b", 0, 8, slow),
		}, "b"},
		{"a full batch counts as idle", []planner.Engine{
			with(candidate("a", 0, 8, fast), func(e *planner.Engine) { e.InFlight, e.MaxStreams = 39, 99 }), candidate("b", 0, 8, slow),
		}, "b"},
		{"a slow link is ignored", []planner.Engine{
			with(candidate("a", 0, 8, fast), func(e *planner.Engine) { e.LinkTime = 100 * time.Millisecond }), candidate("b", 0, 8, slow),
		}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			chain, ok := planner.Plan(planner.Snapshot{Layers: 8, Engines: test.give}, planner.NewPolicy(planner.LeastDelay))
			var ids []string
			for _, s := range chain {
				ids = append(ids, string(s.Backend))
			}
			is.Equal(strings.Join(ids, " "), test.want)
			is.Equal(ok, test.want != "")
		})
	}
}
