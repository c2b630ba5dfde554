package imitator

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// headerEra states the era of the store in all its answers.
const headerEra = "Store-Era"

// firstEra is the era of a store that has never come back from a copy.
const firstEra = 1

// rewriteDelay is how long after the store is back the backend servers write their entries again.
const rewriteDelay = 200 * time.Millisecond

// Copy is a copy of all that the store holds at one time.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
	changes  []change
}

// Copy returns a copy of all that the store holds now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, objects: map[string]map[string]object{}, changes: slices.Clone(s.changes)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Revision returns the number of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// stepBack takes the store away for a time and brings it back from a copy, in the next era. Its
// watches are cut.
func (s *Store) stepBack(c Copy, away time.Duration) {
	s.mu.Lock()
	s.away = true
	s.wakeWatchers()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.changes, s.objects = c.revision, slices.Clone(c.changes), map[string]map[string]object{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.era++
	s.away = false
	s.wakeWatchers()
}

// stateEra sets the header that states the era, and reports whether the store answers.
func (s *Store) stateEra(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
	return !s.away
}

// StepBack takes the store away for a time and brings it back from a copy. What was written since
// the copy is gone; the backend servers write their entries again, the operator does so with
// ConfigureAgain.
func (s *Site) StepBack(c Copy, away time.Duration) {
	s.Store.stepBack(c, away)
	time.AfterFunc(rewriteDelay, s.registerAll)
}

// registerAll writes the entries of all live backend servers.
func (s *Site) registerAll() {
	for _, e := range s.Engines() {
		if e.alive() {
			e.register()
		}
	}
	for _, p := range s.Servers() {
		if !p.withdrawn.Load() {
			p.register()
		}
	}
}

// ConfigureAgain writes the last version of the configuration again.
func (s *Site) ConfigureAgain() {
	s.mu.Lock()
	last := s.configuration
	s.mu.Unlock()
	s.Store.Put(KindConfiguration, "main", last)
}
