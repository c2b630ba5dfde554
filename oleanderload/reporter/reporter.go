// Package reporter summarises a run as a JSON report and as plots.
//
// Usage:
//
//	r := reporter.New(results, window)
//	err := r.Write("report.json")
//	err = reporter.Plot("between.png", "Time between tokens", curves)
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
	// longest is the upper end of the histograms in microseconds.
	longest = int64(10 * time.Minute / time.Microsecond)
	// digits is the precision of the histograms.
	digits = 3
	// bucket is the resolution of the throughput series.
	bucket = 100 * time.Millisecond
)

// Window is the part of a run whose throughput is measured.
type Window struct{ From, To time.Duration }

// Quantiles summarises a histogram in milliseconds.
type Quantiles struct {
	Count               int64
	P50, P95, P99, Most float64
}

// Account counts the requests of one client account.
type Account struct {
	Account   unit.AccountID
	Sent      int
	Complete  int
	Refused   int
	Tokens    int
	First     Quantiles
	histogram *hdrhistogram.Histogram
}

// Count is the number of outcomes with one name.
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
	// FalseNotRun counts refusals that say NotRun although tokens arrived.
	FalseNotRun int
	// TokensPerSecond is the rate within the window.
	TokensPerSecond float64
	First           Quantiles
	Between         Quantiles
	Accounts        []Account
	// Series is the rate of tokens for each 100 ms.
	Series []float64

	first, between *hdrhistogram.Histogram
}

// New summarises the results of a run.
func New(results []sender.Result, w Window) *Report {
	r := &Report{Requests: len(results), first: histogram(), between: histogram()}
	tokens := 0
	for i := range results {
		r.add(&results[i])
		for _, at := range results[i].TokenTimes {
			if at >= w.From && at < w.To {
				tokens++
			}
		}
	}
	if w.To > w.From {
		r.TokensPerSecond = float64(tokens) / (w.To - w.From).Seconds()
	}
	r.First, r.Between = quantiles(r.first), quantiles(r.between)
	for i := range r.Accounts {
		r.Accounts[i].First = quantiles(r.Accounts[i].histogram)
	}
	return r
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }

func (r *Report) add(m *sender.Result) {
	a := r.account(m.Account)
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
	r.times(a, m)
}

func (r *Report) times(a *Account, m *sender.Result) {
	last := m.At
	for i, at := range m.TokenTimes {
		us := max(1, (at - last).Microseconds())
		if i == 0 {
			_ = r.first.RecordValue(us)
			_ = a.histogram.RecordValue(us)
		} else {
			_ = r.between.RecordValue(us)
		}
		last = at
		for int(at/bucket) >= len(r.Series) {
			r.Series = append(r.Series, 0)
		}
		r.Series[at/bucket] += 1 / bucket.Seconds()
	}
}

func (r *Report) account(id unit.AccountID) *Account {
	for i := range r.Accounts {
		if r.Accounts[i].Account == id {
			return &r.Accounts[i]
		}
	}
	r.Accounts = append(r.Accounts, Account{Account: id, histogram: histogram()})
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

// Summarise returns the quantiles of durations.
func Summarise(times []time.Duration) Quantiles {
	h := histogram()
	for _, t := range times {
		_ = h.RecordValue(max(1, t.Microseconds()))
	}
	return quantiles(h)
}

// Write writes a value as indented JSON.
func Write(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
