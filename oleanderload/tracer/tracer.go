// Package tracer records the requests and outcomes of a run as a trace, and compares the
// outcomes of a replay with the recorded ones.
//
// A trace is a file of JSON lines, one for each request.
//
// Usage:
//
//	err := tracer.Write(f, results)
//	records, err := tracer.Read(f)
//	differences := tracer.Compare(records, results)
package tracer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"oleandercove.example/oleanderload/scheduler"
	"oleandercove.example/oleanderload/sender"
)

// Record is one line of a trace: a request and its recorded outcome.
type Record struct {
	scheduler.Arrival
	Outcome sender.Outcome
}

// Write writes the results of a run as a trace.
func Write(w io.Writer, results []sender.Result) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	for _, r := range results {
		if err := e.Encode(Record{Arrival: r.Arrival, Outcome: r.Outcome}); err != nil {
			return err
		}
	}
	return b.Flush()
}

// Read reads a trace up to its end. Unknown fields are errors.
func Read(r io.Reader) ([]Record, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var out []Record
	for {
		var m Record
		err := d.Decode(&m)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, fmt.Errorf("record %d of the trace: %w", len(out)+1, err)
		}
		out = append(out, m)
	}
}

// Arrivals returns the requests of a trace.
func Arrivals(records []Record) []scheduler.Arrival {
	out := make([]scheduler.Arrival, len(records))
	for i, r := range records {
		out[i] = r.Arrival
	}
	return out
}

// Difference is a request whose outcome differs from the recorded one.
type Difference struct {
	Index int
	Want  string
	Got   string
}

// Compare returns the requests whose outcome differs from the recorded one: complete
// responses by number of tokens, others by verdict, reason or violation. Times are not
// compared.
func Compare(records []Record, results []sender.Result) []Difference {
	var out []Difference
	for i, r := range records {
		want, got := summary(r.Outcome), "missing"
		if i < len(results) {
			got = summary(results[i].Outcome)
		}
		if want != got {
			out = append(out, Difference{Index: i, Want: want, Got: got})
		}
	}
	return out
}

func summary(o sender.Outcome) string {
	if o.Complete {
		return fmt.Sprintf("complete, %d tokens", o.Tokens)
	}
	return fmt.Sprintf("incomplete, verdict %q, reason %q, violation %q", o.Verdict, o.Reason, o.Violation)
}
