package controller

import (
	"sync"
	"time"

	"oleandercove.example/core/timer"
)

// Expectations remember what was ordered until the status shows it, because a
// decision on a status from before the order would order it again or choose
// another target for the same work.
type Expectations[K comparable, V any] struct {
	timer timer.Service
	limit time.Duration

	mu   sync.Mutex
	rows map[K]expectation[V]
}

type expectation[V any] struct {
	value V
	until time.Time
}

// NewExpectations returns an empty set; an expectation that is not met within
// the limit is forgotten, so that a lost order is given again.
func NewExpectations[K comparable, V any](t timer.Service, limit time.Duration) *Expectations[K, V] {
	return &Expectations[K, V]{timer: t, limit: limit, rows: map[K]expectation[V]{}}
}

// Expect remembers a value.
func (e *Expectations[K, V]) Expect(key K, value V) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rows[key] = expectation[V]{value: value, until: e.timer.Now().Add(e.limit)}
}

// Get returns the value that is still expected.
func (e *Expectations[K, V]) Get(key K) (V, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.rows[key]
	if ok && !e.timer.Now().Before(r.until) {
		delete(e.rows, key)
		ok = false
	}
	return r.value, ok
}

// Met forgets an expectation that the status shows.
func (e *Expectations[K, V]) Met(key K) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.rows, key)
}

// Clear forgets all expectations, as after the loss of a lease.
func (e *Expectations[K, V]) Clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.rows)
}
