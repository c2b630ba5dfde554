package streamer

import (
	"context"
	"errors"
	"iter"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/dispatcher"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/watcher"
)

// Guards against an engine that counts as crashed or leaving, which happens when the error
// of its connection is classified wrongly.
func TestCauseOf(t *testing.T) {
	for _, row := range []struct {
		name string
		err  error
		want engine.FailureCause
	}{
		{"leaving engine counts as crashed", &dispatcher.StatusError{Status: 503}, engine.CauseDraining},
		{"full engine counts as leaving", &dispatcher.StatusError{Status: 429}, engine.CauseOverloaded},
		{"engine that responds counts as crashed", &dispatcher.StatusError{Status: 500}, engine.CauseUnreachable},
		{"silent engine counts as crashed", dispatcher.ErrSilent, engine.CauseUnreachable},
		{"broken response does not count as a possible crash", errors.New("unexpected EOF"), engine.CauseBroken},
	} {
		t.Run(row.name, func(t *testing.T) { is.New(t).Equal(causeOf(row.err), row.want) })
	}
}

// engines is a fake of all engines: "old" drains and refuses streams with 503; "new" is
// listed only after many plans, while the stream waits for a replacement.
type engines struct {
	mu        sync.Mutex
	leaving   bool
	suspected bool
	opened    []unit.BackendID
	listCalls int
}

func backend(id unit.BackendID, draining bool) watcher.Backend {
	return watcher.Backend{
		ID: id, Role: platform.RoleEngine, Healthy: true, Draining: draining,
		Engine: &engine.Status{Model: "report", To: 4, Layers: 4},
	}
}

func (e *engines) Backends() []watcher.Backend {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listCalls++
	if e.listCalls < 3*maxAttempts {
		return []watcher.Backend{backend("old", e.leaving)}
	}
	return []watcher.Backend{backend("old", e.leaving), backend("new", false)}
}

func (e *engines) Suspect(unit.BackendID) { e.suspected = true }

func (e *engines) ReportLeaving(unit.BackendID, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *engines) Open(_ context.Context, r engine.StreamRequest) (dispatcher.Stream, error) {
	e.opened = append(e.opened, r.Chain[0].Backend)
	if r.Chain[0].Backend == "old" {
		return nil, &dispatcher.StatusError{Status: 503}
	}
	return endedStream{r}, nil
}

func (e *engines) Cancel(context.Context, engine.Stage, engine.CancelRequest) {}

func (e *engines) Import(context.Context, engine.Stage, engine.KVState) error { return nil }

// endedStream is a stream that ends at once.
type endedStream struct{ r engine.StreamRequest }

func (s endedStream) Events() iter.Seq2[engine.Event, error] {
	return func(yield func(engine.Event, error) bool) {
		yield(engine.Event{Kind: engine.EventEnd, Stream: s.r.Stream, Epoch: s.r.Epoch}, nil)
	}
}

func (endedStream) Close() {}

// Guards against a stream that uses up its attempts on a draining engine before a
// replacement is available, and against a draining engine that is reported as failed.
func TestDrainingEngineRefuses(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	e := &engines{}
	journal := recorder.New(recorder.Options{Capacity: 100, Timer: clock})
	s := New(Options{
		Backends: e, Signals: e, Dispatcher: e, Tracker: tracker.New(), Recorder: journal, Timer: clock, Log: logger.Discard(),
		Quarantine: quarantiner.New(quarantiner.Options{Timer: clock, Recorder: journal, Log: logger.Discard(), Prober: quarantiner.NewProber()}),
	})
	done := make(chan error, 1)
	go func() {
		done <- s.Serve(t.Context(), &request.Request{
			ID: "r", Name: "report", Entry: &catalogue.Entry{Model: &catalogue.Model{Layers: 4}},
			Completion: &request.Completion{Prompt: "x", MaxTokens: 1},
		})
	}()
	for {
		select {
		case err := <-done:
			is.NoErr(err)
			is.Equal(e.opened, []unit.BackendID{"old", "new"})
			is.True(!e.suspected)
			s.WaitForReleases(t.Context())
			return
		case <-time.After(time.Millisecond):
			clock.Advance(replanDelay)
		}
	}
}
