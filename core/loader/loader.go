// Package loader reads strict TOML files into structs.
//
// Keys are written exactly as the fields of the struct, in Pascal case. All
// faults of a file are reported in one run, sorted by line, each with the file,
// the line, the key and what was expected.
//
// Field tags add checks: `check:"required"`, `check:"address"` (IP address and
// port), `check:"positive"` (number or duration above zero), joined by commas.
// A struct that implements Checker adds checks of its own.
//
// Usage:
//
//	s := Settings{Limit: loader.Duration(30 * time.Second)}
//	err := loader.Load("entry-1.toml", &s)
package loader

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a length of time; files hold it as a string with a unit, such as
// "2s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration as files hold it.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Expected describes a valid value.
func (Duration) Expected() string { return `a duration with a unit, such as "2s"` }

// Problem is a failed check of one key of a struct.
type Problem struct {
	Key      string
	Expected string
}

// Checker is implemented by structs with checks that tags can't express.
type Checker interface {
	// Check returns all problems; keys are field names of the struct.
	Check() []Problem
}

// Fault is one fault of a file.
type Fault struct {
	File     string
	Line     int
	Key      string
	Expected string
}

// Error formats the fault as one line.
func (f Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Expected)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Expected)
}

// Faults are all faults of a file, sorted by line.
type Faults []Fault

// Error formats one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads the file into the struct that v points to. Fields without a key
// keep their values. An error that is not a Faults means that the file can't
// be read.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(path, data, v)
}

// Parse reads data into the struct that v points to; name stands for the file
// in faults.
func Parse(name string, data []byte, v any) error {
	r := &reader{file: name}
	r.syntax(data)
	// After a syntax fault the rest of the file is unknown, so a key that is
	// absent from the tree may still be present in the file.
	r.partial = len(r.faults) > 0
	r.table(build(data), "", reflect.ValueOf(v).Elem())
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return r.faults
}

// reader collects the faults of one file.
type reader struct {
	file    string
	partial bool
	faults  Faults
}

func (r *reader) fault(line int, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Key: key, Expected: fmt.Sprintf(format, args...)})
}

// syntax reports the first syntax fault or doubled key.
func (r *reader) syntax(data []byte) {
	err := toml.Unmarshal(data, &map[string]any{})
	if err == nil {
		return
	}
	line := 1
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, _ = d.Position()
	}
	r.fault(max(line, 1), "", "not valid TOML: %s", strings.TrimPrefix(err.Error(), "toml: "))
}
