package sender_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/oleanderload/profile"
	"oleandercove.example/oleanderload/scheduler"
	"oleandercove.example/oleanderload/sender"
)

func chunks(text string) string {
	var b strings.Builder
	for _, w := range strings.Fields(text) {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"text\":\"%s \"}]}\n\n", w)
	}
	return b.String()
}

// Guards against a wrong, truncated or unmarked answer or refusal that passes the check, and
// against a correct one that counts as a violation.
func TestAnswersAreChecked(t *testing.T) {
	complete := chunks(runner.ReferenceText(8, "a b", 4))
	part := chunks(runner.ReferenceText(8, "a b", 3))
	const failed = "data: {\"error\":{\"Verdict\":\"MayHaveRun\",\"Reason\":\"BackendFailed\"}}\n\n"
	const done = "data: [DONE]\n\n"
	tests := []struct {
		name   string
		status int
		body   string
		want   sender.Outcome
	}{
		{"a complete answer counts as a violation", 200, complete + done, sender.Outcome{Complete: true, Tokens: 4}},
		{"a missing end marker is missed", 200, complete, sender.Outcome{Tokens: 4, Violation: sender.NoEndMark}},
		{"a truncated answer is missed", 200, part, sender.Outcome{Tokens: 3, Violation: sender.Truncated}},
		{"a truncated answer with an end marker passes", 200, part + done, sender.Outcome{Tokens: 3, Violation: sender.WrongText}},
		{"a wrong text passes", 200, chunks("t1 t2 t3 t4") + done, sender.Outcome{Tokens: 4, Violation: sender.WrongText}},
		{"an explicit error counts as truncated", 200, part + failed, sender.Outcome{Tokens: 3, Verdict: verdict.MayHaveRun, Reason: verdict.BackendFailed}},
		{"wrong text before an error passes", 200, chunks("t1") + failed, sender.Outcome{Tokens: 1, Verdict: verdict.MayHaveRun, Reason: verdict.BackendFailed, Violation: sender.WrongText}},
		{"a refusal is not classified", 503, `{"Verdict":"NotRun","Reason":"Overloaded"}`, sender.Outcome{Verdict: verdict.NotRun, Reason: verdict.Overloaded}},
		{"a refusal without a verdict passes", 503, `{}`, sender.Outcome{Violation: sender.BadRefusal}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer s.Close()
			p := &profile.Profile{Addresses: []string{s.Listener.Addr().String()}, Model: "report", Layers: 8}
			got := sender.New(p).Run(t.Context(), []scheduler.Arrival{{Prompt: "a b", MaxTokens: 4}})
			test.want.Status = test.status
			is.Equal(got[0].Outcome, test.want)
		})
	}
}
