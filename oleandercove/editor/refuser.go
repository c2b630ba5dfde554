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

// Refused is the cause of an edit that was refused, for the operator.
type Refused struct {
	// Version is the current version of the entry.
	Version   unit.Version
	Faults    []catalogue.Fault
	Conflicts []catalogue.FieldConflict
	Changes   []catalogue.Change
}

// Error returns the cause as one line.
func (r *Refused) Error() string {
	var parts []string
	for _, f := range r.Faults {
		parts = append(parts, f.String())
	}
	for _, c := range r.Conflicts {
		parts = append(parts, fmt.Sprintf("%s: yours %s, theirs %s", c.Field, value(c.Yours), value(c.Theirs)))
	}
	for _, c := range r.Changes {
		parts = append(parts, fmt.Sprintf("version %d by %s changed %s", c.Version, c.By, strings.Join(c.Fields, ", ")))
	}
	return strings.Join(parts, "; ")
}

func value(v []byte) string {
	if len(v) == 0 {
		return "not set"
	}
	return string(v)
}

func invalid(f []catalogue.Fault) error {
	r := &Refused{Faults: f}
	v := verdict.New(verdict.NotRun, verdict.BadRequest, "entry has %d faults", len(f))
	v.Err = r
	return v
}

// conflict reports the edits after the version that the loser expected.
func conflict(current *catalogue.Entry, expected unit.Version, fields []catalogue.FieldConflict) error {
	r := &Refused{Version: version(current), Conflicts: fields}
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

// untouched fails if a field that an edit changes was also changed after the
// expected version, or if the history does not reach back that far.
func untouched(current, next *catalogue.Entry, expected unit.Version) error {
	if expected == current.Version {
		return nil
	}
	mine, err := catalogue.Diff(current, next)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	covered := unit.Version(0)
	for _, c := range current.History {
		if c.Version <= expected {
			continue
		}
		covered++
		if slices.ContainsFunc(c.Fields, func(f string) bool { return slices.Contains(mine, f) }) {
			return conflict(current, expected, nil)
		}
	}
	if expected > current.Version || covered < current.Version-expected {
		return conflict(current, expected, nil)
	}
	return nil
}

// contended reports a patch that lost every race within its limit.
func contended() error {
	return verdict.New(verdict.NotRun, verdict.Conflict, "%d concurrent edits came first", maxMerges).After(time.Second)
}

func unknownEntry(key catalogue.Key) error {
	return verdict.New(verdict.NotRun, verdict.UnknownEntry, "no entry %s %s", key.Kind, key.Name)
}

func unavailable(err error) error {
	v := verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "platform is unavailable and nothing was changed: %v", err)
	v.Err = err
	return v.After(retryAfter)
}

func unknownOutcome(id string) error {
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown,
		"outcome of edit %s is unknown; look for its id in the history before repeating it", id).After(retryAfter)
}
