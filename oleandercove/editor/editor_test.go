package editor_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/editor"
)

// put simulates the platform's handling of one Put; it changes the store only by calling
// its write method.
type put func(s *store, value json.RawMessage, expected unit.Version) error

// store simulates a platform with one object and scripted writes.
type store struct {
	platform.Client
	object platform.Object
	down   bool
	script []put
}

func (s *store) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	switch {
	case s.down:
		return platform.Object{}, platform.ErrUnavailable
	case s.object.Version == 0:
		return platform.Object{}, platform.ErrNotFound
	}
	return s.object, nil
}

func (s *store) Put(_ context.Context, _ platform.Kind, _ string, expected unit.Version, value json.RawMessage) (platform.Object, error) {
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	step := (*store).write
	if len(s.script) > 0 {
		step, s.script = s.script[0], s.script[1:]
	}
	err := step(s, value, expected)
	return s.object, err
}

func (s *store) write(value json.RawMessage, expected unit.Version) error {
	if s.object.Version != expected {
		return platform.ErrConflict
	}
	s.object.Version, s.object.Value = expected+1, value
	return nil
}

// edit applies an edit of another operator and records it in the history.
func (s *store) edit(change func(*catalogue.Entry)) {
	e, _ := catalogue.Decode(s.object.Value, s.object.Version)
	before := *e
	change(e)
	f, _ := catalogue.Diff(&before, e)
	e.History = catalogue.AppendChange(e.History, catalogue.Change{ID: "other", By: "bob", Version: e.Version + 1, Fields: f})
	value, _ := catalogue.Encode(e)
	_ = s.write(value, e.Version)
}

func owner(name string) func(*catalogue.Entry) {
	return func(e *catalogue.Entry) { e.Owner = name }
}

func lostWrite(*store, json.RawMessage, unit.Version) error { return platform.ErrOutcomeUnknown }

func unavailable(*store, json.RawMessage, unit.Version) error { return platform.ErrUnavailable }

func lostAnswer(s *store, v json.RawMessage, expected unit.Version) error {
	_ = s.write(v, expected)
	return platform.ErrOutcomeUnknown
}

// after returns a put that applies the write, then n edits of another operator, and
// reports err.
func after(err error, n int) put {
	return func(s *store, v json.RawMessage, expected unit.Version) error {
		_ = s.write(v, expected)
		for i := range n {
			s.edit(func(e *catalogue.Entry) { e.Limits.ConcurrentStreams = i + 1 })
		}
		return err
	}
}

// before returns a put that applies an edit of another operator before the write.
func before(change func(*catalogue.Entry)) put {
	return func(s *store, v json.RawMessage, expected unit.Version) error {
		s.edit(change)
		return s.write(v, expected)
	}
}

func outage(s *store, _ json.RawMessage, _ unit.Version) error {
	s.down = true
	return platform.ErrOutcomeUnknown
}

// Guards against edits that are reported as accepted although they did not take effect,
// or as refused although they did.
func TestPatch(t *testing.T) {
	rows := []struct {
		name    string
		script  []put
		verdict verdict.Verdict
		reason  verdict.Reason
		version unit.Version
	}{
		{"edit without a fault fails", nil, "", "", 2},
		{"lost answer is reported as refused", []put{lostAnswer}, "", "", 2},
		{"lost write is reported as accepted", []put{lostWrite, lostWrite}, "", "", 2},
		{"superseded write is reported as refused", []put{after(platform.ErrConflict, 3)}, "", "", 2},
		{"write beyond the history is reported as refused", []put{after(platform.ErrOutcomeUnknown, 25)}, verdict.MayHaveRun, verdict.OutcomeUnknown, 0},
		{"unknown write is reported as not run in an outage", []put{outage}, verdict.MayHaveRun, verdict.OutcomeUnknown, 0},
		{"repeated write is reported as not run", []put{lostWrite, unavailable, outage}, verdict.MayHaveRun, verdict.OutcomeUnknown, 0},
		{"refused write is reported as unknown", []put{unavailable}, verdict.NotRun, verdict.PlatformUnavailable, 0},
		{"edit of another field is not merged", []put{before(func(e *catalogue.Entry) { e.DrainMs = 9 })}, "", "", 3},
		{"edit of the same field is overwritten", []put{before(owner("theirs"))}, verdict.NotRun, verdict.Conflict, 0},
		{"deleted entry is restored", []put{before(func(e *catalogue.Entry) { *e = *e.Tombstone() })}, verdict.NotRun, verdict.Conflict, 0},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			w, s := setup(t)
			s.script = r.script
			a, err := w.Patch(t.Context(), key, set("Owner", `"mine"`), nil, "ann")
			if r.verdict == "" {
				is.NoErr(err)
				is.Equal(a.Version, r.version)
				is.Equal(a.Fields, []string{"Owner"})
				is.Equal(s.decoded(t).Owner, "mine") // the edit took effect
				return
			}
			v, ok := verdict.FromError(err)
			is.True(ok)
			is.Equal(v.Verdict, r.verdict)
			is.Equal(v.Reason, r.reason)
			is.True(v.RetryAfter > 0 || r.reason == verdict.Conflict)
		})
	}
}

// Guards against a conflict error that doesn't state which fields changed, by whom, and
// what the current version is.
func TestConflictNamesBothValues(t *testing.T) {
	is := is.New(t)
	w, s := setup(t)
	s.script = []put{before(owner("theirs"))}
	_, err := w.Patch(t.Context(), key, set("Owner", `"mine"`), nil, "ann")
	var r *editor.RefusedError
	is.True(errors.As(err, &r))
	is.Equal(r.Version, unit.Version(2))
	is.Equal(string(r.Conflicts[0].Yours)+string(r.Conflicts[0].Theirs), `"mine""theirs"`)
	is.Equal(r.Changes[0].By, "bob")
	is.Equal(r.Changes[0].Fields, []string{"Owner"})
}

// Guards against edits of a version that the operator has not seen, and against versions
// that restart after a deletion.
func TestExpectedVersion(t *testing.T) {
	is := is.New(t)
	w, s := setup(t)
	s.edit(owner("theirs"))
	old := unit.Version(1)
	_, err := w.Patch(t.Context(), key, set("Owner", `"mine"`), &old, "ann")
	is.True(err != nil) // the field changed since version 1
	_, err = w.Patch(t.Context(), key, set("DrainMs", "5"), &old, "ann")
	is.NoErr(err) // the field did not change since version 1
	_, err = w.Replace(t.Context(), s.decoded(t), 2, "ann")
	is.True(err != nil) // version 2 is not current
	_, err = w.Delete(t.Context(), key, 3, "ann")
	is.NoErr(err)
	a, err := w.Replace(t.Context(), entry(), 0, "ann")
	is.NoErr(err)
	is.Equal(a.Version, unit.Version(5))
	is.Equal(len(s.decoded(t).History), 4)
}

var key = catalogue.Key{Kind: catalogue.KindModel, Name: "report"}

func entry() *catalogue.Entry {
	return &catalogue.Entry{
		Kind: key.Kind, Name: key.Name, Owner: "team", Class: catalogue.ClassStandard,
		Model: &catalogue.Model{Layers: 12, MaxTokens: 64},
	}
}

func set(field, value string) []catalogue.FieldEdit {
	return []catalogue.FieldEdit{{Field: field, Value: json.RawMessage(value)}}
}

func (s *store) decoded(t *testing.T) *catalogue.Entry {
	e, err := catalogue.Decode(s.object.Value, s.object.Version)
	is.New(t).NoErr(err)
	return e
}

func setup(t *testing.T) (*editor.Writer, *store) {
	value, err := catalogue.Encode(entry())
	is.New(t).NoErr(err)
	s := &store{object: platform.Object{Version: 1, Value: value}}
	return editor.New(editor.Options{Platform: s, Timer: timer.NewReal(), Log: log.New(io.Discard)}), s
}
