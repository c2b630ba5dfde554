package imitator

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
	headerInstance   = "X-Oleandercove-Instance-Id"
	healthPath       = "/healthz"
)

// Signs are what a backend server says of itself in its answers.
type Signs struct {
	// Leaving lets all answers say that the server leaves.
	Leaving atomic.Bool
	// Away lets requests be turned away, if it is set.
	Away atomic.Pointer[Away]
}

// Away is how requests are turned away: with 503 and a time to stay away.
type Away struct {
	RetryAfter string
	// Unclear leaves out that the request has not run.
	Unclear bool
}

// Arrival is a request that reached a backend server, whatever became of it.
type Arrival struct {
	Server, Attempt string
	At              time.Time
	// Leaving and RetryAfter are what the answer said.
	Leaving    bool
	RetryAfter string
}

// say writes what the server says in all answers.
func (s *Signs) say(w http.ResponseWriter) {
	if s.Leaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
}

// arrive records a request, and turns it away if the server does that.
func (s *Signs) arrive(runs *Runs, server string, w http.ResponseWriter, attempt string) (away bool) {
	a := Arrival{Server: server, Attempt: attempt, At: time.Now(), Leaving: s.Leaving.Load()}
	x := s.Away.Load()
	if x != nil {
		a.RetryAfter = x.RetryAfter
		w.Header().Set(headerRetryAfter, x.RetryAfter)
		if !x.Unclear {
			w.Header().Set(headerNotRun, "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	runs.arrivals = append(runs.arrivals, a)
	return x != nil
}

// Arrivals returns the requests that reached backend servers, in order of time.
func (r *Runs) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// health answers the question whether a server takes work.
func (s *Signs) health(w http.ResponseWriter, id string) {
	w.Header().Set(headerInstance, id)
	if s.Leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
