package splitter

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against parts that are cut at a bracket, comma or quote of a text, and against
// documents without an end that are read as complete.
func TestSplit(t *testing.T) {
	tests := []struct {
		name, data string
		want       []string
		fails      bool
	}{
		{"an empty list has elements", ` [ ] `, nil, false},
		{"null is no empty list", `null`, nil, false},
		{"an element is lost", `[1, "a" ,{"x":[1,2]},null]`, []string{"1", `"a"`, `{"x":[1,2]}`, "null"}, false},
		{"a text ends at an escaped quote", `["\"]},[{\\",2]`, []string{`"\"]},[{\\"`, "2"}, false},
		{"an element that is no JSON ends the list", `[NaN,{a b},"` + "\xff" + `",2]`, []string{"NaN", "{a b}", `"` + "\xff" + `"`, "2"}, false},
		{"a truncated list is complete", `[1,2`, nil, true},
		{"a truncated text is complete", `["a]`, nil, true},
		{"a text that ends with a backslash reads beyond the data", `["a\`, nil, true},
		{"an empty element is skipped", `[1,,2]`, nil, true},
		{"a list ends with a comma", `[1,]`, nil, true},
		{"data after the list is ignored", `[1] 2`, nil, true},
		{"an object is read as a list", `{"a":1}`, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := Elements([]byte(tt.data))
			is.Equal(err != nil, tt.fails)
			if tt.fails {
				return
			}
			var texts []string
			for _, v := range got {
				texts = append(texts, string(v))
			}
			is.Equal(texts, tt.want)
		})
	}
}

// Guards against a member whose name is escaped or given twice, and against names without
// quotes.
func TestMembers(t *testing.T) {
	is := is.New(t)
	m, err := Members([]byte(`{"a":1,"\u0062":[{}],"a":2}`))
	is.NoErr(err)
	is.Equal(len(m), 2)
	is.Equal(string(m["a"]), "2")
	is.Equal(string(m["b"]), "[{}]")
	for _, data := range []string{`{a:1}`, `{"a"}`, `{"a":}`, `[]`, `1`, `{"a":1`, `{"a":1}}`} {
		_, err := Members([]byte(data))
		is.True(err != nil)
	}
}

// Guards against memory or time that grows with the depth of a value.
func TestDeepValue(t *testing.T) {
	is := is.New(t)
	const levels = 1_000_000
	data := []byte(`{"a":` + strings.Repeat(`{"x":[`, levels) + strings.Repeat(`]}`, levels) + `,"b":2}`)
	allocations := testing.AllocsPerRun(1, func() {
		m, err := Members(data)
		is.NoErr(err)
		is.Equal(string(m["b"]), "2")
	})
	is.True(allocations < 100)
}

// Guards against parts that differ from those that the decoder of the standard library
// finds in a valid document.
func TestSameAsDecoder(t *testing.T) {
	value := rapid.OneOf(
		rapid.Map(rapid.String(), func(s string) any { return s }),
		rapid.Map(rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())), func(m map[string][]string) any { return m }),
		rapid.Map(rapid.Float64(), func(f float64) any { return f }),
	)
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(value).Draw(t, "list")
		data, err := json.MarshalIndent(map[string]any{"list": list}, " ", "\t")
		if err != nil {
			t.Skip(err)
		}
		var want struct {
			List []json.RawMessage `json:"list"`
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatal(err)
		}
		m, err := Members(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Elements(m["list"])
		if err != nil || fmt.Sprintf("%s", got) != fmt.Sprintf("%s", want.List) {
			t.Fatalf("%s: got %s, err %v", data, got, err)
		}
	})
}

// FuzzSplit guards against input that crashes a daemon, and against parts that are lost
// from a valid document.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"items":[{"metadata":{"name":"a","revision":1},"spec":{"x":"]\\\""}}]}`))
	f.Add([]byte(`["\`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var list []json.RawMessage
		got, err := Elements(data)
		if json.Unmarshal(data, &list) == nil && (err != nil || len(got) != len(list)) {
			t.Fatalf("%d of %d elements, err %v", len(got), len(list), err)
		}
		var object map[string]json.RawMessage
		members, err := Members(data)
		if json.Unmarshal(data, &object) == nil && err != nil {
			t.Fatalf("%d of %d members, err %v", len(members), len(object), err)
		}
	})
}
