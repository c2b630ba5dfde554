package command_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/oleanderctl/command"
)

// Guards against effects that are listed before their causes, which happens when events
// are sorted by local time and the clock of one daemon is behind.
func TestExplainOrder(t *testing.T) {
	is := is.New(t)
	var addresses []string
	for _, body := range []string{
		`{"Events":[{"At":"2026-01-01T00:00:01Z","Stamp":{"Wall":7,"Logical":2},"Host":"b","Decision":"Effect"}]}`,
		`{"Events":[{"At":"2026-01-01T00:00:02Z","Stamp":{"Wall":7,"Logical":1},"Host":"a","Decision":"Cause"}]}`,
	} {
		s := httptest.NewServer(&daemon{status: 200, body: body})
		defer s.Close()
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	var out bytes.Buffer
	is.Equal(command.Run([]string{"explain", "r-1", "--output", "json", "--address", strings.Join(addresses, ",")}, nil, &out, &out), command.ExitOK)
	cause, effect := strings.Index(out.String(), `"Cause"`), strings.LastIndex(out.String(), `"Effect"`)
	is.True(cause >= 0 && cause < effect)
}
