package partitioner

import (
	"oleandercove.example/core/routing"
)

// takeoverMemoryShare is the share of a card's memory that layers may use after the
// engine has taken over layers of a neighbour.
const takeoverMemoryShare = 0.85

// orderForTakeover orders the engines of a copy so that the neighbours of each one
// have the memory to take over its layers. It swaps pairs of engines as long as that
// lowers the number of orphaned layers.
func orderForTakeover(m *routing.Engine, engines []Engine, sizes []int) {
	swap := func(i, j int) {
		engines[i], engines[j] = engines[j], engines[i]
		sizes[i], sizes[j] = sizes[j], sizes[i]
	}
	best := orphanedLayers(m, engines, sizes)
	for improved := true; improved && best > 0; {
		improved = false
		for i := range engines {
			for j := i + 1; j < len(engines); j++ {
				swap(i, j)
				if n := orphanedLayers(m, engines, sizes); n < best {
					best, improved = n, true
					continue
				}
				swap(i, j)
			}
		}
	}
}

// orphanedLayers returns the number of layers that the neighbours of a lost engine
// could not take over, summed over all engines as the lost one.
func orphanedLayers(m *routing.Engine, engines []Engine, sizes []int) int {
	sum := 0
	for i := range engines {
		capacity := 0
		if i > 0 {
			capacity += takeoverCapacity(m, engines[i-1], sizes[i-1])
		}
		if i+1 < len(engines) {
			capacity += takeoverCapacity(m, engines[i+1], sizes[i+1])
		}
		sum += max(0, sizes[i]-capacity)
	}
	return sum
}

// takeoverCapacity returns the number of layers that an engine could take over.
func takeoverCapacity(m *routing.Engine, e Engine, size int) int {
	return max(0, int(takeoverMemoryShare*float64(e.Card.Memory)/float64(m.LayerMemory))-size)
}
