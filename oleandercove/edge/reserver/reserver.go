// Package reserver bounds the memory that the bodies of all requests take together.
//
// Load pattern: most daemons of a fleet are lost, and all callers with large bodies meet at the
// last one, which has the memory of a small host. A daemon that ends for lack of memory loses
// every request that it has passed on, so a body that doesn't fit is refused before it is read.
//
//   - A body is reserved whole before it is read, or as it grows if its length is unknown.
//   - A part of the memory is for small bodies only, so that a few large ones don't stop the
//     requests of all other callers.
//
// A Reserver is safe for concurrent use and never blocks.
//
// Usage:
//
//	r := reserver.New(64 << 20)
//	if !r.Reserve(0, length) {
//		return refuse()
//	}
//	defer r.Release(length)
package reserver

import "sync"

const (
	// smallBody is the size in bytes up to which a body is small.
	smallBody = 64 << 10
	// smallShare is the share of the memory that only small bodies get.
	smallShare = 0.25
)

// Reserver counts the memory that is reserved, in bytes.
type Reserver struct {
	limit int64
	mu    sync.Mutex
	used  int64
}

// New returns a Reserver of limit bytes.
func New(limit int64) *Reserver { return &Reserver{limit: limit} }

// Reserve extends the memory of a body from held to size bytes and reports whether that is
// reserved. Otherwise nothing has changed.
func (r *Reserver) Reserve(held, size int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := r.used + size - held
	if used > limitFor(r.limit, size) {
		return false
	}
	r.used = used
	return true
}

// limitFor returns how much memory of a limit may be in use with a body of the size.
func limitFor(limit, size int64) int64 {
	if size <= smallBody {
		return limit
	}
	return limit - int64(smallShare*float64(limit))
}

// Release returns the memory of a body.
func (r *Reserver) Release(size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= size
}

// Used returns the bytes that are reserved.
func (r *Reserver) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}
