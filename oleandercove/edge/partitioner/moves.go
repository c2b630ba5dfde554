package partitioner

import (
	"slices"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

// rangeChange assigns another range to an engine.
type rangeChange struct {
	engine int
	layers backend.Layers
}

// move is a step of the local search: it changes the ranges of some engines together.
type move []rangeChange

// loadedLayers returns the number of layers that engines load for a move.
func (b *rebalancer) loadedLayers(m move) int {
	n := 0
	for _, c := range m {
		old := b.ranges[c.engine]
		n += max(0, int(old.From-c.layers.From)) + max(0, int(c.layers.To-old.To))
	}
	return n
}

// moves returns all moves by one layer: an engine drops a layer that others hold,
// an engine adds a layer, or boundaries between engines shift.
func (b *rebalancer) moves() []move {
	out := b.dropMoves()
	for i, l := range b.ranges {
		for _, grown := range []backend.Layers{{From: l.From - 1, To: l.To}, {From: l.From, To: l.To + 1}} {
			if l.Len() > 0 && b.fits(i, grown) {
				out = append(out, move{{engine: i, layers: grown}})
			}
		}
	}
	for _, boundary := range b.boundaries() {
		for _, by := range []unit.Layer{-1, 1} {
			out = append(out, b.shiftMoves(boundary, by)...)
		}
	}
	return out
}

// fits reports whether an engine may hold a range.
func (b *rebalancer) fits(i int, l backend.Layers) bool {
	return l.From >= 0 && l.To <= b.group.model.Layers && l.Len() >= 1 && l.Len() <= maxLayers(b.group.model, b.group.engines[i].Card)
}

// boundaries returns the layers at which a range begins, without layer 0.
func (b *rebalancer) boundaries() []unit.Layer {
	var out []unit.Layer
	for _, l := range b.ranges {
		if l.Len() > 0 && l.From > 0 {
			out = append(out, l.From)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// shiftMoves returns the moves that shift a boundary alone or together with one or
// more of the boundaries after it. With several boundaries, a layer migrates to an
// engine that is not a neighbour; the engines between keep their number of layers.
func (b *rebalancer) shiftMoves(boundary, by unit.Layer) []move {
	var out []move
	ranges := slices.Clone(b.ranges)
	for range b.ranges {
		next := unit.Layer(0)
		for i, l := range b.ranges {
			switch {
			case l.Len() == 0:
			case l.To == boundary:
				ranges[i].To += by
			case l.From == boundary:
				ranges[i].From += by
				next = max(next, l.To)
			}
		}
		if next == 0 {
			break
		}
		if m, ok := b.moveTo(ranges); ok {
			out = append(out, m)
		}
		if boundary = next; boundary >= b.group.model.Layers {
			break
		}
	}
	return out
}

// moveTo returns the move to other ranges and reports whether all of them fit.
func (b *rebalancer) moveTo(ranges []backend.Layers) (move, bool) {
	var m move
	for i, l := range ranges {
		if l == b.ranges[i] {
			continue
		}
		if !b.fits(i, l) {
			return nil, false
		}
		m = append(m, rangeChange{engine: i, layers: l})
	}
	return m, true
}

// dropMoves returns the moves in which an engine drops a layer that others hold.
func (b *rebalancer) dropMoves() []move {
	var out []move
	cover := make([]int, len(b.capacity))
	for _, l := range b.ranges {
		for at := l.From; at < l.To; at++ {
			cover[at]++
		}
	}
	for i, l := range b.ranges {
		if l.Len() <= 1 {
			continue
		}
		if cover[l.From] > 1 {
			out = append(out, move{{engine: i, layers: backend.Layers{From: l.From + 1, To: l.To}}})
		}
		if cover[l.To-1] > 1 {
			out = append(out, move{{engine: i, layers: backend.Layers{From: l.From, To: l.To - 1}}})
		}
	}
	return out
}
