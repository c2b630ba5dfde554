// Package loader reads strict TOML files into structs.
//
// Keys are written exactly as the fields of the struct, in Pascal case. One run
// reports all faults of a file, sorted by line, each with the file, the line, the
// key and the expected value.
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

// Duration is a time.Duration that files hold as a string with a unit, such as "2s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration in the form that files hold.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalText parses a duration with a unit. It returns the error of
// time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Expected describes a valid value for a fault.
func (Duration) Expected() string { return `a duration with a unit, such as "2s"` }

// Problem is a failed check of one key of a struct.
type Problem struct {
	Key      string
	Expected string
}

// Checker is implemented by structs with checks that tags can't express.
type Checker interface {
	// Check returns all problems; their keys are field names of the struct.
	Check() []Problem
}

// Fault is one fault of a file; Key is empty if it concerns no key.
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

// Faults holds all faults of a file, sorted by line.
type Faults []Fault

// Error formats the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads the file into the struct that v points to. Fields without a key in the
// file keep their values. An error that is not a Faults means that the file could not
// be read.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(path, data, v)
}

// Parse reads data into the struct that v points to; name is the file name in faults.
// Its error is a Faults.
func Parse(name string, data []byte, v any) error {
	r := &reader{file: name}
	r.checkSyntax(data)
	// The rest of the file after a syntax fault is not parsed, so a key that is
	// absent from the tree may still be present in the file.
	r.partial = len(r.faults) > 0
	r.assignTable(buildTree(data), "", reflect.ValueOf(v).Elem())
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return r.faults
}

// reader assigns the values of one file to a struct and collects the faults. It is
// partial if the file has a syntax fault, so that the tree may lack keys.
type reader struct {
	file    string
	partial bool
	faults  Faults
}

func (r *reader) addFault(line int, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Key: key, Expected: fmt.Sprintf(format, args...)})
}

// checkSyntax reports the first syntax fault or duplicate key.
func (r *reader) checkSyntax(data []byte) {
	err := toml.Unmarshal(data, &map[string]any{})
	if err == nil {
		return
	}
	line := 1
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, _ = d.Position()
	}
	r.addFault(max(line, 1), "", "not valid TOML: %s", strings.TrimPrefix(err.Error(), "toml: "))
}
