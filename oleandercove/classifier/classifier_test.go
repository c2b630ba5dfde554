package classifier

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/verdict"
)

// Guards against a wrong verdict for each combination of sent and received parts.
func TestClassify(t *testing.T) {
	n, m, r := verdict.NotRun, verdict.MayHaveRun, verdict.Ran
	rows := []struct {
		name string
		sent Sent
		want [ReceivedAll + 1]verdict.Verdict // nothing, part of head, status, part of body, all
	}{
		{"an unsent request counted as run", SentNothing, [5]verdict.Verdict{n, m, r, r, r}},
		{"an incomplete head counted as run", SentPartHead, [5]verdict.Verdict{n, m, r, r, r}},
		{"a head that started a handler counted as not run", SentHead, [5]verdict.Verdict{m, m, r, r, r}},
		{"a part of a body counted as not run", SentPartBody, [5]verdict.Verdict{m, m, r, r, r}},
		{"a whole request counted as not run", SentAll, [5]verdict.Verdict{m, m, r, r, r}},
	}
	failures := []Failure{FailureNone, FailureRefused, FailureReset, FailureTimeout, FailureSilent, FailureCanceled}
	for _, row := range rows {
		for received, want := range row.want {
			for _, f := range failures {
				t.Run(fmt.Sprintf("%s/received %d/%s", row.name, received, f), func(t *testing.T) {
					o := Outcome{Connected: true, Sent: row.sent, Received: Received(received), Failure: f, Status: 200}
					is.New(t).Equal(Classify(o), want)
				})
			}
		}
	}
}

// Guards against trusting a status code that claims that nothing ran without the
// header X-Verdict.
func TestClassifyStatus(t *testing.T) {
	rows := []struct {
		name         string
		status       int
		notRunHeader bool
		verdict      verdict.Verdict
	}{
		{"408 in the middle of a call trusted", 408, false, verdict.MayHaveRun},
		{"429 in the middle of a call trusted", 429, false, verdict.MayHaveRun},
		{"503 in the middle of a call trusted", 503, false, verdict.MayHaveRun},
		{"408 with X-Verdict not trusted", 408, true, verdict.NotRun},
		{"429 with X-Verdict not trusted", 429, true, verdict.NotRun},
		{"503 with X-Verdict not trusted", 503, true, verdict.NotRun},
		{"a success with X-Verdict counted as not run", 201, true, verdict.Ran},
		{"an error with X-Verdict counted as not run", 500, true, verdict.Ran},
		{"a gateway's error counted as run", 502, false, verdict.MayHaveRun},
		{"a gateway's timeout counted as run", 504, true, verdict.MayHaveRun},
	}
	for _, row := range rows {
		for received := ReceivedStatus; received <= ReceivedAll; received++ {
			t.Run(fmt.Sprintf("%s/received %d", row.name, received), func(t *testing.T) {
				o := Outcome{Connected: true, Sent: SentAll, Received: received, Status: row.status, NotRunHeader: row.notRunHeader}
				is.New(t).Equal(Classify(o), row.verdict)
			})
		}
	}
	for _, status := range []int{408, 429, 503} {
		t.Run(fmt.Sprintf("%d of an earlier call trusted", status), func(t *testing.T) {
			o := Outcome{Connected: true, Sent: SentAll, Received: ReceivedAll, Status: status, NotRunHeader: true, Reused: true}
			is.New(t).Equal(Classify(o), verdict.MayHaveRun)
		})
	}
	t.Run("a refused connection counted as run", func(t *testing.T) {
		is.New(t).Equal(Classify(Outcome{Failure: FailureRefused}), verdict.NotRun)
	})
}
