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
	headerLimit      = "Server-Limit"
	headerRank       = "X-Oleandercove-Request-Priority"
	healthPath       = "/healthz"
)

// Signals are the signals of a backend server about itself: leaving notices and rejections.
type Signals struct {
	// LeavingNotice adds the leaving notice to all responses.
	LeavingNotice atomic.Bool
	// Rejection rejects all requests, if it is set.
	Rejection atomic.Pointer[Rejection]
	// Limit is named in all responses as the number of requests a second that the server
	// takes, if it is set. The server does not enforce it.
	Limit atomic.Pointer[string]
}

// Rejection is a rejection of requests: status 503 with the time after which to retry.
type Rejection struct {
	RetryAfter string
	// OmitNotExecuted omits the header which states that the request has not run.
	OmitNotExecuted bool
}

// Arrival is a request that reached a backend server, whether it ran or was rejected.
type Arrival struct {
	Server, Attempt string
	At              time.Time
	// Rank is how urgent the router says that the request is; empty if it doesn't say.
	Rank string
	// Leaving and RetryAfter are the signals in the response.
	Leaving    bool
	RetryAfter string
	// Limit is the limit that the response names, or empty.
	Limit string
}

// setLeavingHeader adds the leaving notice to a response if LeavingNotice is set.
func (s *Signals) setLeavingHeader(w http.ResponseWriter) {
	if s.LeavingNotice.Load() {
		w.Header().Set(headerLeaving, "1")
	}
}

// recordArrival records a request and rejects it if Rejection is set.
func (s *Signals) recordArrival(runs *Runs, server string, w http.ResponseWriter, r *http.Request) (rejected bool) {
	a := Arrival{Server: server, Attempt: r.Header.Get(headerAttempt), At: time.Now(), Rank: r.Header.Get(headerRank), Leaving: s.LeavingNotice.Load()}
	if limit := s.Limit.Load(); limit != nil {
		a.Limit = *limit
		w.Header().Set(headerLimit, *limit)
	}
	x := s.Rejection.Load()
	if x != nil {
		a.RetryAfter = x.RetryAfter
		w.Header().Set(headerRetryAfter, x.RetryAfter)
		if !x.OmitNotExecuted {
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

// answerHealthCheck answers a health check: with status 503 if the server sends leaving
// notices.
func (s *Signals) answerHealthCheck(w http.ResponseWriter, id string) {
	w.Header().Set(headerInstance, id)
	if s.LeavingNotice.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
