// Package printer writes the results of oleanderctl as tables or JSON.
//
// Usage:
//
//	p := printer.Printer{Out: os.Stdout, JSON: true}
//	err := p.Print(list, printer.Entries(list))
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"oleandercove.example/core/api"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Table is a result as rows of text.
type Table struct {
	Header []string
	Rows   [][]string
}

func (t *Table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.Rows = append(t.Rows, row)
}

// Printer writes results to Out, as JSON if JSON is set and as tables otherwise.
type Printer struct {
	Out  io.Writer
	JSON bool
}

// Print writes value as JSON, or t, which shows the same result as a table.
func (p Printer) Print(value any, t Table) error {
	if p.JSON {
		e := json.NewEncoder(p.Out)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	w := tabwriter.NewWriter(p.Out, 0, 0, columnGap, ' ', 0)
	if len(t.Header) > 0 {
		fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Header, "\t")))
	}
	for _, r := range t.Rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// Entries returns a table with one row for each entry.
func Entries(l api.EntryList) Table {
	t := Table{Header: []string{"kind", "name", "version", "class", "owner", "requests/s", "tokens/s", "changed by", "changed at"}}
	for _, v := range l.Entries {
		e := v.Entry
		t.addRow(e.Kind, e.Name, v.Version, e.Class, e.Owner, formatLimit(e.Limits.RequestsPerSecond), formatLimit(e.Limits.TokensPerSecond), e.ChangedBy, formatTime(e.ChangedAt))
	}
	return t
}

func formatLimit(v float64) string {
	if v == 0 {
		return "no limit"
	}
	return fmt.Sprint(v)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// Entry returns a table with one row for each field of an entry, without its history.
func Entry(v api.EntryView) (Table, error) {
	e := v.Entry
	e.History = nil
	data, err := json.Marshal(e)
	if err != nil {
		return Table{}, err
	}
	t := Table{Header: []string{"field", "value"}}
	t.addRow("Version", v.Version)
	return t, t.addFields("", data)
}

// addFields adds a row for each field of a JSON object, in the order of the JSON text.
// Fields of nested objects get the path of the object as prefix.
func (t *Table) addFields(prefix string, object []byte) error {
	d := json.NewDecoder(strings.NewReader(string(object)))
	if _, err := d.Token(); err != nil {
		return err
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return err
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return err
		}
		path := fmt.Sprint(prefix, name)
		if value[0] != '{' {
			t.addRow(path, string(value))
		} else if err := t.addFields(path+".", value); err != nil {
			return err
		}
	}
	return nil
}

// History returns a table of the changes of an entry, newest last.
func History(h api.EntryHistory) Table {
	t := Table{Header: []string{"version", "at", "by", "fields", "id"}}
	for _, c := range h.Changes {
		t.addRow(c.Version, formatTime(c.At), c.By, strings.Join(c.Fields, " "), c.ID)
	}
	return t
}

// Accepted returns a table with the accepted edit.
func Accepted(a api.EditAccepted) Table {
	t := Table{Header: []string{"accepted version", "fields", "id"}}
	if a.ID == "" {
		a.ID = "unchanged"
	}
	t.addRow(a.Version, strings.Join(a.Fields, " "), a.ID)
	return t
}

// Hosts returns a table of the platform's host list.
func Hosts(l api.HostList) Table {
	t := Table{Header: []string{"id", "role", "address", "data centre", "state", "serves"}}
	for _, h := range l.Hosts {
		t.addRow(h.ID, h.Role, h.Address, h.DataCentre, h.State, h.Serves)
	}
	return t
}

// Backends returns a table of backend servers.
func Backends(l api.BackendList) Table {
	t := Table{Header: []string{"id", "role", "address", "data centre", "serves", "healthy", "draining", "in flight", "seen"}}
	for _, b := range l.Backends {
		t.addRow(b.ID, b.Role, b.Address, b.DataCentre, b.Serves, b.Healthy, b.Draining, b.InFlight, formatTime(b.Seen))
	}
	return t
}

// Dump returns a table with the state of each part of a daemon as indented JSON.
func Dump(d api.Dump) (Table, error) {
	t := Table{}
	t.addRow(fmt.Sprintf("host %s at %s", d.Host, formatTime(d.At)))
	for _, s := range d.Sections {
		t.addRow("")
		t.addRow("["+s.Name+"]", s.Error)
		if len(s.State) == 0 {
			continue
		}
		text, err := json.MarshalIndent(s.State, "", "  ")
		if err != nil {
			return t, err
		}
		for _, line := range strings.Split(string(text), "\n") {
			t.addRow(line)
		}
	}
	return t, nil
}

// Events returns a table of recorded decisions.
func Events(x api.Explanation) Table {
	t := Table{Header: []string{"at", "host", "part", "decision", "cause"}}
	for _, e := range x.Events {
		t.addRow(e.At.UTC().Format(time.RFC3339Nano), e.Host, e.Part, e.Decision, e.Cause)
	}
	return t
}
