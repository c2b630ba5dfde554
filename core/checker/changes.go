package checker

import (
	"reflect"
	"slices"
	"strings"

	"oleandercove.example/core/routing"
)

// Compare returns what a candidate changes in the configuration in force, in the order of the
// candidate's entries, with the removed ones last.
func Compare(inForce, candidate *routing.Configuration) []Finding {
	var out findings
	if candidate.Version <= inForce.Version {
		out.add(Error, Subject{Kind: KindConfiguration}, "Version", "%d isn't above the version in force, %d, so daemons ignore it", candidate.Version, inForce.Version)
	}
	compareEntries(&out, KindRoute, inForce.Routes, candidate.Routes, func(r *routing.Route) string { return string(r.Name) }, routeEffect)
	compareEntries(&out, KindService, inForce.Services, candidate.Services, func(s *routing.Service) string { return string(s.Name) }, serviceEffect)
	compareEntries(&out, KindAccount, inForce.Accounts, candidate.Accounts, func(a *routing.Account) string { return string(a.ID) }, accountEffect)
	if inForce.Limits != candidate.Limits {
		out.add(Change, Subject{Kind: KindLimits}, "", "%s", strings.Join(changedFields(inForce.Limits, candidate.Limits), ", "))
	}
	return out
}

// effect says what a change of an entry does. One of the entries is nil if it was added or removed.
type effect[T any] func(before, after *T) string

// compareEntries reports the entries of one kind that were added, changed or removed.
func compareEntries[T any](f *findings, k Kind, before, after []T, name func(*T) string, say effect[T]) {
	old := make(map[string]*T, len(before))
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	for i := range after {
		n := name(&after[i])
		was, ok := old[n]
		delete(old, n)
		if !ok || !reflect.DeepEqual(*was, after[i]) {
			f.add(Change, Subject{Kind: k, Index: i, Name: n}, "", "%s", say(was, &after[i]))
		}
	}
	for i := range before {
		if n := name(&before[i]); old[n] == &before[i] {
			f.add(Change, Subject{Kind: k, Index: -1, Name: n}, "", "%s", say(&before[i], nil))
		}
	}
}

func routeEffect(before, after *routing.Route) string {
	switch {
	case before == nil:
		return "added: requests for " + after.Host + after.Prefix + " are routed"
	case after == nil:
		return "removed: requests for " + before.Host + before.Prefix + " match another route or are answered 404"
	}
	out := changedFields(*before, *after)
	if before.Anonymous && !after.Anonymous {
		out = append(out, "requests without a key are refused")
	}
	if !before.Anonymous && after.Anonymous {
		out = append(out, "requests without a key are served")
	}
	return strings.Join(out, ", ")
}

func serviceEffect(before, after *routing.Service) string {
	switch {
	case before == nil:
		return "added"
	case after == nil:
		return "removed: routes that name it refuse their requests"
	}
	out := changedFields(*before, *after)
	if before.Engine != nil && after.Engine != nil {
		for _, x := range changedFields(*before.Engine, *after.Engine) {
			out = append(out, "Engine."+x)
		}
	}
	return strings.Join(out, ", ")
}

func accountEffect(before, after *routing.Account) string {
	switch {
	case before == nil:
		return "added"
	case after == nil:
		return "removed: the account loses access, and all its keys end"
	}
	var out []string
	if ended := countMissing(before.Keys, after.Keys); ended > 0 {
		out = append(out, plural(ended, "key")+" ended: requests with "+thatOrThose(ended)+" are refused")
	}
	if added := countMissing(after.Keys, before.Keys); added > 0 {
		out = append(out, plural(added, "key")+" added")
	}
	if !reflect.DeepEqual(before.Priority, after.Priority) {
		out = append(out, "Priority "+format(before.Priority)+" to "+format(after.Priority))
	}
	if len(out) == 0 {
		out = append(out, "the order of its keys changed")
	}
	return strings.Join(out, ", ")
}

// countMissing returns the number of keys of a that b lacks.
func countMissing(a, b []routing.AccessKey) int {
	n := 0
	for _, k := range a {
		if !slices.Contains(b, k) {
			n++
		}
	}
	return n
}
