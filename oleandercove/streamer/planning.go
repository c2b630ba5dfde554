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

// plan chooses the chain of the next attempt. Once an engine may have run a part of the
// request, it blocks until a chain is found or ctx is done; before that it fails at once if
// no chain covers all layers.
func (t *tokenStream) plan(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return t.contextError(ctx)
		}
		if chain, ok := planner.Plan(t.snapshot(), t.options.Policy); ok {
			t.chain = chain
			t.options.Recorder.Record(recorder.Event{
				Request: t.r.ID, Part: "planner", Decision: "Chain", Cause: chainIDs(chain),
			})
			return nil
		}
		if !t.mayHaveRun {
			return t.verdictError(verdict.NoBackend, "no chain of engines covers all layers of %s", t.r.Name)
		}
		clear(t.excluded)
		if t.options.Timer.Sleep(ctx, replanDelay) != nil {
			return t.contextError(ctx)
		}
	}
}

func (t *tokenStream) snapshot() planner.Snapshot {
	s := planner.Snapshot{Layers: t.r.Entry.Model.Layers}
	for _, b := range t.options.Backends.Backends() {
		if e, ok := t.candidate(b); ok {
			s.Engines = append(s.Engines, e)
		}
	}
	return s
}

// candidate converts a backend server into an engine for the plan; ok is false if the
// stream can't use it. A draining engine stays usable for streams whose state it holds.
func (t *tokenStream) candidate(b watcher.Backend) (planner.Engine, bool) {
	if b.Role != platform.RoleEngine || b.Engine == nil || b.Engine.Model != t.r.Name || t.excluded[b.ID] {
		return planner.Engine{}, false
	}
	hasState := t.holdsState(b)
	if !b.Healthy || (b.Draining && !hasState) {
		return planner.Engine{}, false
	}
	t.instances[b.ID] = b.Engine.Start
	t.options.Tracker.SetReported(b.ID, b.Engine.Load.Running, b.Seen)
	return planner.Engine{
		Stage:      engine.Stage{Backend: b.ID, Address: b.Address, From: b.Engine.From, To: b.Engine.To},
		Iteration:  time.Duration(b.Engine.TokenTimeMicros) * time.Microsecond,
		MaxBatch:   b.Engine.MaxBatch,
		MaxStreams: b.Engine.MaxStreams,
		InFlight:   t.options.Tracker.Load(b.ID),
		LinkTime:   planner.LinkTime(b.Engine.Links),
		HoldsState: hasState,
	}, true
}

// holdsState reports whether an engine holds KV state of the stream for its current layers.
func (t *tokenStream) holdsState(b watcher.Backend) bool {
	if s, ok := t.move.importers[b.ID]; ok && s.From == b.Engine.From && s.To == b.Engine.To {
		return true
	}
	for _, s := range t.chain {
		if s.Backend == b.ID && !t.stateless[b.ID] && s.From == b.Engine.From && s.To == b.Engine.To {
			return true
		}
	}
	return false
}

func chainIDs(chain []engine.Stage) string {
	ids := make([]string, len(chain))
	for i, s := range chain {
		ids[i] = string(unit.BackendID(s.Backend))
	}
	return strings.Join(ids, " ")
}
