package streamer

import (
	"context"
	"errors"
	"io"
	"iter"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/dispatcher"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/watcher"
)

// faultyEngine sends the scripted events of its first attempt, then the whole rest of the
// stream. The stream breaks off after an error.
type faultyEngine struct {
	engines
	first  []engine.Event
	err    error
	opened int
}

func (*faultyEngine) Backends() []watcher.Backend {
	return []watcher.Backend{backend("a", false), backend("b", false)}
}

func (f *faultyEngine) Open(_ context.Context, r engine.StreamRequest) (dispatcher.Stream, error) {
	f.opened++
	if f.opened == 1 {
		return eventStream{r, f.first, f.err}, nil
	}
	return eventStream{r, tokensFrom(len(r.Emitted), r.MaxTokens), nil}, nil
}

// tokensFrom returns the events of the tokens from a number on, and the end.
func tokensFrom(from, to int) []engine.Event {
	var out []engine.Event
	for n := from; n < to; n++ {
		out = append(out, engine.Event{Kind: engine.EventToken, Position: unit.Position(n + 1), Text: string(rune('a' + n))})
	}
	return append(out, engine.Event{Kind: engine.EventEnd, Finish: engine.FinishLength})
}

type eventStream struct {
	r      engine.StreamRequest
	events []engine.Event
	err    error
}

func (s eventStream) Events() iter.Seq2[engine.Event, error] {
	return func(yield func(engine.Event, error) bool) {
		for _, e := range s.events {
			e.Stream, e.Epoch = s.r.Stream, s.r.Epoch
			if !yield(e, nil) {
				return
			}
		}
		yield(engine.Event{}, s.err)
	}
}

func (eventStream) Close() {}

// Guards against a short answer that ends with [DONE], which happens when an engine leaves
// tokens out or ends too early.
func TestShortAnswer(t *testing.T) {
	const tokens = 4
	all := tokensFrom(0, tokens)
	rows := []struct {
		name   string
		first  []engine.Event
		err    error
		opened int
	}{
		{"a whole answer is run again", all, nil, 1},
		{"a token is missing", []engine.Event{all[0], all[2], all[3], all[4]}, nil, 2},
		{"the last token is missing", []engine.Event{all[0], all[1], all[2], all[4]}, nil, 2},
		{"all tokens are missing", []engine.Event{all[4]}, nil, 2},
		{"the end is missing", all[:tokens], io.ErrUnexpectedEOF, 2},
		{"an error text follows a token", all[:1], errors.New("decode engine event"), 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewReal()
			f := &faultyEngine{first: row.first, err: row.err}
			journal := recorder.New(recorder.Options{Capacity: 100, Timer: clock})
			s := New(Options{
				Backends: f, Dispatcher: f, Tracker: tracker.New(), Recorder: journal, Timer: clock, Log: logger.Discard(),
				Quarantine: quarantiner.New(quarantiner.Options{Timer: clock, Recorder: journal, Log: logger.Discard(), Prober: quarantiner.NewProber()}),
			})
			var got string
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			is.NoErr(s.Serve(ctx, &request.Request{
				ID: "r", Name: "report", Entry: &catalogue.Entry{Model: &catalogue.Model{Layers: 4}},
				Completion: &request.Completion{Prompt: "x", MaxTokens: tokens, Emit: func(text string) error { got += text; return nil }},
			}))
			is.Equal(got, "abcd")
			is.Equal(f.opened, row.opened)
			s.WaitForReleases(t.Context())
		})
	}
}
