package planner_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/planner"
)

// Guards against a wrong throughput bound, which happens when gaps, overlaps or parallel
// paths of layers are counted wrongly.
func TestMaxFlow(t *testing.T) {
	fast, slow := 2*time.Millisecond, 4*time.Millisecond // 2000 and 1000 tokens/s
	tests := []struct {
		name string
		give []planner.Engine
		want float64
	}{
		{"a gap in the layers carries tokens", []planner.Engine{candidate("a", 0, 4, fast), candidate("b", 5, 8, fast)}, 0},
		{"overlapping ranges carry tokens", []planner.Engine{candidate("a", 0, 5, fast), candidate("b", 4, 8, fast)}, 0},
		{"a range beyond the model carries tokens", []planner.Engine{candidate("a", 0, 9, fast)}, 0},
		{"the narrowest stage is not the bound", []planner.Engine{candidate("a", 0, 4, fast), candidate("b", 4, 8, slow)}, 1000},
		{"engines of one stage are not added up", []planner.Engine{
			candidate("a", 0, 4, fast), candidate("b", 4, 8, slow), candidate("c", 4, 8, slow),
		}, 2000},
		{"a path around a stage is missed", []planner.Engine{
			candidate("a", 0, 4, fast), candidate("b", 4, 8, slow), candidate("c", 0, 8, slow),
		}, 2000},
		{"an early choice of path is not undone", []planner.Engine{
			candidate("a", 0, 2, slow), candidate("b", 2, 6, slow), candidate("c", 6, 8, slow),
			candidate("d", 0, 6, slow), candidate("e", 2, 8, slow),
		}, 2000},
		{"an engine without a rate is infinite", []planner.Engine{candidate("a", 0, 8, 0)}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := planner.MaxFlow(planner.Snapshot{Layers: 8, Engines: test.give})
			is.True(math.Abs(float64(got.Bound)-test.want) < 1)
		})
	}
}

// Guards against a throughput bound that no policy can reach, which happens when
// the flow exceeds an engine's capacity or isn't conserved between stages.
func TestMaxFlowIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := planner.Snapshot{Layers: 6}
		for range rapid.IntRange(0, 12).Draw(t, "engines") {
			from := rapid.IntRange(0, 5).Draw(t, "from")
			to := rapid.IntRange(from+1, 6).Draw(t, "to")
			ms := rapid.IntRange(1, 9).Draw(t, "ms")
			s.Engines = append(s.Engines, candidate("e", unit.Layer(from), unit.Layer(to), time.Duration(ms)*time.Millisecond))
		}
		f := planner.MaxFlow(s)
		net := make([]float64, s.Layers+1)
		for i, v := range f.Engines {
			if float64(v) < -1e-3 || float64(v) > s.Engines[i].Capacity()+1e-3 {
				t.Fatalf("engine %d carries %v", i, v)
			}
			net[s.Engines[i].Stage.From] -= float64(v)
			net[s.Engines[i].Stage.To] += float64(v)
		}
		for layer, v := range net {
			want := 0.0
			switch unit.Layer(layer) {
			case 0:
				want = -float64(f.Bound)
			case s.Layers:
				want = float64(f.Bound)
			}
			if math.Abs(v-want) > 1e-3 {
				t.Fatalf("boundary %d: net flow %v, want %v", layer, v, want)
			}
		}
	})
}
