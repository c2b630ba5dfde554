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

// columnGap is the space between two columns.
const columnGap = 2

// Table is a result for people.
type Table struct {
	Header []string
	Rows   [][]string
}

func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.Rows = append(t.Rows, row)
}

// Printer writes results.
type Printer struct {
	Out  io.Writer
	JSON bool
}

// Print writes a value as JSON or as its table.
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

// Entries lists entries, one in each row.
func Entries(l api.EntryList) Table {
	t := Table{Header: []string{"kind", "name", "version", "class", "owner", "requests/s", "tokens/s", "changed by", "changed at"}}
	for _, v := range l.Entries {
		e := v.Entry
		t.add(e.Kind, e.Name, v.Version, e.Class, e.Owner, limit(e.Limits.RequestsPerSecond), limit(e.Limits.TokensPerSecond), e.ChangedBy, when(e.ChangedAt))
	}
	return t
}

func limit(v float64) string {
	if v == 0 {
		return "no limit"
	}
	return fmt.Sprint(v)
}

func when(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// Entry shows one entry, one field in each row.
func Entry(v api.EntryView) (Table, error) {
	e := v.Entry
	e.History = nil
	data, err := json.Marshal(e)
	if err != nil {
		return Table{}, err
	}
	t := Table{Header: []string{"field", "value"}}
	t.add("Version", v.Version)
	return t, t.fields("", data)
}

// fields adds a row for each field of an object, in the order of its text.
func (t *Table) fields(prefix string, object []byte) error {
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
			t.add(path, string(value))
		} else if err := t.fields(path+".", value); err != nil {
			return err
		}
	}
	return nil
}

// History lists changes, newest last.
func History(h api.EntryHistory) Table {
	t := Table{Header: []string{"version", "at", "by", "fields", "id"}}
	for _, c := range h.Changes {
		t.add(c.Version, when(c.At), c.By, strings.Join(c.Fields, " "), c.ID)
	}
	return t
}

// Accepted shows an accepted edit.
func Accepted(a api.EditAccepted) Table {
	t := Table{Header: []string{"accepted version", "fields", "id"}}
	if a.ID == "" {
		a.ID = "unchanged"
	}
	t.add(a.Version, strings.Join(a.Fields, " "), a.ID)
	return t
}

// Hosts lists the rows of the platform's list.
func Hosts(l api.HostList) Table {
	t := Table{Header: []string{"id", "role", "address", "data centre", "state", "serves"}}
	for _, h := range l.Hosts {
		t.add(h.ID, h.Role, h.Address, h.DataCentre, h.State, h.Serves)
	}
	return t
}

// Backends lists backend servers.
func Backends(l api.BackendList) Table {
	t := Table{Header: []string{"id", "role", "address", "data centre", "serves", "healthy", "draining", "in flight", "seen"}}
	for _, b := range l.Backends {
		t.add(b.ID, b.Role, b.Address, b.DataCentre, b.Serves, b.Healthy, b.Draining, b.InFlight, when(b.Seen))
	}
	return t
}

// Dump shows the state of each part as indented JSON.
func Dump(d api.Dump) (Table, error) {
	t := Table{}
	t.add(fmt.Sprintf("host %s at %s", d.Host, when(d.At)))
	for _, s := range d.Sections {
		t.add("")
		t.add("["+s.Name+"]", s.Error)
		if len(s.State) == 0 {
			continue
		}
		text, err := json.MarshalIndent(s.State, "", "  ")
		if err != nil {
			return t, err
		}
		for _, line := range strings.Split(string(text), "\n") {
			t.add(line)
		}
	}
	return t, nil
}

// Events lists recorded decisions.
func Events(x api.Explanation) Table {
	t := Table{Header: []string{"at", "host", "part", "decision", "cause"}}
	for _, e := range x.Events {
		t.add(e.At.UTC().Format(time.RFC3339Nano), e.Host, e.Part, e.Decision, e.Cause)
	}
	return t
}
