// Package retainer keeps values for a limited time in limited memory.
//
// Values are held in two generations. A value is kept for at least the time of its Retainer
// and at most twice as long; the older generation is dropped as a whole, so that nothing is
// searched for expired values. If a generation is full, the older one is dropped early.
//
// A Retainer has no clock and no lock: the caller passes the time and synchronises calls.
//
// Usage:
//
//	r := retainer.New[string, int](30*time.Second, 4096)
//	r.Set("a", 1, now)
//	n, ok := r.Get("a", now)
package retainer

import "time"

// Retainer keeps values by key.
type Retainer[K comparable, V any] struct {
	keep       time.Duration
	limit      int
	young, old map[K]V
	// rotatedAt is when the younger generation last became the older one.
	rotatedAt time.Time
}

// New returns a Retainer that keeps each value for at least the given time, with at most limit
// values in each of the two generations.
func New[K comparable, V any](keep time.Duration, limit int) *Retainer[K, V] {
	return &Retainer[K, V]{keep: keep, limit: limit, young: map[K]V{}}
}

// Set stores a value.
func (r *Retainer[K, V]) Set(k K, v V, now time.Time) {
	r.rotate(now)
	if _, ok := r.young[k]; !ok && len(r.young) >= r.limit {
		r.old, r.young, r.rotatedAt = r.young, map[K]V{}, now
	}
	r.young[k] = v
}

// Get returns the value that was stored last, if it is kept.
func (r *Retainer[K, V]) Get(k K, now time.Time) (V, bool) {
	r.rotate(now)
	if v, ok := r.young[k]; ok {
		return v, true
	}
	v, ok := r.old[k]
	return v, ok
}

// Len returns the number of values in both generations.
func (r *Retainer[K, V]) Len() int { return len(r.young) + len(r.old) }

// rotate drops the generations that are too old.
func (r *Retainer[K, V]) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	switch {
	case age >= 2*r.keep:
		r.young, r.old, r.rotatedAt = map[K]V{}, nil, now
	case age >= r.keep:
		r.old, r.young, r.rotatedAt = r.young, map[K]V{}, now
	}
}
