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
// Requests that are all different may have a part of their prompts in common that crashes
// backend servers. The crash record of a request that had not passed on its server has the
// shared parts of its prompt; quarantiner.PartHistory finds the poison ones among them. A
// request that contains all parts of a poison set is refused, whatever its own state.
//
// Load pattern: a poison request is repeated several times a second at any daemon.
// Without crash records it crashes one server after the other until none is left.
//
// Usage:
//
//	s := screener.New(screener.Options{Timer: t, Log: l, FlushNow: a.FlushNow})
//	release, err := s.Enter(ctx, id)
//	defer release()
//	s.RecordCrash(screener.CrashEvent{Identity: id, Crash: screener.CrashOf(server)})
//	s.ReachedPosition(id.Content, position)
//	s.Pass(id)
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
	"oleandercove.example/oleandercove/retainer"
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
	// OnPoison is called in the background after parts of prompts have been quarantined.
	OnPoison func()
}

// Screener decides whether a request may be sent. It is safe for concurrent use.
type Screener struct {
	options Options

	mu      sync.Mutex
	history *quarantiner.History
	// running holds the requests of which a copy runs alone on this daemon.
	running map[quarantiner.Fingerprint]bool
	// completed holds the contents that ran to their end.
	completed    *retainer.Retainer[quarantiner.Fingerprint, struct{}]
	parts        *quarantiner.PartHistory
	outbox       outbox
	partOutbox   partOutbox
	flushPending bool
}

// Identity is what a request is recognised by.
type Identity struct {
	// Content is the same for all copies of the request.
	Content quarantiner.Fingerprint
	// Parts are the shared parts of its prompt, sorted.
	Parts []quarantiner.PartKey
}

// New returns a Screener without crash records.
func New(o Options) *Screener {
	return &Screener{
		options: o, history: quarantiner.NewHistory(), parts: quarantiner.NewPartHistory(), running: map[quarantiner.Fingerprint]bool{},
		completed: retainer.New[quarantiner.Fingerprint, struct{}](completedTime, maxCompleted), outbox: newOutbox(),
	}
}

// CrashEvent is the crash of a backend server, or a broken connection to it, while it
// ran a request.
type CrashEvent struct {
	Request unit.RequestID
	// Identity has no parts if the request had passed on the server.
	Identity
	Crash quarantiner.CrashID
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
func (s *Screener) Enter(ctx context.Context, id Identity) (release func(), err *verdict.Error) {
	limit := s.options.Timer.Now().Add(maxWait)
	for {
		now := s.options.Timer.Now()
		d, release := s.tryAdmit(id, now)
		switch {
		case release != nil:
			return release, nil
		case d == refuse:
			return nil, s.refusal(id)
		case !now.Before(limit):
			return nil, verdict.New(verdict.NotRun, verdict.Quarantined,
				"request content %s or a part of its prompt is under suspicion of ending backend servers, and another copy of it runs or records are missing", id.Content).WithRetryAfter(copyRetryAfter)
		}
		if s.options.Timer.Sleep(ctx, pollInterval) != nil {
			return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "no time left to check request content %s", id.Content)
		}
	}
}

// tryAdmit returns the decision for a request now, and the function that ends its run
// if it may run, else nil.
func (s *Screener) tryAdmit(id Identity, now time.Time) (decision, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, d := id.Content, s.decide(id, now)
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
// another call of Enter. A request with two strong crash records may not, nor one with a
// poison part.
func (s *Screener) MayReroute(id Identity) bool {
	if s.HasPoisonPart(id) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.history.StrongRecords(id.Content)) < 2
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
func (s *Screener) QuarantineRefusal(id Identity) *verdict.Error {
	s.mu.Lock()
	quarantined := s.decide(id, s.options.Timer.Now()) == refuse
	s.mu.Unlock()
	if !quarantined {
		return nil
	}
	return s.refusal(id)
}

func (s *Screener) refusal(id Identity) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set, ok := s.parts.Match(id.Parts, s.options.Timer.Now()); ok {
		return verdict.New(verdict.NotRun, verdict.Quarantined, "backend servers crashed under different requests that all have the prompt parts %v, the last one %s ago",
			set.Parts, s.options.Timer.Now().Sub(set.At).Round(time.Millisecond)).WithRetryAfter(quarantineRetryAfter)
	}
	records := s.history.Records(id.Content)
	servers := make([]string, len(records))
	for i, rec := range records {
		servers[i] = string(rec.Crash)
	}
	return verdict.New(verdict.NotRun, verdict.Quarantined, "request content %s was running on %d backend servers when they ended or broke the connection: %s",
		id.Content, len(records), strings.Join(servers, " ")).WithRetryAfter(quarantineRetryAfter)
}

// RecordCrash adds a crash record for a request.
func (s *Screener) RecordCrash(e CrashEvent) {
	now := s.options.Timer.Now()
	rec := quarantiner.CrashRecord{
		Fingerprint: e.Content, Crash: e.Crash, Position: e.Position, Progressed: e.Progressed, Weak: e.Broken || e.Progressed, At: now, Parts: e.Parts,
	}
	s.mu.Lock()
	if s.hasCompleted(e.Content, now) || s.outbox.isWithdrawn(rec, now) || !s.history.Add(withoutParts(rec), now) {
		s.mu.Unlock()
		return
	}
	s.partOutbox.add(s.parts.Add(rec, now), now)
	all := s.history.Records(e.Content)
	records, share := len(all), isShared(rec, len(all))
	if share {
		// Earlier weak records may not have been sent to peers.
		for _, x := range all[:records-1] {
			s.outbox.add(x, now)
		}
		s.outbox.add(rec, now)
	}
	s.mu.Unlock()
	what := "backend server ended under a request"
	if e.Broken {
		what = "connection broke under a request"
	}
	s.options.Log.Warn(what, "id", e.Request, "content", e.Content, "parts", loggedParts(e.Parts), "crash", e.Crash,
		"position", e.Position, "progressed", e.Progressed, "marks", records)
	if share {
		s.flush()
	}
}

// hasCompleted reports whether a copy of the content ran to its end lately.
func (s *Screener) hasCompleted(f quarantiner.Fingerprint, now time.Time) bool {
	_, ok := s.completed.Get(f, now)
	return ok
}

// ReachedPosition records the position that a request has reached, CompletePosition at
// its end. A request beyond the positions of all its crashes is cleared, on peers too.
func (s *Screener) ReachedPosition(f quarantiner.Fingerprint, position int) {
	now := s.options.Timer.Now()
	s.mu.Lock()
	if position == CompletePosition {
		s.completed.Set(f, struct{}{}, now)
	}
	cleared := s.history.ReachedPosition(f, position)
	share := false
	for _, rec := range cleared {
		s.parts.Remove(rec.Fingerprint, rec.Crash)
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
