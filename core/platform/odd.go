package platform

import (
	"oleandercove.example/core/logger"
	"oleandercove.example/core/unit"
)

// OddObjects holds the revisions of the odd objects of one kind that have been logged, by
// their shortened names, so that each change of one is logged once. An odd object is one
// that can't be used, as another writer may leave it.
type OddObjects map[string]unit.Revision

// Add records an odd object and reports whether it is new or has changed.
func (x OddObjects) Add(o Object) bool {
	name := logger.Shorten(o.Name)
	revision, ok := x[name]
	x[name] = o.Revision
	return !ok || revision != o.Revision
}

// Remove forgets an object that has been removed or is sound again.
func (x OddObjects) Remove(o Object) { delete(x, logger.Shorten(o.Name)) }

// Keep forgets all objects that are not in a complete list.
func (x OddObjects) Keep(list []Object) {
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
