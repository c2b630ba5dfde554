package partitioner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

// Guards against a fast card that takes over all layers of a lost neighbour and keeps memory for
// few requests, although the slow card on the other side has more.
func TestGapBesideFastCard(t *testing.T) {
	m := model()
	m.TokenBytes, m.Cards = 590000, []routing.Card{quick, fast, small, tiny}
	for lost := 3; lost <= 9; lost++ {
		t.Run(fmt.Sprintf("%d layers", lost), func(t *testing.T) {
			is := is.New(t)
			list := engines("a", tiny, fast, tiny, small, small, small, small, small)
			at := unit.Layer(23 + lost)
			held := []backend.Layers{
				{To: 8},
				{From: 10, To: 23},
				{From: at, To: at + 5},
				{From: at + 5, To: at + 15},
				{From: at + 15, To: at + 25},
				{From: at + 25, To: at + 35},
				{From: at + 35, To: 80},
				{From: 8, To: 10},
			}
			for i := range list {
				list[i].Layers = held[i]
			}
			g := &group{model: m, chainLength: ChainLength, engines: list}
			best := 0.0
			for n := 0; n <= lost; n++ {
				left := g.rangeCapacity(&list[1], backend.Layers{To: unit.Layer(13 + n)})
				right := g.rangeCapacity(&list[2], backend.Layers{To: unit.Layer(5 + lost - n)})
				best = max(best, min(left, right))
			}
			after := applyTargets(list, plan(m, list))
			is.Equal(len(gapsIn(m, after)), 0)
			is.Equal(min(g.rangeCapacity(&after[1], after[1].Layers), g.rangeCapacity(&after[2], after[2].Layers)), best)
		})
	}
}

// Guards against a data centre that has no copy for many seconds after a loss, because nearly
// all layers are loaded again. All loads share the weight store.
//
// Load pattern: an engine that holds the end of the copy is lost, and its only neighbour lacks the
// memory for its layers.
func TestGapLargerThanNeighbours(t *testing.T) {
	m := model()
	m.Slots, m.TokenBytes = 192, 590000
	tests := []struct {
		name string
		gap  int
		list []Engine
		held []backend.Layers
	}{
		{
			"the end of the copy", 12,
			engines("a", quick, small, small, small, small, tiny, tiny, tiny, tiny, tiny, tiny, tiny),
			[]backend.Layers{
				{From: 31, To: 52},
				{From: 9, To: 14},
				{From: 26, To: 31},
				{From: 52, To: 58},
				{From: 61, To: 68},
				{To: 5},
				{To: 5},
				{From: 5, To: 9},
				{From: 14, To: 18},
				{From: 18, To: 22},
				{From: 22, To: 26},
				{From: 58, To: 61},
			},
		},
		{
			"the middle of the copy", 8,
			engines("a", quick, tiny, tiny, tiny, small, small, small),
			[]backend.Layers{{To: 20}, {From: 20, To: 28}, {From: 36, To: 44}, {From: 44, To: 52}, {From: 52, To: 61}, {From: 61, To: 70}, {From: 70, To: 80}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for i := range tt.list {
				tt.list[i].Layers = tt.held[i]
			}
			g := group{model: m, engines: tt.list}
			is.Equal(g.uncovered(), tt.gap)
			after := applyTargets(tt.list, plan(m, tt.list))
			is.Equal(len(gapsIn(m, after)), 0)
			// Each layer of the gap takes one load, and one more where its engine gave up another.
			is.True(loads(tt.list, after) <= 2*tt.gap)
		})
	}
}
