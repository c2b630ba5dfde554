package editor

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
)

// RefusedError is the error of a rejected edit. It lists the causes for the operator.
type RefusedError struct {
	// Version is the current version of the entry.
	Version unit.Version
	// Faults are the invalid fields of the edit.
	Faults []catalogue.Fault
	// Conflicts are the fields that a concurrent edit set to other values.
	Conflicts []catalogue.FieldConflict
	// Changes are the edits after the version that the edit expected.
	Changes []catalogue.Change
}

// Error returns all causes in one line.
func (r *RefusedError) Error() string {
	var parts []string
	for _, f := range r.Faults {
		parts = append(parts, f.String())
	}
	for _, c := range r.Conflicts {
		parts = append(parts, fmt.Sprintf("%s: yours %s, theirs %s", c.Field, formatValue(c.Yours), formatValue(c.Theirs)))
	}
	for _, c := range r.Changes {
		parts = append(parts, fmt.Sprintf("version %d by %s changed %s", c.Version, c.By, strings.Join(c.Fields, ", ")))
	}
	return strings.Join(parts, "; ")
}

func formatValue(v []byte) string {
	if len(v) == 0 {
		return "not set"
	}
	return string(v)
}

func invalidEntry(f []catalogue.Fault) error {
	r := &RefusedError{Faults: f}
	v := verdict.New(verdict.NotRun, verdict.BadRequest, "entry has %d faults", len(f))
	v.Err = r
	return v
}

// conflict returns the error of an edit that expected another version. It lists the
// edits after the expected version.
func conflict(current *catalogue.Entry, expected unit.Version, fields []catalogue.FieldConflict) error {
	r := &RefusedError{Version: version(current), Conflicts: fields}
	if current != nil {
		for _, c := range current.History {
			if c.Version > expected {
				r.Changes = append(r.Changes, c)
			}
		}
	}
	state := "has"
	if current != nil && current.Deleted {
		state = "is deleted and has"
	}
	v := verdict.New(verdict.NotRun, verdict.Conflict, "entry %s version %d, edit expected %d", state, r.Version, expected)
	v.Err = r
	return v
}

// checkFieldsUnchanged fails if a field that an edit changes was also changed after the
// expected version, or if the history does not reach back that far.
func checkFieldsUnchanged(current, next *catalogue.Entry, expected unit.Version) error {
	if expected == current.Version {
		return nil
	}
	edited, err := catalogue.Diff(current, next)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	covered := unit.Version(0)
	for _, c := range current.History {
		if c.Version <= expected {
			continue
		}
		covered++
		if slices.ContainsFunc(c.Fields, func(f string) bool { return slices.Contains(edited, f) }) {
			return conflict(current, expected, nil)
		}
	}
	if expected > current.Version || covered < current.Version-expected {
		return conflict(current, expected, nil)
	}
	return nil
}

// tooManyConflicts returns the error of a patch that lost to concurrent edits maxMerges
// times.
func tooManyConflicts() error {
	return verdict.New(verdict.NotRun, verdict.Conflict, "%d concurrent edits came first", maxMerges).WithRetryAfter(time.Second)
}

func unknownEntry(key catalogue.Key) error {
	return verdict.New(verdict.NotRun, verdict.UnknownEntry, "no entry %s %s", key.Kind, key.Name)
}

func unavailable(err error) error {
	v := verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "platform is unavailable and nothing was changed: %v", err)
	v.Err = err
	return v.WithRetryAfter(retryAfter)
}

func unknownOutcome(id string) error {
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown,
		"outcome of edit %s is unknown; look for its id in the history before repeating it", id).WithRetryAfter(retryAfter)
}
