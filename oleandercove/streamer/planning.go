package streamer

import (
	"context"
	"strings"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/planner"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/watcher"
)

// plan chooses the chain of the next attempt. While engines hold state of the
// stream it waits for a replacement until the deadline.
func (t *run) plan(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return t.ended(ctx)
		}
		if chain, ok := planner.Plan(t.snapshot(), t.options.Policy); ok {
			t.chain = chain
			t.options.Recorder.Record(recorder.Event{
				Request: t.r.ID, Part: "planner", Decision: "Chain", Cause: names(chain),
			})
			return nil
		}
		if !t.started {
			return t.failure(verdict.NoBackend, "no chain of engines covers all layers of %s", t.r.Name)
		}
		clear(t.excluded)
		if t.options.Timer.Sleep(ctx, replanDelay) != nil {
			return t.ended(ctx)
		}
	}
}

func (t *run) snapshot() planner.Snapshot {
	s := planner.Snapshot{Layers: t.r.Entry.Model.Layers}
	for _, b := range t.options.Backends.Backends() {
		if e, ok := t.candidate(b); ok {
			s.Engines = append(s.Engines, e)
		}
	}
	return s
}

// candidate turns a backend server into an input of the plan. A draining
// engine stays usable for the streams that it holds.
func (t *run) candidate(b watcher.Backend) (planner.Engine, bool) {
	if b.Role != platform.RoleEngine || b.Engine == nil || b.Engine.Model != t.r.Name || t.excluded[b.ID] {
		return planner.Engine{}, false
	}
	keep := t.keeps(b)
	if !b.Healthy || (b.Draining && !keep) {
		return planner.Engine{}, false
	}
	t.starts[b.ID] = b.Engine.Start
	t.options.Tracker.Report(b.ID, b.Engine.Load.Running, b.Seen)
	return planner.Engine{
		Stage:      engine.Stage{Backend: b.ID, Address: b.Address, From: b.Engine.From, To: b.Engine.To},
		Iteration:  time.Duration(b.Engine.TokenTimeMicros) * time.Microsecond,
		MaxBatch:   b.Engine.MaxBatch,
		MaxStreams: b.Engine.MaxStreams,
		InFlight:   t.options.Tracker.Load(b.ID),
		Link:       planner.LinkTime(b.Engine.Links),
		Keep:       keep,
	}, true
}

func (t *run) keeps(b watcher.Backend) bool {
	if s, ok := t.move.holds[b.ID]; ok && s.From == b.Engine.From && s.To == b.Engine.To {
		return true
	}
	for _, s := range t.chain {
		if s.Backend == b.ID && !t.lacks[b.ID] && s.From == b.Engine.From && s.To == b.Engine.To {
			return true
		}
	}
	return false
}

func names(chain []engine.Stage) string {
	ids := make([]string, len(chain))
	for i, s := range chain {
		ids[i] = string(unit.BackendID(s.Backend))
	}
	return strings.Join(ids, " ")
}
