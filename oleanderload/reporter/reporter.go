// Package reporter summarises a run as a JSON report and as plots.
//
// Usage:
//
//	r := reporter.New(results, window)
//	err := reporter.Write("report.json", r)
//	err = reporter.Plot("between.png", "Time between tokens", "quantile, %", "ms", r.TokenIntervalCurve("all"))
package reporter

import (
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderload/sender"
)

const (
	// maxMicroseconds is the largest value that the histograms hold.
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the decimal precision of the histograms.
	significantDigits = 3
	// seriesInterval is the resolution of the throughput series.
	seriesInterval = 100 * time.Millisecond
)

// Window is the part of a run whose throughput is measured.
type Window struct{ From, To time.Duration }

// Quantiles summarises a histogram in milliseconds; Most is the maximum.
type Quantiles struct {
	Count               int64
	P50, P95, P99, Most float64
}

// Account counts the requests of one client account. First is the time to the first token.
type Account struct {
	Account   unit.AccountID
	Sent      int
	Complete  int
	Refused   int
	Tokens    int
	First     Quantiles
	histogram *hdrhistogram.Histogram
}

// Count is the number of outcomes with the same name.
type Count struct {
	Name  string
	Count int
}

// Report summarises a run.
type Report struct {
	Requests   int
	Complete   int
	NotSent    int
	Errors     int
	Violations []Count
	// Refusals counts refusals and failed streams by reason.
	Refusals []Count
	// FalseNotRun counts refusals with the verdict NotRun although tokens arrived.
	FalseNotRun int
	// TokensPerSecond is the rate within the window.
	TokensPerSecond float64
	// First is the time from the due time of a request to its first token.
	First Quantiles
	// Between is the time between two tokens of a request.
	Between  Quantiles
	Accounts []Account
	// Series is the rate in tokens per second for each 100 ms of the run.
	Series []float64

	firstHistogram, betweenHistogram *hdrhistogram.Histogram
}

// New summarises the results of a run.
func New(results []sender.Result, w Window) *Report {
	r := &Report{Requests: len(results), firstHistogram: newHistogram(), betweenHistogram: newHistogram()}
	tokens := 0
	for i := range results {
		r.addResult(&results[i])
		for _, at := range results[i].TokenTimes {
			if at >= w.From && at < w.To {
				tokens++
			}
		}
	}
	if w.To > w.From {
		r.TokensPerSecond = float64(tokens) / (w.To - w.From).Seconds()
	}
	r.First, r.Between = quantiles(r.firstHistogram), quantiles(r.betweenHistogram)
	for i := range r.Accounts {
		r.Accounts[i].First = quantiles(r.Accounts[i].histogram)
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantDigits)
}

func (r *Report) addResult(m *sender.Result) {
	a := r.accountOf(m.Account)
	if m.Outcome.NotSent {
		r.NotSent++
		return
	}
	a.Sent++
	a.Tokens += len(m.TokenTimes)
	switch o := m.Outcome; {
	case o.Complete:
		r.Complete++
		a.Complete++
	case o.Reason != "":
		a.Refused++
		r.Refusals = increment(r.Refusals, string(o.Reason))
	case o.Error != "":
		r.Errors++
	}
	if v := m.Outcome.Violation; v != "" {
		r.Violations = increment(r.Violations, string(v))
	}
	if m.Outcome.Verdict == verdict.NotRun && len(m.TokenTimes) > 0 {
		r.FalseNotRun++
	}
	r.recordTimes(a, m)
}

func (r *Report) recordTimes(a *Account, m *sender.Result) {
	last := m.At
	for i, at := range m.TokenTimes {
		us := max(1, (at - last).Microseconds())
		if i == 0 {
			_ = r.firstHistogram.RecordValue(us)
			_ = a.histogram.RecordValue(us)
		} else {
			_ = r.betweenHistogram.RecordValue(us)
		}
		last = at
		for int(at/seriesInterval) >= len(r.Series) {
			r.Series = append(r.Series, 0)
		}
		r.Series[at/seriesInterval] += 1 / seriesInterval.Seconds()
	}
}

func (r *Report) accountOf(id unit.AccountID) *Account {
	for i := range r.Accounts {
		if r.Accounts[i].Account == id {
			return &r.Accounts[i]
		}
	}
	r.Accounts = append(r.Accounts, Account{Account: id, histogram: newHistogram()})
	return &r.Accounts[len(r.Accounts)-1]
}

func increment(counts []Count, name string) []Count {
	for i := range counts {
		if counts[i].Name == name {
			counts[i].Count++
			return counts
		}
	}
	return append(counts, Count{Name: name, Count: 1})
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Most: ms(h.Max()),
	}
}

// Summarise returns the quantiles of a list of durations.
func Summarise(times []time.Duration) Quantiles {
	h := newHistogram()
	for _, t := range times {
		_ = h.RecordValue(max(1, t.Microseconds()))
	}
	return quantiles(h)
}

// Write writes a value as indented JSON to the file at path.
func Write(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
