// Package sender sends the requests of a run at their time and checks the
// answers.
//
// The load is open-loop: a request is sent when it is due, whatever happened
// to the earlier ones.
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
	// dialTimeout bounds the connection set-up to a daemon.
	dialTimeout = 2 * time.Second
	// maxInFlight bounds the open requests; those beyond it are not sent.
	maxInFlight = 4096
	// defaultLimit bounds a request without a deadline.
	defaultLimit = 2 * time.Minute
	// grace is the time that an answer may take beyond the deadline.
	grace = 2 * time.Second
)

// Violation names a broken promise about an answer.
type Violation string

const (
	// Truncated means that the answer broke off without an error event.
	Truncated Violation = "Truncated"
	// Wrong means that the text differs from the reference.
	Wrong Violation = "Wrong"
	// NoEndMark means that the text is complete but the end marker is missing.
	NoEndMark Violation = "NoEndMark"
	// Late means that no final response came within the deadline.
	Late Violation = "Late"
	// BadRefusal means that a refusal lacks its verdict or reason.
	BadRefusal Violation = "BadRefusal"
)

// Outcome is what the caller saw of one request.
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
	// Sent is the time since the start of the run.
	Sent time.Duration
	// TokenTimes are since the start of the run.
	TokenTimes []time.Duration `json:"-"`
	// End is the time of the final response since the start of the run.
	End time.Duration
}

// Sender sends a run.
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

// Run sends all arrivals and returns their results in the same order.
func (s *Sender) Run(ctx context.Context, arrivals []scheduler.Arrival) []Result {
	results := make([]Result, len(arrivals))
	room := make(chan struct{}, maxInFlight)
	s.start = time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		results[i] = Result{Arrival: a}
		if !s.wait(ctx, a.At) {
			results[i].Outcome.NotSent = true
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			results[i].Outcome.NotSent = true
			continue
		}
		wg.Go(func() {
			defer func() { <-room }()
			s.send(ctx, i, &results[i])
		})
	}
	wg.Wait()
	s.http.CloseIdleConnections()
	return results
}

func (s *Sender) wait(ctx context.Context, at time.Duration) bool {
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
	limit := defaultLimit
	if r.DeadlineMs > 0 {
		limit = time.Duration(r.DeadlineMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit+grace)
	defer cancel()
	r.Sent = time.Since(s.start)
	address := s.profile.Addresses[i%len(s.profile.Addresses)]
	if r.Service {
		s.call(ctx, address, r)
	} else {
		s.complete(ctx, i, address, r)
	}
	r.End = time.Since(s.start)
	if ctx.Err() == context.DeadlineExceeded {
		r.Outcome.Violation = Late
	}
}
