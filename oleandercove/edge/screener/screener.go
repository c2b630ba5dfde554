// Package screener decides whether a request may be sent, so that poison requests,
// which crash each backend server that runs them, are refused.
//
// A request is identified by the fingerprint of its content: method, host, path, client
// account and body, whatever the id of the attempt. When a backend server crashes, each
// request that was running there gets a crash record, and daemons exchange these
// records. A record is weak if the request already had an event from the server, or if
// only its connection is known to have broken; otherwise it is strong.
//
// A request is in one of these states:
//
//   - Unrestricted: it has no strong record. It may run at any time.
//   - One copy: it has a strong record. One copy of it runs at a time on this daemon.
//   - Undecided: it has two strong records, and the last one is newer than
//     quarantiner.SettleDelay. It waits for the records of the other requests that ran
//     in that crash.
//   - Refused: it is quarantined as poison and refused before it is sent.
//
// It becomes quarantined with
//
//   - two strong records, if no other request with two ran in the last crash,
//   - three strong records, whichever other requests ran there, or
//   - five records, weak ones included.
//
// In each state it is cleared as soon as it runs beyond the positions of all its
// crashes, because a poison request can't get there: its records are removed, on peers
// too. Content that has run to its end gets no record for a time after that.
//
// Load pattern: a poison request is repeated several times a second at any daemon.
// Without crash records it crashes one server after the other until none is left.
//
// Usage:
//
//	s := screener.New(screener.Options{Timer: t, Log: l, FlushNow: a.FlushNow})
//	release, err := s.Enter(ctx, f)
//	defer release()
//	s.RecordCrash(screener.CrashEvent{Fingerprint: f, Crash: screener.CrashOf(server)})
//	s.ReachedPosition(f, position)
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
	// CompletePosition is the position of a request that ran to its end.
	CompletePosition = math.MaxInt
	// maxWait bounds the time for which Enter blocks.
	maxWait = 300 * time.Millisecond
	// pollInterval is the time between two checks whether a request may run.
	pollInterval = 10 * time.Millisecond
	// copyRetryAfter is the time after which a caller may retry a request that is
	// refused because another copy of it runs or its records are not complete yet.
	copyRetryAfter = time.Second
	// quarantineRetryAfter is the time after which a caller may retry a quarantined
	// request. The quarantine lasts much longer, unless a copy of the request that is
	// still running clears it.
	quarantineRetryAfter = 30 * time.Second
)

// Options configures a Screener.
type Options struct {
	Timer timer.Service
	Log   *log.Logger
	// FlushNow sends the new crash records to all peers at once.
	FlushNow func()
}

// Screener decides whether a request may be sent. It is safe for concurrent use.
type Screener struct {
	options Options

	mu      sync.Mutex
	history *quarantiner.History
	// running holds the requests of which a copy runs alone on this daemon.
	running      map[quarantiner.Fingerprint]bool
	completed    completedSet
	outbox       outbox
	flushPending bool
}

// New returns a Screener without crash records.
func New(o Options) *Screener {
	return &Screener{options: o, history: quarantiner.NewHistory(), running: map[quarantiner.Fingerprint]bool{}, outbox: newOutbox()}
}

// CrashEvent is the crash of a backend server, or a broken connection to it, while it
// ran a request.
type CrashEvent struct {
	Request     unit.RequestID
	Fingerprint quarantiner.Fingerprint
	Crash       quarantiner.CrashID
	// Position is the number of the last event that the caller received.
	Position int
	// Progressed is set if the server had sent an event.
	Progressed bool
	// Broken is set if only the connection is known to have broken.
	Broken bool
}

// CrashOf returns the fleet-wide id of a crash of this instance of a server.
func CrashOf(s backend.Server) quarantiner.CrashID {
	return quarantiner.CrashID(fmt.Sprint(s.ID, crashSeparator, s.Born))
}

// crashSeparator separates the id of a server from its instance in the id of a crash.
const crashSeparator = "/"

// Enter blocks until the request may run, at most maxWait or until ctx is done; an
// unrestricted request may run at once. The caller calls release when the attempt has
// ended or has passed the positions of its crashes. The error is a refusal: the request
// was not sent.
func (s *Screener) Enter(ctx context.Context, f quarantiner.Fingerprint) (release func(), err *verdict.Error) {
	limit := s.options.Timer.Now().Add(maxWait)
	for {
		now := s.options.Timer.Now()
		d, release := s.tryAdmit(f, now)
		switch {
		case release != nil:
			return release, nil
		case d == refuse:
			return nil, s.refusal(f)
		case !now.Before(limit):
			return nil, verdict.New(verdict.NotRun, verdict.Quarantined,
				"request content %s is under suspicion of ending backend servers, and another copy of it runs", f).WithRetryAfter(copyRetryAfter)
		}
		if s.options.Timer.Sleep(ctx, pollInterval) != nil {
			return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "no time left to check request content %s", f)
		}
	}
}

// tryAdmit returns the decision for a request now, and the function that ends its run
// if it may run, else nil.
func (s *Screener) tryAdmit(f quarantiner.Fingerprint, now time.Time) (decision, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := decide(s.history, f, now)
	if d == unrestricted {
		return d, func() {}
	}
	if d != oneCopy || s.running[f] {
		return d, nil
	}
	s.running[f] = true
	return d, sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, f)
	})
}

// MayReroute reports whether a running request may continue on other engines without
// another call of Enter. A request with two strong crash records may not.
func (s *Screener) MayReroute(f quarantiner.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.history.StrongRecords(f)) < 2
}

// CrashedServers returns the servers for which the request has crash records; nil for a
// request without records.
func (s *Screener) CrashedServers(f quarantiner.Fingerprint) map[unit.BackendID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[unit.BackendID]bool
	for _, rec := range s.history.Records(f) {
		if out == nil {
			out = map[unit.BackendID]bool{}
		}
		id, _, _ := strings.Cut(string(rec.Crash), crashSeparator)
		out[unit.BackendID(id)] = true
	}
	return out
}

// QuarantineRefusal returns the refusal of a quarantined request, or nil if the request
// is not quarantined.
func (s *Screener) QuarantineRefusal(f quarantiner.Fingerprint) *verdict.Error {
	s.mu.Lock()
	quarantined := decide(s.history, f, s.options.Timer.Now()) == refuse
	s.mu.Unlock()
	if !quarantined {
		return nil
	}
	return s.refusal(f)
}

func (s *Screener) refusal(f quarantiner.Fingerprint) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.history.Records(f)
	servers := make([]string, len(records))
	for i, rec := range records {
		servers[i] = string(rec.Crash)
	}
	return verdict.New(verdict.NotRun, verdict.Quarantined, "request content %s was running on %d backend servers when they ended or broke the connection: %s",
		f, len(records), strings.Join(servers, " ")).WithRetryAfter(quarantineRetryAfter)
}

// RecordCrash adds a crash record for a request.
func (s *Screener) RecordCrash(e CrashEvent) {
	now := s.options.Timer.Now()
	rec := quarantiner.CrashRecord{Fingerprint: e.Fingerprint, Crash: e.Crash, Position: e.Position, Progressed: e.Progressed, Weak: e.Broken || e.Progressed, At: now}
	s.mu.Lock()
	if s.completed.has(e.Fingerprint, now) || s.outbox.isWithdrawn(rec, now) || !s.history.Add(rec, now) {
		s.mu.Unlock()
		return
	}
	all := s.history.Records(e.Fingerprint)
	records, share := len(all), isShared(rec, len(all))
	if share {
		// Earlier weak records may not have been sent to peers.
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
		"position", e.Position, "progressed", e.Progressed, "marks", records)
	if share {
		s.flush()
	}
}

// ReachedPosition records the position that a request has reached, CompletePosition at
// its end. A request beyond the positions of all its crashes is cleared, on peers too.
func (s *Screener) ReachedPosition(f quarantiner.Fingerprint, position int) {
	now := s.options.Timer.Now()
	s.mu.Lock()
	if position == CompletePosition {
		s.completed.add(f, now)
	}
	cleared := s.history.ReachedPosition(f, position)
	share := false
	for _, rec := range cleared {
		if isShared(rec, len(cleared)) {
			s.withdraw(rec, now)
			share = true
		}
	}
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.options.Log.Info("request cleared of suspicion", "content", f, "position", position, "marks", len(cleared))
	}
	if share {
		s.flush()
	}
}

// Case is a quarantined request.
type Case struct {
	// Content is the fingerprint in hexadecimal.
	Content string
	Crashes []quarantiner.CrashID
	// Age is the time since the last crash, in nanoseconds.
	Age time.Duration
}

// Cases returns the quarantined requests.
func (s *Screener) Cases() []Case {
	now := s.options.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Case
	for _, f := range s.history.Quarantined(now) {
		c := Case{Content: f.String()}
		for _, rec := range s.history.Records(f) {
			c.Crashes, c.Age = append(c.Crashes, rec.Crash), now.Sub(rec.At)
		}
		out = append(out, c)
	}
	return out
}
