package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

// Guards against an error text in the middle of a stream, and against a short stream that looks
// complete, which happen when the engine that resumes a broken stream answers with an error.
func TestResumedWithError(t *testing.T) {
	const output = 12
	is := is.New(t)
	s := newSite(t, 1)
	send := func(id string) response {
		return request{
			router: s.routers[0], id: id, method: "POST", path: imitator.ModelPath, key: imitator.Key, body: imitator.BreakTrigger, output: output,
		}.do()
	}
	tests := []struct {
		name  string
		fault imitator.ResumeFault
	}{
		{"an error", imitator.ResumeFault{Status: http.StatusInternalServerError, Body: "internal error\n\n"}},
		{"an error text as body", imitator.ResumeFault{Status: http.StatusOK, Body: "internal error\n\n"}},
		{"a head as body", imitator.ResumeFault{Status: http.StatusOK, Body: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"}},
		{"events after a gap", imitator.ResumeFault{Status: http.StatusOK, Body: imitator.Event("x", output)}},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			id := fmt.Sprintf("s%d", i)
			s.SetResumeFault(&tt.fault)
			a := send(id)
			is.Equal(a.status, http.StatusOK)
			is.True(a.err != nil) // broken off
			is.True(a.body != "")
			is.True(imitator.IsCompleteStream(a.body, id, strings.Count(a.body, "id: ")))
			is.True(len(s.Runs.ByAttempt(id)) > 1) // resumed
		})
	}
	s.SetResumeFault(nil)
	is.NoErr(send("whole").checkStream("whole", output))
	is.Equal(len(s.Violations()), 0)
}
