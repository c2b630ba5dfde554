package admitter

import (
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/planner"
	"oleandercove.example/oleandercove/watcher"
)

// capacity is the throughput and speed of the live engines of a model.
type capacity struct {
	// maxFlow is the maximum flow in tokens/s.
	maxFlow float64
	// tokenTime is the expected time per token on engines that are busy but have
	// no queue: at each stage a wait of half an iteration, one iteration and the
	// link.
	tokenTime time.Duration
}

func capacityOf(backends []watcher.Backend, model unit.EntryName, layers unit.Layer) capacity {
	s := planner.Snapshot{Layers: layers}
	for i := range backends {
		b := &backends[i]
		if b.Role != platform.RoleEngine || b.Engine == nil || b.Engine.Model != model || !b.Usable() {
			continue
		}
		s.Engines = append(s.Engines, planner.Engine{
			Stage:     engine.Stage{Backend: b.ID, From: b.Engine.From, To: b.Engine.To},
			Iteration: time.Duration(b.Engine.TokenTimeMicros) * time.Microsecond,
			MaxBatch:  b.Engine.MaxBatch, LinkTime: planner.LinkTime(b.Engine.Links),
		})
	}
	f := planner.MaxFlow(s)
	c := capacity{maxFlow: float64(f.Bound)}
	for i, e := range s.Engines {
		if f.Bound > 0 {
			share := float64(f.Engines[i] / f.Bound)
			c.tokenTime += time.Duration(share * float64(e.Iteration*3/2+e.LinkTime))
		}
	}
	return c
}
