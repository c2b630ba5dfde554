package partitioner

import (
	"slices"

	"oleandercove.example/core/backend"
)

// fillByMigration fills gaps that are too large for the engines beside them: an engine gives up
// its layers to its own neighbours and takes layers of the gap. At each step it moves the engine
// that leaves the fewest layers uncovered and, among these, needs the fewest loads. It reports
// whether all layers are covered; before holds what the engines hold now.
//
// Load pattern: a fast card at the end of a copy is lost after it has taken over the layers of its
// neighbours. Loads share the weight store, so that a layout from scratch, which loads nearly all
// layers, leaves the data centre without a copy for as long as one engine would need for all of
// them.
func (g *group) fillByMigration(before []Engine) bool {
	gaps := (&group{model: g.model, engines: before}).gaps()
	// The engines that migrate hold no layers in emptied.
	emptied := slices.Clone(before)
	for left := g.uncovered(); left > 0; {
		best, fewest := -1, left
		var filled []Engine
		for i, e := range emptied {
			if e.Busy || e.Layers.Len() == 0 {
				continue
			}
			g.engines = slices.Clone(emptied)
			g.engines[i].Layers = backend.Layers{}
			g.fillGaps(gaps)
			n := g.uncovered()
			if n < fewest || (n == fewest && best >= 0 && loads(before, g.engines) < loads(before, filled)) {
				best, fewest, filled = i, n, g.engines
			}
		}
		if best < 0 {
			return false
		}
		emptied[best].Layers = backend.Layers{}
		g.engines, left = filled, fewest
	}
	return true
}

// loads returns the number of layers that engines load to get from one state to another.
func loads(from, to []Engine) int {
	n := 0
	for i, e := range to {
		for l := e.Layers.From; l < e.Layers.To; l++ {
			if !from[i].Layers.Covers(l) {
				n++
			}
		}
	}
	return n
}

// uncovered returns the number of layers that no engine holds.
func (g *group) uncovered() int {
	n := 0
	for _, gap := range g.gaps() {
		n += gap.Len()
	}
	return n
}
