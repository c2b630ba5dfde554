package reporter_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderload/reporter"
	"oleandercove.example/oleanderload/scheduler"
	"oleandercove.example/oleanderload/sender"
)

// Guards against a throughput that counts tokens outside the window, a time to the first
// token that is not measured from the due time, and outcomes that are missing.
func TestReport(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	r := reporter.New([]sender.Result{
		{
			Arrival: scheduler.Arrival{At: 100 * ms, Account: "a"}, Sent: 100 * ms,
			TokenTimes: []time.Duration{150 * ms, 170 * ms, 1200 * ms}, Outcome: sender.Outcome{Complete: true, Tokens: 3},
		},
		{Arrival: scheduler.Arrival{Account: "b"}, Outcome: sender.Outcome{Verdict: verdict.NotRun, Reason: verdict.Overloaded}},
		{
			Arrival: scheduler.Arrival{Account: "b"}, TokenTimes: []time.Duration{ms},
			Outcome: sender.Outcome{Verdict: verdict.NotRun, Reason: verdict.BackendFailed, Violation: sender.WrongText},
		},
	}, reporter.Window{From: 100 * ms, To: 1100 * ms})
	is.Equal(r.TokensPerSecond, 2.0) // tokens outside the window count
	is.Equal(r.Complete, 1)
	is.Equal(r.FalseNotRun, 1)
	is.Equal(len(r.Refusals), 2)
	is.Equal(r.Violations, []reporter.Count{{Name: "Wrong", Count: 1}})
	is.Equal(r.Between.Count, int64(2))
	is.True(r.Accounts[0].First.P50 > 49 && r.Accounts[0].First.P50 < 51) // first token is not measured from the due time

	path := filepath.Join(t.TempDir(), "plot.png")
	is.NoErr(reporter.Plot(path, "t", "x", "y", r.TokenIntervalCurve("all"), reporter.Curve{Name: "empty"}))
	info, err := os.Stat(path)
	is.NoErr(err)
	is.True(info.Size() > 0)
}
