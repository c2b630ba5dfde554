package streamer

import (
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/request"
)

// Guards against tokens that are lost, duplicated or out of order at the caller, which
// happens when late events of an older epoch or another stream are applied.
func TestLateEvents(t *testing.T) {
	const epoch, prompt = 2, 3
	token := func(e unit.Epoch, p unit.Position, text string) engine.Event {
		return engine.Event{Kind: engine.EventToken, Stream: "s", Epoch: e, Position: p, Text: text}
	}
	for _, row := range []struct {
		name   string
		resume int
		events []engine.Event
		want   string
	}{
		{"tokens of the current epoch are lost", 0, []engine.Event{token(epoch, 3, "a"), token(epoch, 4, "b")}, "ab"},
		{"late token of an older epoch is emitted", 0, []engine.Event{token(epoch, 3, "a"), token(epoch-1, 4, "x"), token(epoch, 4, "b")}, "ab"},
		{"doubled token is emitted twice", 0, []engine.Event{token(epoch, 3, "a"), token(epoch, 3, "a"), token(epoch, 4, "b")}, "ab"},
		{"token after a gap is emitted", 0, []engine.Event{token(epoch, 3, "a"), token(epoch, 5, "c"), token(epoch, 4, "b")}, "ab"},
		{"token of another stream is emitted", 0, []engine.Event{token(epoch, 3, "a"), {Kind: engine.EventToken, Stream: "t", Epoch: epoch, Position: 4, Text: "x"}}, "a"},
		{"end of an older epoch ends the answer", 0, []engine.Event{token(epoch, 3, "a"), {Kind: engine.EventEnd, Stream: "s", Epoch: epoch - 1}, token(epoch, 4, "b")}, "ab"},
		{"caller's own tokens are sent again", 2, []engine.Event{token(epoch, 3, "a"), token(epoch, 4, "b"), token(epoch, 5, "c")}, "c"},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var got string
			r := &request.Request{Completion: &request.Completion{Resume: row.resume, Emit: func(text string) error { got += text; return nil }}}
			stream := &tokenStream{Streamer: New(Options{}), r: r, id: "s", epoch: epoch, firstPosition: prompt}
			for _, e := range row.events {
				done, err := stream.handleEvent(t.Context(), e)
				is.NoErr(err)
				is.True(!done)
			}
			is.Equal(got, row.want)
		})
	}
}
