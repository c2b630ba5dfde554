package catalogue

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Upper bounds of the checked fields. They lie well above the design scale of
// 40,000 requests/s and 9.5 M tokens/s; a larger value is a typing error.
const (
	maxNameLength      = 128
	maxRequestsPerSec  = 1e6
	maxTokensPerSec    = 1e9
	maxStreams         = 1_000_000
	maxMilliseconds    = 600_000
	maxLayers          = 10_000
	maxMaxTokens       = 10_000_000
	maxReplicas        = 100_000
	maxActivationBytes = 1 << 30
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// emptyTokenHash is the SHA-256 of the empty token. An account with this hash would
// match every caller without a token.
const emptyTokenHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Fault is one invalid field of an entry.
type Fault struct {
	Field   string
	Problem string
}

// String returns the field and the problem as one line.
func (f Fault) String() string { return f.Field + ": " + f.Problem }

// checker collects the faults of one entry.
type checker struct{ faults []Fault }

// Check returns all faults of an entry; an empty result means that the entry may be
// written.
func Check(e *Entry) []Fault {
	c := &checker{}
	c.checkCommon(e)
	c.checkLimits(e.Limits)
	c.checkParts(e)
	if e.Model != nil {
		c.checkModel(e.Model)
	}
	if e.Service != nil {
		c.checkService(e.Service)
	}
	if e.Account != nil {
		c.checkAccount(e.Account)
	}
	return c.faults
}

// CheckRanges returns the numbers of an entry that are negative or above the upper bound
// of their field. Daemons allocate memory for each layer and multiply times, so an entry
// with such a number, as another writer may leave it, must not be used.
func CheckRanges(e *Entry) []Fault {
	c := &checker{}
	c.checkRange("DrainMs", float64(e.DrainMs), 0, maxMilliseconds)
	c.checkLimits(e.Limits)
	if e.Model != nil {
		c.checkModelRanges(e.Model, 0)
	}
	if e.Service != nil {
		c.checkRange("Service.TimeoutMs", float64(e.Service.TimeoutMs), 0, maxMilliseconds)
	}
	return c.faults
}

func (c *checker) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) checkRange(field string, v, low, high float64) {
	// The negated comparison also rejects NaN.
	if !(v >= low && v <= high) {
		c.addFault(field, "is %v, must be between %v and %v", v, low, high)
	}
}

func (c *checker) checkCommon(e *Entry) {
	if !namePattern.MatchString(string(e.Name)) || len(e.Name) > maxNameLength {
		c.addFault("Name", "must have 1 to %d letters, digits, dots, underscores or hyphens and start with a letter or digit", maxNameLength)
	}
	if strings.TrimSpace(e.Owner) == "" || len(e.Owner) > maxNameLength {
		c.addFault("Owner", "must have 1 to %d characters", maxNameLength)
	}
	if !slices.Contains([]Class{ClassInteractive, ClassStandard, ClassBatch}, e.Class) {
		c.addFault("Class", "is %q, must be %s, %s or %s", e.Class, ClassInteractive, ClassStandard, ClassBatch)
	}
	c.checkRange("DrainMs", float64(e.DrainMs), 0, maxMilliseconds)
}

func (c *checker) checkLimits(l Limits) {
	c.checkRange("Limits.RequestsPerSecond", l.RequestsPerSecond, 0, maxRequestsPerSec)
	c.checkRange("Limits.TokensPerSecond", l.TokensPerSecond, 0, maxTokensPerSec)
	c.checkRange("Limits.ConcurrentStreams", float64(l.ConcurrentStreams), 0, maxStreams)
	c.checkRange("Limits.QueueShare", l.QueueShare, 0, 1)
}

func (c *checker) checkParts(e *Entry) {
	parts := []struct {
		kind    Kind
		present bool
	}{
		{KindModel, e.Model != nil},
		{KindService, e.Service != nil},
		{KindAccount, e.Account != nil},
	}
	known := false
	for _, p := range parts {
		known = known || p.kind == e.Kind
		switch {
		case p.kind == e.Kind && !p.present:
			c.addFault(string(p.kind), "is missing from an entry of kind %s", e.Kind)
		case p.kind != e.Kind && p.present:
			c.addFault(string(p.kind), "does not belong to an entry of kind %q", e.Kind)
		}
	}
	if !known {
		c.addFault("Kind", "is %q, must be %s, %s or %s", e.Kind, KindModel, KindService, KindAccount)
	}
}

// checkModelRanges checks the numbers of a model, of which the least number of layers and
// tokens is given.
func (c *checker) checkModelRanges(m *Model, least float64) {
	c.checkRange("Model.Layers", float64(m.Layers), least, maxLayers)
	c.checkRange("Model.MaxTokens", float64(m.MaxTokens), least, maxMaxTokens)
	c.checkRange("Model.Replicas", float64(m.Replicas), 0, maxReplicas)
	c.checkRange("Model.ActivationBytes", float64(m.ActivationBytes), 0, maxActivationBytes)
}

func (c *checker) checkModel(m *Model) {
	c.checkModelRanges(m, 1)
	c.checkSet("Model.Adapters", m.Adapters, func(s string) bool { return namePattern.MatchString(s) }, "is not a name")
}

func (c *checker) checkService(s *Service) {
	isMethod := func(m string) bool { return slices.Contains(methods, m) }
	c.checkSet("Service.IdempotentMethods", s.IdempotentMethods, isMethod, "is not an HTTP method in capital letters")
	c.checkSet("Service.IdempotentPaths", s.IdempotentPaths, validPath, "is not a path prefix that starts with / and has no query, fragment, empty or dot segment")
	c.checkRange("Service.TimeoutMs", float64(s.TimeoutMs), 0, maxMilliseconds)
}

func validPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?# \t\r\n") || strings.Contains(p, "//") {
		return false
	}
	return !slices.ContainsFunc(strings.Split(p, "/"), func(s string) bool { return s == "." || s == ".." })
}

func (c *checker) checkAccount(a *Account) {
	switch {
	case !hashPattern.MatchString(a.TokenHash):
		c.addFault("Account.TokenHash", "must be a SHA-256 of 64 lower-case hexadecimal digits")
	case a.TokenHash == emptyTokenHash:
		c.addFault("Account.TokenHash", "is the hash of the empty token")
	}
}

func (c *checker) checkSet(field string, values []string, valid func(string) bool, problem string) {
	seen := map[string]bool{}
	for _, v := range values {
		if !valid(v) {
			c.addFault(field, "%q %s", v, problem)
		}
		if seen[v] {
			c.addFault(field, "lists %q twice", v)
		}
		seen[v] = true
	}
}
