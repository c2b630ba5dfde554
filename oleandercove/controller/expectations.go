package controller

import (
	"sync"
	"time"

	"oleandercove.example/core/timer"
)

// Expectations holds what was ordered until the status shows it. A decision on a
// status from before the order would repeat the order or choose another target
// for the same work. Its methods are safe for concurrent use.
type Expectations[K comparable, V any] struct {
	timer   timer.Service
	timeout time.Duration

	mu      sync.Mutex
	entries map[K]expectation[V]
}

type expectation[V any] struct {
	value     V
	expiresAt time.Time
}

// NewExpectations returns an empty set. An expectation that isn't fulfilled within the
// timeout is dropped, so that a lost order is sent again.
func NewExpectations[K comparable, V any](t timer.Service, timeout time.Duration) *Expectations[K, V] {
	return &Expectations[K, V]{timer: t, timeout: timeout, entries: map[K]expectation[V]{}}
}

// Expect adds the expectation of a value for a key, or replaces it.
func (e *Expectations[K, V]) Expect(key K, value V) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries[key] = expectation[V]{value: value, expiresAt: e.timer.Now().Add(e.timeout)}
}

// Get returns the expected value of a key, or false if there is none or it has
// timed out.
func (e *Expectations[K, V]) Get(key K) (V, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.entries[key]
	if ok && !e.timer.Now().Before(r.expiresAt) {
		delete(e.entries, key)
		ok = false
	}
	return r.value, ok
}

// Fulfil drops the expectation of a key because the status shows it.
func (e *Expectations[K, V]) Fulfil(key K) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.entries, key)
}

// Clear drops all expectations, as after the loss of a lease.
func (e *Expectations[K, V]) Clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.entries)
}
