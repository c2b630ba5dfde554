// Package screener keeps requests that end backend servers away from them.
//
// A request is known by its content: the same method, path, client account and body
// have the same fingerprint, whatever the id of the attempt. When the process of a
// backend server ends, each request that was running there gets a mark, and daemons
// tell each other. A request with a mark runs one copy at a time on this daemon. One
// with the marks of two ends is poison if it is the only such request of the second
// end, and one with three in any case: it is refused before it is sent. Marks are weak
// if the request was under way, or if only its connection is known to have ended; five
// marks convict, weak or not. A request
// that runs beyond the points at which servers ended is cleared, because a poison
// request can't, and for some time no mark is set for its content again.
//
// Load pattern: a request ends each server that begins to run it and comes again at
// any daemon, some times a second. Without marks it takes one server after the other
// until none is left.
//
// Usage:
//
//	s := screener.New(screener.Options{Timer: t, Log: l, Urge: a.Urge})
//	leave, err := s.Enter(ctx, f)
//	defer leave()
//	s.Ended(screener.End{Fingerprint: f, Crash: screener.CrashOf(server)})
//	s.Passed(f, position)
package screener

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/quarantiner"
)

const (
	// Whole is the position of a request that ran to its end.
	Whole = math.MaxInt
	// maxWait bounds the wait of a request under suspicion for another copy of it.
	maxWait = 300 * time.Millisecond
	// waitPoll is the pause between two looks whether a request may run.
	waitPoll = 10 * time.Millisecond
	// trialPause is when the caller of a request that could not wait for another copy
	// under suspicion should come back.
	trialPause = time.Second
	// convictedPause is when the caller of a convicted request should come back. The
	// request is refused for much longer, unless a copy of it that is still running
	// clears it.
	convictedPause = 30 * time.Second
)

// Options configures a Screener.
type Options struct {
	Timer timer.Service
	Log   *log.Logger
	// Urge tells all peers at once of new marks.
	Urge func()
}

// Screener decides whether a request may be sent. It is safe for concurrent use.
type Screener struct {
	options Options

	mu    sync.Mutex
	marks *quarantiner.Book
	// trials holds the suspects that are running on this daemon.
	trials map[quarantiner.Fingerprint]bool
	recent recent
	outbox outbox
	urging bool
}

// New returns a Screener without marks.
func New(o Options) *Screener {
	return &Screener{options: o, marks: quarantiner.NewBook(), trials: map[quarantiner.Fingerprint]bool{}, outbox: newOutbox()}
}

// End is the end of a backend server's process under a request.
type End struct {
	Request     unit.RequestID
	Fingerprint quarantiner.Fingerprint
	Crash       quarantiner.CrashID
	// Position is the number of the last event that the caller had, and Progressed
	// tells whether the server had sent any.
	Position   int
	Progressed bool
	// Broken says that only the connection is known to have ended.
	Broken bool
}

// CrashOf names the end of the running process of a server in the whole fleet.
func CrashOf(s backend.Server) quarantiner.CrashID {
	return quarantiner.CrashID(fmt.Sprint(s.ID, crashSeparator, s.Born))
}

// crashSeparator stands between the id of a server and its start in the name of a crash.
const crashSeparator = "/"

// Enter waits until the request may run. The caller calls leave when the attempt has
// ended or has passed the points of its crashes. Requests without marks enter at once.
func (s *Screener) Enter(ctx context.Context, f quarantiner.Fingerprint) (leave func(), err *verdict.Error) {
	limit := s.options.Timer.Now().Add(maxWait)
	for {
		now := s.options.Timer.Now()
		ruling, leave := s.admit(f, now)
		switch {
		case leave != nil:
			return leave, nil
		case ruling == refuse:
			return nil, s.refusal(f)
		case !now.Before(limit):
			return nil, verdict.New(verdict.NotRun, verdict.Quarantined,
				"request content %s is under suspicion of ending backend servers, and another copy of it runs", f).After(trialPause)
		}
		if s.options.Timer.Sleep(ctx, waitPoll) != nil {
			return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "no time left to check request content %s", f)
		}
	}
}

// admit returns what holds for a request now, and the function that ends its run if it
// may run.
func (s *Screener) admit(f quarantiner.Fingerprint, now time.Time) (ruling, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := rule(s.marks, f, now)
	if r == free {
		return r, func() {}
	}
	if r != aloneOfCopies || s.trials[f] {
		return r, nil
	}
	s.trials[f] = true
	return r, sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.trials, f)
	})
}

// MayMove tells whether a running request may go on along other engines without
// entering again: one with the marks of two ends may not.
func (s *Screener) MayMove(f quarantiner.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.marks.Ends(f)) < 2
}

// Servers returns the servers at which the request has marks; nil for most requests.
func (s *Screener) Servers(f quarantiner.Fingerprint) map[unit.BackendID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[unit.BackendID]bool
	for _, m := range s.marks.Marks(f) {
		if out == nil {
			out = map[unit.BackendID]bool{}
		}
		id, _, _ := strings.Cut(string(m.Crash), crashSeparator)
		out[unit.BackendID(id)] = true
	}
	return out
}

// Convicted returns the refusal of a request that must not run again, or nil.
func (s *Screener) Convicted(f quarantiner.Fingerprint) *verdict.Error {
	s.mu.Lock()
	convicted := rule(s.marks, f, s.options.Timer.Now()) == refuse
	s.mu.Unlock()
	if !convicted {
		return nil
	}
	return s.refusal(f)
}

func (s *Screener) refusal(f quarantiner.Fingerprint) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	marks := s.marks.Marks(f)
	servers := make([]string, len(marks))
	for i, m := range marks {
		servers[i] = string(m.Crash)
	}
	return verdict.New(verdict.NotRun, verdict.Quarantined, "request content %s was running on %d backend servers when they ended or broke the connection: %s",
		f, len(marks), strings.Join(servers, " ")).After(convictedPause)
}

// Ended marks a request under which a backend server ended.
func (s *Screener) Ended(e End) {
	now := s.options.Timer.Now()
	m := quarantiner.Mark{Fingerprint: e.Fingerprint, Crash: e.Crash, Position: e.Position, Progressed: e.Progressed, Weak: e.Broken || e.Progressed, At: now}
	s.mu.Lock()
	if s.recent.has(e.Fingerprint, now) || s.outbox.withdrawn(m, now) || !s.marks.Add(m, now) {
		s.mu.Unlock()
		return
	}
	all := s.marks.Marks(e.Fingerprint)
	marks, tell := len(all), shared(m, len(all))
	if tell {
		// Peers may not have heard of the earlier ones.
		for _, x := range all {
			s.outbox.add(x, now)
		}
	}
	s.mu.Unlock()
	what := "backend server ended under a request"
	if e.Broken {
		what = "connection broke under a request"
	}
	s.options.Log.Warn(what, "id", e.Request, "content", e.Fingerprint, "crash", e.Crash,
		"position", e.Position, "progressed", e.Progressed, "marks", marks)
	if tell {
		s.urge()
	}
}

// Passed notes how far a request has run. One that is beyond all its crashes is
// cleared, on peers too.
func (s *Screener) Passed(f quarantiner.Fingerprint, position int) {
	now := s.options.Timer.Now()
	s.mu.Lock()
	if position == Whole {
		s.recent.add(f, now)
	}
	cleared := s.marks.Passed(f, position)
	tell := false
	for _, m := range cleared {
		if shared(m, len(cleared)) {
			s.withdraw(m, now)
			tell = true
		}
	}
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.options.Log.Info("request cleared of suspicion", "content", f, "position", position, "marks", len(cleared))
	}
	if tell {
		s.urge()
	}
}

// Case is a request that is refused.
type Case struct {
	Content string
	Crashes []quarantiner.CrashID
	// Age is the time since the last crash, in nanoseconds.
	Age time.Duration
}

// Cases returns the requests that are refused.
func (s *Screener) Cases() []Case {
	now := s.options.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Case
	for _, f := range s.marks.Convictions(now) {
		c := Case{Content: f.String()}
		for _, m := range s.marks.Marks(f) {
			c.Crashes, c.Age = append(c.Crashes, m.Crash), now.Sub(m.At)
		}
		out = append(out, c)
	}
	return out
}
