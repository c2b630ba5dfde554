package admitter

import (
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/planner"
	"oleandercove.example/oleandercove/watcher"
)

// capacity is what the live engines of a model can do.
type capacity struct {
	// bound is the maximum flow in tokens/s.
	bound float64
	// token is the expected time of a token on engines that are busy but have
	// no queue: a wait for half an iteration and an iteration at each stage.
	token time.Duration
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
			MaxBatch:  b.Engine.MaxBatch, Link: planner.LinkTime(b.Engine.Links),
		})
	}
	f := planner.MaxFlow(s)
	c := capacity{bound: float64(f.Bound)}
	for i, e := range s.Engines {
		if f.Bound > 0 {
			share := float64(f.Engines[i] / f.Bound)
			c.token += time.Duration(share * float64(e.Iteration*3/2+e.Link))
		}
	}
	return c
}
