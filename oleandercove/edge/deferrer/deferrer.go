// Package deferrer decides when callers that were refused for lack of capacity should
// retry.
//
// A Deferrer keeps, for each service, the chance that a request is admitted: a moving
// average over recent requests, retries by callers included.
//
//   - While the chance is good, capacity frees all the time. The caller should retry
//     while its response can still be on time; a later retry would have the same chance.
//   - While it is poor, most capacity is gone, and a retry makes sense after a repair.
//
// Load pattern: for some seconds several times more requests arrive than fit. If refused
// callers return after their objective, they take capacity from new callers, who become
// the next to return, and most responses are late while no more are served. If a copy of
// the model is lost, callers that return at once are refused for good before the repair.
//
// Usage:
//
//	d := deferrer.New()
//	d.Record(service, true, now)
//	delay := d.RetryAfter(service, objective)
package deferrer

import (
	"math"
	"sync"
	"time"

	"oleandercove.example/core/routing"
)

const (
	// goodChance is the chance of admission from which callers retry within their
	// objective.
	goodChance = 0.1
	// objectiveShare is the share of the objective after which such a caller retries. A
	// random extension up to the same time still leaves time for the first event.
	objectiveShare = 0.3
	// repairDelay is when callers retry while the chance is poor. The replacement of a lost
	// engine takes some seconds.
	repairDelay = 1500 * time.Millisecond
	// averagingTime is the time constant of the moving average.
	averagingTime = 500 * time.Millisecond
)

// admissions holds decaying counts of requests.
type admissions struct {
	admitted, refused float64
	at                time.Time
}

// decay lowers the counts for the time since the last change.
func (a *admissions) decay(now time.Time) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(averagingTime))
		a.admitted *= factor
		a.refused *= factor
		a.at = now
	}
}

// chance returns the share of admitted requests, or 0 without any request.
func (a *admissions) chance() float64 {
	if n := a.admitted + a.refused; n > 0 {
		return a.admitted / n
	}
	return 0
}

// Deferrer decides when callers should retry. It is safe for concurrent use.
type Deferrer struct {
	mu       sync.Mutex
	services map[routing.ServiceName]*admissions
}

// New returns a Deferrer without counts.
func New() *Deferrer { return &Deferrer{services: map[routing.ServiceName]*admissions{}} }

// Record counts a request that was admitted or refused for lack of capacity.
func (d *Deferrer) Record(s routing.ServiceName, admitted bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.services[s]
	if a == nil {
		a = &admissions{at: now}
		d.services[s] = a
	}
	a.decay(now)
	if admitted {
		a.admitted++
	} else {
		a.refused++
	}
}

// RetryAfter returns the shortest time after which a caller that was refused should retry.
// The objective is the latency objective of its route; 0 means none.
func (d *Deferrer) RetryAfter(s routing.ServiceName, objective time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	chance := 0.0
	if a := d.services[s]; a != nil {
		chance = a.chance()
	}
	return delay(chance, objective)
}

// delay returns when a caller should retry, for a chance of admission.
func delay(chance float64, objective time.Duration) time.Duration {
	if objective > 0 && chance >= goodChance {
		return time.Duration(objectiveShare * float64(objective))
	}
	return repairDelay
}
