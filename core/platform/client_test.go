package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/unit"
)

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// clientOf returns a client of a platform that answers each call with one body.
func clientOf(t *testing.T, body string) Client {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	t.Cleanup(s.Close)
	return NewClient(Options{Address: s.Listener.Addr().String()})
}

// Guards against lists and watches that fail as a whole because of one odd object, so that
// daemons no longer see changes of the others.
func TestOddObjects(t *testing.T) {
	const sound = `{"Kind":"Entry","Name":"a","Version":3,"Revision":9,"WriteID":"w","Value":{"x":1}}`
	tests := []struct{ name, object string }{
		{"nesting of 10,001 levels in the value", `{"Kind":"Entry","Name":"odd","Version":3,"Revision":9,"Value":` + nested(10001) + `}`},
		{"nesting of 1,000,000 levels in an unknown field", `{"Name":"odd","X":` + nested(1000000) + `}`},
		{"a version too large", `{"Name":"odd","Version":99999999999999999999,"Value":{}}`},
		{"a negative revision", `{"Name":"odd","Version":1,"Revision":-1,"Value":{}}`},
		{"a name that is no text", `{"Name":7,"Version":1,"Value":{}}`},
		{"a value that is no JSON", `{"Name":"odd","Version":1,"Value":NaN}`},
		{"null in place of the object", `null`},
		{"a list in place of the object", `[1]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := clientOf(t, `{"Revision":30,"Objects":[`+sound+`,`+tt.object+`,`+sound+`]}`)
			for _, read := range []func() (List, error){
				func() (List, error) { return c.List(t.Context(), KindEntry) },
				func() (List, error) { return c.Watch(t.Context(), KindEntry, 3, time.Millisecond) },
			} {
				l, err := read()
				is.NoErr(err)
				is.Equal(l.Revision, unit.Revision(30))
				is.Equal(len(l.Objects), 3)
				is.Equal(l.Objects[0], Object{Kind: KindEntry, Name: "a", Version: 3, Revision: 9, WriteID: "w", Value: []byte(`{"x":1}`)})
				is.Equal(l.Objects[2], l.Objects[0])
			}
		})
	}
}
