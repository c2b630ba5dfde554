package streamer

import (
	"context"
	"iter"
	"net/http"
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

// fullEngine is one engine with all layers. It sends a token and has no room for the stream
// after that until freeAt.
type fullEngine struct {
	dispatcher.Dispatcher
	freeAt time.Time
	opened int
}

func (e *fullEngine) Backends() []watcher.Backend {
	return []watcher.Backend{{ID: "a", Role: platform.RoleEngine, Address: "a", Healthy: true, Engine: &engine.Status{Model: "m", To: 4, Start: "1"}}}
}

func (e *fullEngine) Suspect(unit.BackendID) {}

func (e *fullEngine) Cancel(context.Context, engine.Stage, engine.CancelRequest) {}

func (e *fullEngine) Open(_ context.Context, r engine.StreamRequest) (dispatcher.Stream, error) {
	e.opened++
	switch {
	case e.opened == 1:
		return response{{Kind: engine.EventToken, Stream: r.Stream, Epoch: r.Epoch, Text: "a"}, {Kind: engine.EventFailed, Stream: r.Stream, Epoch: r.Epoch, Failure: &engine.Failure{Backend: "a", Cause: engine.CauseOverloaded}}}, nil
	case time.Now().Before(e.freeAt):
		return nil, &dispatcher.StatusError{Status: http.StatusTooManyRequests}
	default:
		return response{{Kind: engine.EventEnd, Stream: r.Stream, Epoch: r.Epoch}}, nil
	}
}

// response is a whole response.
type response []engine.Event

func (e response) Close() {}

func (e response) Events() iter.Seq2[engine.Event, error] {
	return func(yield func(engine.Event, error) bool) {
		for _, x := range e {
			if !yield(x, nil) {
				return
			}
		}
	}
}

// Guards against a stream that is given up after some attempts although its caller waits and
// the only engine with its layers has room a moment later.
func TestFullEngine(t *testing.T) {
	is := is.New(t)
	clock := timer.NewReal()
	e := &fullEngine{freeAt: time.Now().Add(2 * time.Second)}
	journal := recorder.New(recorder.Options{Timer: clock, Capacity: 100})
	s := New(Options{
		Backends: e, Tracker: tracker.New(), Dispatcher: e, Recorder: journal, Timer: clock, Log: logger.Discard(),
		Quarantine: quarantiner.New(quarantiner.Options{Timer: clock, Recorder: journal, Log: logger.Discard()}),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	text := ""
	r := &request.Request{Name: "m", Entry: &catalogue.Entry{Model: &catalogue.Model{Layers: 4}}, Completion: &request.Completion{MaxTokens: 8, Emit: func(t string) error { text += t; return nil }}}
	err := s.Serve(ctx, r)
	t.Logf("opened %d times: %v", e.opened, err)
	is.NoErr(err)
	is.Equal(text, "a")
}
