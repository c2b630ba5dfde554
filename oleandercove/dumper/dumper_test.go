package dumper_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/dumper"
)

// Guards against secrets in a dump, and against a dump without the other parts when one
// part fails.
func TestDump(t *testing.T) {
	rows := []struct {
		name  string
		state func() any
		want  string
	}{
		{"hash of a token is shown", func() any { return map[string]any{"Account": map[string]any{"TokenHash": "abc"}} }, `{"Account":{"TokenHash":"redacted"}}`},
		{"secret inside a text is shown", func() any { return []string{"Bearer hunter2"} }, `["Bearer redacted"]`},
		{"secret in a list is shown", func() any { return map[string]any{"Tokens": []string{"a"}} }, `{"Tokens":["redacted"]}`},
		{"counts of tokens are hidden", func() any { return map[string]any{"MaxTokens": 4096} }, `{"MaxTokens":4096}`},
		{"panic ends the dump", func() any { panic("boom hunter2") }, "boom redacted"},
		{"value without JSON form ends the dump", func() any { return make(chan int) }, "unsupported type"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			d := dumper.New(dumper.Options{Host: "entry-1", Timer: timer.NewReal(), Secrets: []string{"", "hunter2"}})
			d.Register("part", r.state)
			d.Register("last", func() any { return 1 })
			got := d.Dump()
			is.Equal(len(got.Sections), 2)
			is.Equal(string(got.Sections[1].State), "1")
			text, err := json.Marshal(got)
			is.NoErr(err)
			is.True(!strings.Contains(string(text), "hunter2"))
			is.True(strings.Contains(string(got.Sections[0].State)+got.Sections[0].Error, r.want))
		})
	}
}
