package directory

import (
	"oleandercove.example/core/logger"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// oddEntries holds the revisions of the odd registry entries that have been logged, by
// their shortened names, so that each change of one is logged once.
type oddEntries map[string]unit.Revision

// add records an odd entry and reports whether it is new or has changed.
func (x oddEntries) add(o objects.Object) bool {
	name := logger.Shorten(o.Name)
	revision, ok := x[name]
	x[name] = o.Revision
	return !ok || revision != o.Revision
}

// remove forgets an entry that has been removed or is sound again.
func (x oddEntries) remove(o objects.Object) { delete(x, logger.Shorten(o.Name)) }

// keep forgets all entries that are not in a complete list.
func (x oddEntries) keep(list []objects.Object) {
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[logger.Shorten(o.Name)] = true
	}
	for name := range x {
		if !listed[name] {
			delete(x, name)
		}
	}
}
