package loader

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

type section struct {
	Listen string `check:"required,address"`
	Wait   Duration
	Count  int `check:"positive"`
}

func (s *section) Check() []Problem {
	if s.Wait > Duration(time.Hour) {
		return []Problem{{Key: "Wait", Expected: "at most 1h"}}
	}
	return nil
}

type sample struct {
	Name    string
	Rate    float64
	Small   uint8
	Section section
	Rows    []section
}

func parse(text string) (sample, error) {
	s := sample{Section: section{Listen: "127.0.0.1:1", Count: 1}}
	err := Parse("f.toml", []byte(text), &s)
	return s, err
}

// Guards against faults that pass unnoticed, and against faults that are reported at a
// wrong line or without what was expected.
func TestFaults(t *testing.T) {
	for _, row := range []struct{ name, text, want string }{
		{"misspelt key is ignored", "Nmae = 'a'", "f.toml:1: Nmae: unknown key; expected one of Name, Rate, Small, Section, Rows"},
		{"key in lower case is accepted", "name = 'a'", "f.toml:1: name: unknown key; expected Name"},
		{"number without unit is read as nanoseconds", "[Section]\nWait = 5", `f.toml:2: Section.Wait: expected a duration with a unit, such as "2s"`},
		{"unknown unit is accepted", "[Section]\nWait = '5 parsecs'", `f.toml:2: Section.Wait: expected a duration with a unit, such as "2s"`},
		{"empty address is accepted", "[Section]\nListen = ''", "f.toml:2: Section.Listen: expected a value; the key is missing or empty"},
		{"address without port is accepted", "[Section]\nListen = '10.0.0.1'", `f.toml:2: Section.Listen: expected an IP address and port, such as "10.0.0.1:8080", not "10.0.0.1"`},
		{"host name is accepted as address", "Section.Listen = 'localhost:80'", `f.toml:1: Section.Listen: expected an IP address and port, such as "10.0.0.1:8080", not "localhost:80"`},
		{"missing address of a row is accepted", "[[Rows]]\nCount = 1", "f.toml:1: Rows[0].Listen: expected a value; the key is missing or empty"},
		{"zero passes as a count", "\n[Section]\nCount = 0", "f.toml:3: Section.Count: expected a value above zero"},
		{"scalar hides a table", "Section = 1", "f.toml:1: Section: expected a table"},
		{"number overflows its field", "Small = 300", "f.toml:1: Small: expected a whole number that is not negative"},
		{"not a number passes as a rate", "Rate = nan", "f.toml:1: Rate: expected a finite number"},
		{"check of the struct is skipped", "[Section]\nWait = '2h'", "f.toml:2: Section.Wait: expected at most 1h"},
		{"only the first fault is reported", "Small = 'a'\nName = 3\n[Section]\nBad = 1", "f.toml:1: Small: expected a whole number that is not negative\nf.toml:2: Name: expected a string\nf.toml:4: Section.Bad: unknown key; expected one of Listen, Wait, Count"},
		{"syntax fault hides the faults before it", "Name = 3\nRate = = 1", "f.toml:1: Name: expected a string\nf.toml:2: not valid TOML: "},
		{"duplicate key is accepted", "Name = 'a'\nName = 'b'", "f.toml:2: not valid TOML: "},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(row.text)
			var faults Faults
			is.True(errors.As(err, &faults))
			is.Equal(err.Error()[:min(len(row.want), len(err.Error()))], row.want)
			is.True(len(err.Error()) == len(row.want) || row.want[len(row.want)-2:] == ": ")
		})
	}
}

// Guards against values that are lost or assigned to a wrong field.
func TestValues(t *testing.T) {
	is := is.New(t)
	s, err := parse("Name = \"a\"\nRate = 1_000\nSection = { Listen = '10.0.0.1:80', Wait = '250ms', Count = 0x10 }\n[[Rows]]\nListen='[::1]:9'\nCount=2\n")
	is.NoErr(err)
	is.Equal(s, sample{
		Name: "a", Rate: 1000,
		Section: section{Listen: "10.0.0.1:80", Wait: Duration(250 * time.Millisecond), Count: 16},
		Rows:    []section{{Listen: "[::1]:9", Count: 2}},
	})
}

// Guards against a panic, and against a file that is accepted though it is not valid
// TOML.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"Name = 'a'", "[Section]\nWait = '2s'", "[[Rows]]\nCount = 1", "Section = {Count = 1}", "a.b = [1, {c = 2}]", "Section = 1\n[Section.x]"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := parse(text)
		if strict := toml.Unmarshal([]byte(text), &map[string]any{}); strict != nil && err == nil {
			t.Fatalf("accepted a file that is not valid TOML: %v", strict)
		}
	})
}
