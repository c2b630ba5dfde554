package tracer_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderload/scheduler"
	"oleandercove.example/oleanderload/sender"
	"oleandercove.example/oleanderload/tracer"
)

// Guards against a trace that loses or changes requests or outcomes, and against a
// comparison that misses a changed outcome or a missing result.
func TestTraceKeepsRequestsAndOutcomes(t *testing.T) {
	is := is.New(t)
	results := []sender.Result{
		{Arrival: scheduler.Arrival{At: 5, Account: "a", Prompt: "x y", MaxTokens: 3}, Outcome: sender.Outcome{Complete: true, Tokens: 3}},
		{Arrival: scheduler.Arrival{At: 9, Account: "b", Service: true}, Outcome: sender.Outcome{Verdict: verdict.NotRun, Reason: verdict.Overloaded}},
	}
	var b bytes.Buffer
	is.NoErr(tracer.Write(&b, results))
	records, err := tracer.Read(&b)
	is.NoErr(err)
	is.Equal(tracer.Arrivals(records), []scheduler.Arrival{results[0].Arrival, results[1].Arrival})
	is.Equal(len(tracer.Compare(records, results)), 0)
	results[0].Outcome = sender.Outcome{Violation: sender.Truncated}
	d := tracer.Compare(records, results)
	is.Equal(len(d), 1) // a changed outcome is missed
	is.Equal(d[0].Index, 0)
	is.Equal(len(tracer.Compare(records, results[:1])), 2) // a missing result is missed
}
