// Package rationer limits the data that the requests of one daemon transfer between
// data centres.
//
// All requests that cross data centres share a link that carries one transfer after
// another. Beyond its rate every token of every such request waits, and streams stall
// all over the site while they keep their memory. Each daemon therefore has a token
// bucket that fills at its part of the rate of the link, which is its part of the requests:
//
//   - a new request may cross while the bucket is filled beyond a reserve;
//   - a resumed request may cross while the bucket isn't empty.
//
// Load pattern: after the loss of some engines the copies of several data centres
// lack layers or capacity at once, and most requests would cross. A request that can't
// cross any more is better refused at once, so that its caller can retry.
//
// Usage:
//
//	r := rationer.New(rationer.Options{Part: b.Part, Timer: t})
//	if r.Allows("assistant", link, rationer.NewRequest) {
//		r.Spend(megabits)
//	}
package rationer

import (
	"sync"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/timer"
)

const (
	// linkShare is the share of the link that daemons may use together. It is divided
	// among the daemons with activeShare of the requests; those with more seldom need the
	// link at the same time.
	linkShare   = 0.8
	activeShare = 0.5
	// burstTime is the time in which an empty bucket fills up.
	burstTime = time.Second
	// resumeShare is the share of the bucket that is reserved for requests that have
	// begun and lost an engine.
	resumeShare = 0.5
)

// Megabits is an amount of data on a link.
type Megabits float64

// Purpose is what a transfer over the link is for.
type Purpose int

const (
	// NewRequest stands for a request that has not begun; another daemon or a later
	// attempt may serve it.
	NewRequest Purpose = iota
	// ResumedRequest stands for a request whose caller already has a part of the response.
	ResumedRequest
)

// Options configures a Rationer.
type Options struct {
	// Part returns the part of this daemon in the requests of the fleet for a service, from 0
	// to 1.
	Part  func(routing.ServiceName) float64
	Timer timer.Service
}

// Rationer decides whether a request of this daemon may cross the link. It is safe for
// concurrent use.
type Rationer struct {
	Options
	mu     sync.Mutex
	bucket bucket
}

// bucket is a token bucket in megabits. One request may overdraw it.
type bucket struct {
	available  Megabits
	refilledAt time.Time
}

// refill adds the data for the time since the last refill, up to the capacity of the
// bucket. A new bucket is full.
func (b *bucket) refill(rate routing.MegabitsPerSecond, now time.Time) {
	capacity := Megabits(float64(rate) * burstTime.Seconds())
	if b.refilledAt.IsZero() {
		b.available = capacity
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.available = min(capacity, b.available+Megabits(float64(rate)*min(elapsed, time.Minute).Seconds()))
	}
	b.refilledAt = now
}

// allows reports whether a request may cross now.
func (b *bucket) allows(rate routing.MegabitsPerSecond, purpose Purpose) bool {
	if purpose == ResumedRequest {
		return b.available > 0
	}
	return b.available > Megabits(resumeShare*float64(rate)*burstTime.Seconds())
}

// New returns a Rationer with a full bucket.
func New(o Options) *Rationer { return &Rationer{Options: o} }

// Allows reports whether a request for a service may cross a link with the given rate now. A
// rate of 0 means no bound.
func (r *Rationer) Allows(s routing.ServiceName, link routing.MegabitsPerSecond, purpose Purpose) bool {
	if link <= 0 {
		return true
	}
	rate := daemonRate(link, r.Part(s))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bucket.refill(rate, r.Timer.Now())
	return r.bucket.allows(rate, purpose)
}

// Spend subtracts from the bucket the data that a request transfers, in megabits.
func (r *Rationer) Spend(m Megabits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bucket.available -= m
}

// daemonRate returns the rate that a daemon may use on a link, given its part of the requests.
func daemonRate(link routing.MegabitsPerSecond, part float64) routing.MegabitsPerSecond {
	return routing.MegabitsPerSecond(linkShare * float64(link) * min(1, part/activeShare))
}
