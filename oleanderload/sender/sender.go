// Package sender sends the requests of a run at their due times and checks the responses.
//
// The load is open-loop: a request is sent when it is due, whether or not earlier requests
// have completed.
//
// Usage:
//
//	results := sender.New(p).Run(ctx, arrivals)
package sender

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderload/profile"
	"oleandercove.example/oleanderload/scheduler"
)

const (
	// dialTimeout limits the time to open a connection to a daemon.
	dialTimeout = 2 * time.Second
	// maxInFlight limits the requests in flight; a request beyond it is not sent.
	maxInFlight = 4096
	// defaultTimeout limits a request without a deadline.
	defaultTimeout = 2 * time.Minute
	// deadlineGrace is how long after its deadline a request is cancelled.
	deadlineGrace = 2 * time.Second
)

// Violation names the rule that a response violates.
type Violation string

const (
	// Truncated means that the stream ended early without an error event.
	Truncated Violation = "Truncated"
	// WrongText means that the text differs from the reference or an event is not valid JSON.
	WrongText Violation = "Wrong"
	// NoEndMark means that the text is complete but the end marker is missing.
	NoEndMark Violation = "NoEndMark"
	// Late means that the response had not ended deadlineGrace after the deadline, or after
	// defaultTimeout for a request without a deadline.
	Late Violation = "Late"
	// BadRefusal means that a refusal lacks its verdict or reason.
	BadRefusal Violation = "BadRefusal"
)

// Outcome is the result of one request as the client sees it.
type Outcome struct {
	Complete   bool            `json:",omitempty"`
	Status     int             `json:",omitempty"`
	Tokens     int             `json:",omitempty"`
	Verdict    verdict.Verdict `json:",omitempty"`
	Reason     verdict.Reason  `json:",omitempty"`
	RetryAfter string          `json:",omitempty"`
	Violation  Violation       `json:",omitempty"`
	NotSent    bool            `json:",omitempty"`
	Error      string          `json:",omitempty"`
}

// Result is an arrival with its outcome and the times of its tokens.
type Result struct {
	scheduler.Arrival
	Outcome Outcome
	// Sent is when the request was sent, since the start of the run.
	Sent time.Duration
	// TokenTimes are when the tokens arrived, since the start of the run.
	TokenTimes []time.Duration `json:"-"`
	// End is when the response ended, since the start of the run.
	End time.Duration
}

// Sender sends the requests of a run.
type Sender struct {
	profile *profile.Profile
	http    *http.Client
	tokens  map[unit.AccountID]string
	start   time.Time
	// OnToken is called after each token of a request, if set.
	OnToken func(index, tokens int)
}

// New returns a Sender that contacts only the addresses of the profile.
func New(p *profile.Profile) *Sender {
	s := &Sender{profile: p, tokens: map[unit.AccountID]string{}}
	for _, a := range p.Accounts {
		s.tokens[a.Name] = a.Token
	}
	d := net.Dialer{Timeout: dialTimeout}
	s.http = &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 1024}}
	return s
}

// Run sends all arrivals and returns their results in the same order. It blocks until all
// requests have ended; when ctx is cancelled, open requests are cancelled and the others
// are not sent.
func (s *Sender) Run(ctx context.Context, arrivals []scheduler.Arrival) []Result {
	results := make([]Result, len(arrivals))
	slots := make(chan struct{}, maxInFlight)
	s.start = time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		results[i] = Result{Arrival: a}
		if !s.waitUntil(ctx, a.At) {
			results[i].Outcome.NotSent = true
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			results[i].Outcome.NotSent = true
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			s.send(ctx, i, &results[i])
		})
	}
	wg.Wait()
	s.http.CloseIdleConnections()
	return results
}

// waitUntil blocks until the due time at and returns true, or until ctx is cancelled and
// returns false.
func (s *Sender) waitUntil(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(time.Until(s.start.Add(at)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Sender) send(ctx context.Context, i int, r *Result) {
	timeout := defaultTimeout
	if r.DeadlineMs > 0 {
		timeout = time.Duration(r.DeadlineMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+deadlineGrace)
	defer cancel()
	r.Sent = time.Since(s.start)
	address := s.profile.Addresses[i%len(s.profile.Addresses)]
	if r.Service {
		s.callService(ctx, address, r)
	} else {
		s.requestCompletion(ctx, i, address, r)
	}
	r.End = time.Since(s.start)
	if ctx.Err() == context.DeadlineExceeded {
		r.Outcome.Violation = Late
	}
}
