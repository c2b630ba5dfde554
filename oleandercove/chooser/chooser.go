// Package chooser selects hosts for a key by rendezvous hashing. All daemons with
// the same membership select the same hosts, and the loss of a host moves only
// its own keys.
//
// Usage:
//
//	watchers := chooser.Top("catalogue", hosts, 2)
package chooser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous weight of an id for a key.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Top returns the n ids with the highest scores for the key, highest first.
func Top[T ~string](key string, ids []T, n int) []T {
	type scored struct {
		id    T
		score uint64
	}
	all := make([]scored, 0, len(ids))
	for _, id := range ids {
		all = append(all, scored{id, Score(key, string(id))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]T, 0, min(n, len(all)))
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.id)
	}
	return out
}

// InTop reports whether id is among the n ids with the highest scores for the
// key. It counts the ids with higher scores and doesn't sort.
func InTop[T ~string](key string, id T, ids []T, n int) bool {
	own, better, member := Score(key, string(id)), 0, false
	for _, o := range ids {
		if o == id {
			member = true
			continue
		}
		if s := Score(key, string(o)); s > own || (s == own && o < id) {
			better++
		}
	}
	return member && better < n
}
