package catalogue_test

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/unit"
)

func modelEntry() *catalogue.Entry {
	return &catalogue.Entry{
		Kind: catalogue.KindModel, Name: "report", Owner: "team", Class: catalogue.ClassStandard,
		Model: &catalogue.Model{Layers: 12, MaxTokens: 4096},
	}
}

// Guards against faulty entries that pass the check, and against a check that stops at
// the first fault.
func TestCheck(t *testing.T) {
	rows := []struct {
		name   string
		change func(*catalogue.Entry)
		fields string
	}{
		{"a valid entry is rejected", func(*catalogue.Entry) {}, ""},
		{"empty owner and unknown class pass", func(e *catalogue.Entry) { e.Owner, e.Class = " ", "Gold" }, "Owner Class"},
		{"path in a name passes", func(e *catalogue.Entry) { e.Name = "../x" }, "Name"},
		{"unknown kind passes", func(e *catalogue.Entry) { e.Kind, e.Model = "Robot", nil }, "Kind"},
		{"missing part passes", func(e *catalogue.Entry) { e.Model = nil }, "Model"},
		{"part of another kind passes", func(e *catalogue.Entry) {
			e.Service = &catalogue.Service{IdempotentMethods: []string{"GET"}}
		}, "Service"},
		{"negative limits pass", func(e *catalogue.Entry) {
			e.Limits = catalogue.Limits{RequestsPerSecond: -1, TokensPerSecond: math.NaN(), ConcurrentStreams: -2, QueueShare: 1.5}
		}, "Limits.RequestsPerSecond Limits.TokensPerSecond Limits.ConcurrentStreams Limits.QueueShare"},
		{"model without layers or tokens passes", func(e *catalogue.Entry) { *e.Model = catalogue.Model{} }, "Model.Layers Model.MaxTokens"},
		{"repeated adapter passes", func(e *catalogue.Entry) { e.Model.Adapters = []string{"a", "a"} }, "Model.Adapters"},
		{"negative drain time passes", func(e *catalogue.Entry) { e.DrainMs = -1 }, "DrainMs"},
		{"faulty methods and paths pass", func(e *catalogue.Entry) {
			e.Kind, e.Model = catalogue.KindService, nil
			e.Service = &catalogue.Service{IdempotentMethods: []string{"get"}, IdempotentPaths: []string{"/a/../b"}}
		}, "Service.IdempotentMethods Service.IdempotentPaths"},
		{"hash in capital letters passes", func(e *catalogue.Entry) {
			e.Kind, e.Model = catalogue.KindAccount, nil
			e.Account = &catalogue.Account{TokenHash: strings.Repeat("A", 64)}
		}, "Account.TokenHash"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			e := modelEntry()
			r.change(e)
			var got []string
			for _, f := range catalogue.Check(e) {
				got = append(got, f.Field)
			}
			is.New(t).Equal(strings.Join(got, " "), r.fields)
		})
	}
}

// Guards against an edit that is silently dropped or that changes a managed field.
func TestApply(t *testing.T) {
	rows := []struct{ name, field, value, err string }{
		{"valid field is rejected", "Limits.RequestsPerSecond", "20", ""},
		{"complete part is rejected", "Model", `{"Layers":3,"MaxTokens":9}`, ""},
		{"unknown field is dropped", "Limits.Speed", "20", "unknown field"},
		{"other case escapes conflict detection", "limits.RequestsPerSecond", "20", "case sensitive"},
		{"field below a string is dropped", "Owner.Name", `"x"`, "not an object"},
		{"history is rewritten", "History", "[]", "managed"},
		{"tombstone is set by a field edit", "Deleted", "true", "managed"},
		{"wrong type is accepted", "Owner", "7", "cannot unmarshal"},
		{"invalid JSON is accepted", "Owner", "{", "not JSON"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			e, err := catalogue.Apply(modelEntry(), []catalogue.FieldEdit{{Field: r.field, Value: []byte(r.value)}})
			if r.err != "" {
				is.True(err != nil && strings.Contains(err.Error(), r.err)) // error names the cause
				return
			}
			is.NoErr(err)
			d, err := catalogue.Diff(modelEntry(), e)
			is.NoErr(err)
			is.True(len(d) > 0 && strings.HasPrefix(d[0], r.field)) // only the field changed
		})
	}
}

// Guards against a merge that overwrites a concurrent edit.
func TestMergeConflicts(t *testing.T) {
	rows := []struct {
		name         string
		ours, theirs func(*catalogue.Entry)
		field        string
	}{
		{"same field with two values merges", func(e *catalogue.Entry) { e.Owner = "a" }, func(e *catalogue.Entry) { e.Owner = "b" }, "Owner"},
		{"edit of a deleted entry merges", func(e *catalogue.Entry) { e.Owner = "a" }, func(e *catalogue.Entry) { e.Deleted = true }, "Deleted"},
		{"new field of a removed part merges", func(e *catalogue.Entry) { e.Model = nil }, func(e *catalogue.Entry) { e.Model.Replicas = 3 }, "Model"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			ours, theirs := modelEntry(), modelEntry()
			r.ours(ours)
			r.theirs(theirs)
			_, c, err := catalogue.Merge(modelEntry(), ours, theirs)
			is.NoErr(err)
			is.Equal(len(c), 1)
			is.Equal(c[0].Field, r.field)
		})
	}
}

// Guards against a merge whose result depends on the order of the edits, and against
// one that loses a change.
func TestMergeProperties(t *testing.T) {
	edits := []func(*catalogue.Entry, int){
		func(e *catalogue.Entry, v int) { e.Limits.RequestsPerSecond = float64(v) },
		func(e *catalogue.Entry, v int) { e.Limits.TokensPerSecond = float64(v) / 3 },
		func(e *catalogue.Entry, v int) { e.Limits.ConcurrentStreams = v },
		func(e *catalogue.Entry, v int) { e.DrainMs = v },
		func(e *catalogue.Entry, v int) { e.Model.Replicas = v },
		func(e *catalogue.Entry, v int) { e.Model.Adapters = make([]string, v%4) },
		func(e *catalogue.Entry, v int) { e.Owner = strings.Repeat("<", v) },
		func(e *catalogue.Entry, v int) { e.Model.Version = strings.Repeat(".", v) },
	}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *catalogue.Entry {
			e := modelEntry()
			for _, edit := range edits {
				if v := rapid.IntRange(-1, 9).Draw(t, name); v >= 0 && rapid.Bool().Draw(t, name) {
					edit(e, v)
				}
			}
			return e
		}
		base, a, b := modelEntry(), draw("a"), draw("b")
		x, c, err := catalogue.Merge(base, a, b)
		y, d, err2 := catalogue.Merge(base, b, a)
		if err != nil || err2 != nil || len(c) != len(d) {
			t.Fatal(err, err2, c, d)
		}
		if len(c) > 0 {
			return
		}
		if f, err := catalogue.Diff(x, y); err != nil || len(f) > 0 {
			t.Fatal("order matters", f, err)
		}
		checkEditKept(t, base, a, x)
		checkEditKept(t, base, b, x)
	})
}

// checkEditKept fails the test if a field that the edit changed has another value in
// the merged entry.
func checkEditKept(t *rapid.T, base, edited, merged *catalogue.Entry) {
	changed, err := catalogue.Diff(base, edited)
	if err != nil {
		t.Fatal(err)
	}
	differing, err := catalogue.Diff(edited, merged)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range changed {
		for _, q := range differing {
			if p == q {
				t.Fatal("lost field", p)
			}
		}
	}
}

// Guards against a history that grows without bound or loses its newest change.
func TestHistoryTrimmed(t *testing.T) {
	is := is.New(t)
	var h []catalogue.Change
	for range 30 {
		h = catalogue.AppendChange(h, catalogue.Change{Version: 1 + lastVersion(h)})
	}
	is.Equal(len(h), 20)
	is.Equal(int(lastVersion(h)), 30)
}

func lastVersion(h []catalogue.Change) (v unit.Version) {
	if len(h) > 0 {
		v = h[len(h)-1].Version
	}
	return v
}

// Guards against a panic, and against an entry that changes when it is encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Kind":"Model","Name":"report","Limits":{"QueueShare":0.5},"Model":{"Layers":3}}`))
	f.Add([]byte(`{"History":[{"Version":1,"Fields":["Owner"]}],"Deleted":true}{}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		e, err := catalogue.Decode(value, 4)
		if err != nil {
			return
		}
		_ = catalogue.Check(e)
		out, err := catalogue.Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		again, err := catalogue.Decode(out, 4)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := catalogue.Encode(again)
		if err != nil || !reflect.DeepEqual(out, twice) {
			t.Fatalf("%s became %s: %v", out, twice, err)
		}
	})
}
