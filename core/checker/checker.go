// Package checker checks a configuration before operators send it, and says what it would change.
//
// Check finds three kinds of faults, as a pure function of a configuration:
//
//   - errors: entries that a daemon skips or can't use;
//   - entries that can never match: a route behind another one, a host with a port, a service without
//     routes, an account without a key;
//   - limits that contradict each other, such as a timeout below the objective.
//
// Compare lists what differs from the version in force, entry by entry, with its effect.
//
// The time is proportional to the number of entries.
//
// Usage:
//
//	findings := checker.Check(candidate)
//	findings = append(findings, checker.Compare(inForce, candidate)...)
package checker

import (
	"fmt"

	"oleandercove.example/core/routing"
)

// Severity is how much a finding matters.
type Severity string

const (
	// Error means that an entry has no effect, or not the one that it states.
	Error Severity = "Error"
	// Warning means that an entry can never match, or contradicts another one.
	Warning Severity = "Warning"
	// Change means that an entry differs from the version in force.
	Change Severity = "Change"
)

// Kind is the kind of an entry.
type Kind string

// The kinds of entries of a configuration.
const (
	KindConfiguration Kind = "Configuration"
	KindRoute         Kind = "Route"
	KindService       Kind = "Service"
	KindAccount       Kind = "Account"
	KindLimits        Kind = "Limits"
)

// Subject is the entry that a finding is about.
type Subject struct {
	Kind Kind
	// Index is the position of the entry among those of its kind.
	Index int
	Name  string
	// Field is the field of the entry; empty for the whole entry.
	Field string
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Subject
	Detail string
}

// findings collects results.
type findings []Finding

func (f *findings) add(s Severity, at Subject, field, format string, args ...any) {
	at.Field = field
	*f = append(*f, Finding{Severity: s, Subject: at, Detail: fmt.Sprintf(format, args...)})
}

// Check returns the faults of a configuration, in the order of its entries.
func Check(c *routing.Configuration) []Finding {
	var out findings
	out.checkRoutes(c)
	out.checkServices(c)
	out.checkAccounts(c)
	out.checkLimits(c.Limits)
	return out
}

// checkLimits checks the limits on requests of callers.
func (f *findings) checkLimits(l routing.Limits) {
	at := Subject{Kind: KindLimits}
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.add(Error, at, "", "a limit is negative")
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		f.add(Warning, at, "IdleTimeout", "%s is below HeaderTimeout %s, so a connection is closed while a caller may still send its headers", l.IdleTimeout, l.HeaderTimeout)
	}
	if l.HeaderBytes > routing.MaxHeaderBytes {
		f.add(Warning, at, "HeaderBytes", "%d is above the %d bytes that a daemon reads at most", l.HeaderBytes, routing.MaxHeaderBytes)
	}
}

// index holds the first position of each name.
type index map[string]int

// addUnique records a name. It reports the position of an earlier entry with the name.
func (x index) addUnique(name string, at int) (first int, unique bool) {
	if first, ok := x[name]; ok {
		return first, false
	}
	x[name] = at
	return at, true
}
