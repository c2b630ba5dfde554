package directory

import (
	"strings"

	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// maxLogged bounds the texts of another writer that go into a log line, in bytes.
const maxLogged = 200

// shorten cuts a text that is too long for a log line.
func shorten(text string) string {
	if len(text) <= maxLogged {
		return text
	}
	return strings.ToValidUTF8(text[:maxLogged], "") + "..."
}

// oddEntries holds the revisions of the odd registry entries that have been logged, by
// their shortened names, so that each change of one is logged once.
type oddEntries map[string]unit.Revision

// add records an odd entry and reports whether it is new or has changed.
func (x oddEntries) add(o objects.Object) bool {
	name := shorten(o.Name)
	revision, ok := x[name]
	x[name] = o.Revision
	return !ok || revision != o.Revision
}

// remove forgets an entry that has been removed or is sound again.
func (x oddEntries) remove(o objects.Object) { delete(x, shorten(o.Name)) }

// keep forgets all entries that are not in a complete list.
func (x oddEntries) keep(list []objects.Object) {
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[shorten(o.Name)] = true
	}
	for name := range x {
		if !listed[name] {
			delete(x, name)
		}
	}
}
