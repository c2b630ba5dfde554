// Package judge rates backend servers by the outcomes of real requests and decides
// which of them are excluded from new requests, and why.
//
//   - A server that does not answer at all is excluded as down for DownTime, on this
//     daemon and on its peers.
//   - A server that answers has a failure share and a response time, both moving
//     averages. The cost of choosing it grows with them.
//   - Failed responses alone never exclude a server, so that some traffic keeps
//     testing whether it has recovered.
//
// Usage:
//
//	j := judge.New()
//	j.RecordSuccess("i-1", 12*time.Millisecond)
//	j.RecordFailure("i-2", now)
//	j.SetDown("i-3", now, now.Add(judge.DownTime))
//	j.SetBackoff(server, 3*time.Second, rand.Float64(), now)
//	if reason, until := j.ExclusionReason(server, running, now); reason == judge.Eligible {
//	}
package judge

import (
	"sync"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

const (
	// DownTime is how long a server that does not answer is excluded. The registry has
	// removed a crashed server by then.
	DownTime = 4 * time.Second
	// AbsentTime is how long an engine is excluded from chains after it reported that
	// it does not hold its stage. By then the registry shows the layers that it holds.
	// While the store is unavailable, one request tries the engine again instead.
	AbsentTime = 1500 * time.Millisecond
	// releaseTime is how long a notice that an engine will release layers is valid.
	// The registry shows the release by then.
	releaseTime = 2 * time.Second
	// fullTime is how long an engine that rejected a request because it was full gets no
	// more load than it had. It spans two beacons, and is short because the engine may
	// have more memory at any moment and a rejection costs a request some milliseconds.
	fullTime = 500 * time.Millisecond
	// outcomeWeight is the share of a new outcome in the moving averages.
	outcomeWeight = 0.2
	// failurePenalty is how much a failure share of 1 adds to the cost factor of a
	// server.
	failurePenalty = 12
	// slowdownTime is how long a reported slowdown is valid. It spans several polls.
	slowdownTime = 3 * time.Second
	// failureHalvingTime is the time without a new failure after which a failure share
	// counts half, so that a server without traffic is tried again.
	failureHalvingTime = 3 * time.Second
)

// rating is the state of one server.
type rating struct {
	downUntil time.Time
	// absentUntil is when the engine may again be expected to hold its layers.
	absentUntil time.Time
	// failureShare is the moving average of failed outcomes, from 0 to 1.
	failureShare float64
	failedAt     time.Time
	latency      time.Duration
	slowdown     float64
	slowUntil    time.Time
	// fullLoad is the load with which the engine rejected a request.
	fullLoad  unit.TokenLayers
	fullUntil time.Time
	// held is the range that the engine holds, kept the part that remains after a
	// release.
	held, kept   backend.Layers
	releaseUntil time.Time
	backoff      backoff
	// exitedUntil is until when the server counts as exited.
	exitedUntil time.Time
}

// Judge rates servers. It is safe for concurrent use.
type Judge struct {
	mu      sync.Mutex
	ratings map[unit.BackendID]*rating
	// onDown is called when a server becomes down; may be nil.
	onDown func(unit.BackendID)
}

// New returns a Judge without ratings.
func New() *Judge { return &Judge{ratings: map[unit.BackendID]*rating{}} }

// OnDown sets the function to call when a server becomes down. Call it before
// the Judge is used.
func (j *Judge) OnDown(fn func(unit.BackendID)) { j.onDown = fn }

func (j *Judge) ratingFor(id unit.BackendID) *rating {
	r := j.ratings[id]
	if r == nil {
		r = &rating{}
		j.ratings[id] = r
	}
	return r
}

// SetDown excludes a server that does not answer. It reports whether the server was not
// down before. A later until extends an exclusion; an earlier one has no effect.
func (j *Judge) SetDown(id unit.BackendID, now, until time.Time) bool {
	j.mu.Lock()
	r := j.ratingFor(id)
	newlyDown := !now.Before(r.downUntil)
	if until.After(r.downUntil) {
		r.downUntil = until
	}
	j.mu.Unlock()
	if newlyDown && j.onDown != nil {
		j.onDown(id)
	}
	return newlyDown
}

// SetAbsent excludes an engine that reported that it does not hold its stage of a chain,
// for example after a restart.
func (j *Judge) SetAbsent(id unit.BackendID, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ratingFor(id).absentUntil = now.Add(AbsentTime)
}

// SetReleasing records that an engine will soon release all layers of held except those
// of kept.
func (j *Judge) SetReleasing(id unit.BackendID, held, kept backend.Layers, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratingFor(id)
	r.held, r.kept, r.releaseUntil = held, kept, now.Add(releaseTime)
}

// UsableLayers returns the layers of held that the engine keeps after an announced
// release.
func (j *Judge) UsableLayers(id unit.BackendID, held backend.Layers, now time.Time) backend.Layers {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratings[id]
	if r == nil || r.held != held || !now.Before(r.releaseUntil) {
		return held
	}
	return r.kept
}

// RecordExit records that a server refused a connection, so its process has exited. A
// missing answer does not show that, because links lose packets too.
func (j *Judge) RecordExit(id unit.BackendID, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ratingFor(id).exitedUntil = now.Add(DownTime)
}

// HasExited reports whether the server refused a connection within the last DownTime.
func (j *Judge) HasExited(id unit.BackendID, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratings[id]
	return r != nil && now.Before(r.exitedUntil)
}

// IsDown reports whether a server is excluded because it does not answer.
func (j *Judge) IsDown(id unit.BackendID, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratings[id]
	return r != nil && now.Before(r.downUntil)
}

// Exclusion is a server that is excluded because it is down.
type Exclusion struct {
	Server unit.BackendID
	// Remaining is the time until the exclusion ends.
	Remaining time.Duration
}

// Exclusions returns the servers that are excluded as down.
func (j *Judge) Exclusions(now time.Time) []Exclusion {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Exclusion
	for id, r := range j.ratings {
		if remaining := r.downUntil.Sub(now); remaining > 0 {
			out = append(out, Exclusion{Server: id, Remaining: remaining})
		}
	}
	return out
}

// RecordSuccess records a response and the time that it took.
func (j *Judge) RecordSuccess(id unit.BackendID, took time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratingFor(id)
	r.raiseLimit()
	r.failureShare *= 1 - outcomeWeight
	if r.latency == 0 {
		r.latency = took
	}
	r.latency += time.Duration(outcomeWeight * float64(took-r.latency))
}

// RecordFailure records a missing, broken or failed response.
func (j *Judge) RecordFailure(id unit.BackendID, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratingFor(id)
	r.failureShare += outcomeWeight * (1 - r.failureShare)
	r.failedAt = now
}

// SetSlowdown records the slowdown that a server reports: how many times slower than
// usual it runs.
func (j *Judge) SetSlowdown(id unit.BackendID, factor float64, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratingFor(id)
	r.slowdown, r.slowUntil = max(1, factor), now.Add(slowdownTime)
}

func (r *rating) currentSlowdown(now time.Time) float64 {
	if now.Before(r.slowUntil) {
		return r.slowdown
	}
	return 1
}

// Slowdown returns how many times slower than usual a server runs; 1 if no slowdown
// was reported lately.
func (j *Judge) Slowdown(id unit.BackendID, now time.Time) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.ratings[id]; r != nil {
		return r.currentSlowdown(now)
	}
	return 1
}

// SetFull records that an engine rejected a request because it is full, while it had the
// given load without that request.
func (j *Judge) SetFull(id unit.BackendID, load unit.TokenLayers, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratingFor(id)
	r.fullLoad, r.fullUntil = load, now.Add(fullTime)
}

// LoadLimit returns the load with which an engine was full lately; false if it rejected
// no request for fullTime.
//
// Load pattern: an engine releases or loads layers while requests fill it. Released layers
// stay in memory until the requests that use them end, so the engine has less memory for
// requests than the registry implies, and each request that is sent to it is rejected.
func (j *Judge) LoadLimit(id unit.BackendID, now time.Time) (unit.TokenLayers, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.ratings[id]; r != nil && now.Before(r.fullUntil) {
		return r.fullLoad, true
	}
	return 0, false
}

// Rating is the cost factor and the response time by which servers are compared.
type Rating struct {
	// Factor multiplies the cost of the server; it is at least 1.
	Factor float64
	// Latency is the average response time; zero before the first response.
	Latency time.Duration
}

// Rate returns the rating of a server.
func (j *Judge) Rate(id unit.BackendID, now time.Time) Rating {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.ratings[id]
	if r == nil {
		return Rating{Factor: 1}
	}
	share := r.failureShare
	if age := now.Sub(r.failedAt); age > 0 {
		share /= 1 + float64(age)/float64(failureHalvingTime)
	}
	return Rating{Factor: r.currentSlowdown(now) * (1 + failurePenalty*share), Latency: r.latency}
}
