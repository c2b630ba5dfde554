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

// Signs are the signals about itself that a backend server sends in its responses.
type Signs struct {
	// Leaving adds the leaving notice to all responses.
	Leaving atomic.Bool
	// Away rejects all requests, if it is set.
	Away atomic.Pointer[Away]
}

// Away is a rejection of requests: status 503 with the time after which to retry.
type Away struct {
	RetryAfter string
	// Unclear omits the header that says that the request has not run.
	Unclear bool
}

// Arrival is a request that reached a backend server, whether it ran or was rejected.
type Arrival struct {
	Server, Attempt string
	At              time.Time
	// Leaving and RetryAfter are the signals in the response.
	Leaving    bool
	RetryAfter string
}

// setLeavingHeader adds the leaving notice to a response if Leaving is set.
func (s *Signs) setLeavingHeader(w http.ResponseWriter) {
	if s.Leaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
}

// recordArrival records a request and rejects it if Away is set.
func (s *Signs) recordArrival(runs *Runs, server string, w http.ResponseWriter, attempt string) (rejected bool) {
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

// health answers a health check: with status 503 if the server sends leaving notices.
func (s *Signs) health(w http.ResponseWriter, id string) {
	w.Header().Set(headerInstance, id)
	if s.Leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
