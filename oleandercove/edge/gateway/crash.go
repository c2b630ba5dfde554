package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/screener"
)

// crashCheckTimeout bounds the check whether a server has crashed; a live host answers
// within a few milliseconds.
const crashCheckTimeout = 50 * time.Millisecond

// checkServerCrash makes a crash record if the connection of a call broke although
// there was time left. The server has crashed if it refuses a new connection; otherwise
// only the broken connection is recorded. A silent server does not count as crashed,
// because no request can cause such a failure.
func (j *job) checkServerCrash(ctx context.Context, s backend.Server, err error) {
	if ctx.Err() != nil || !isConnectionLoss(err) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if !j.Exchanger.RefusesConnections(ctx, s.Address) {
		j.recordCrash(s.ID, screener.CrashEvent{Identity: j.identity, Broken: true})
		return
	}
	now := j.Timer.Now()
	j.Judge.RecordExit(s.ID, now)
	j.Judge.SetDown(s.ID, now, now.Add(judge.DownTime))
	j.recordCrash(s.ID, screener.CrashEvent{Identity: j.identity})
}

// isConnectionLoss reports whether the server closed a connection on which a request
// had been sent.
func isConnectionLoss(err error) bool {
	var x *exchanger.Error
	if errors.As(err, &x) && !x.Sent {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// checkResponse reports a truncated response as a possible crash, and a usable one to
// the screener as a complete run.
func (j *job) checkResponse(ctx context.Context, s backend.Server, o outcome) {
	switch {
	case errors.Is(o.err, errTruncated):
		j.checkServerCrash(ctx, s, o.err)
	case o.usable():
		j.Screener.ReachedPosition(j.identity.Content, screener.CompletePosition)
		if o.exchange.Response.StatusCode < http.StatusMultipleChoices {
			j.Screener.Pass(j.identity)
		}
	}
}

// recordCrash reports to the screener that a server crashed under the request, or that
// the connection to it broke.
func (j *job) recordCrash(id unit.BackendID, e screener.CrashEvent) {
	x, ok := j.Directory.Servers().Get(id)
	if !ok {
		x.ID = id
	}
	if !e.Broken {
		j.Meter.count("servers_ended_under_requests_total")
	}
	e.Request, e.Content, e.Crash = j.call.Request, j.identity.Content, screener.CrashOf(x)
	j.Screener.RecordCrash(e)
}

// checkEngineCrash finds out in the background whether an engine has crashed, and makes
// a crash record if so; the report that the prober keeps may be too old to show it. The
// returned channel is closed when the check is done.
//
// Each engine is checked once. Each chain makes at most one crash record, because engines
// that crash together do so independently of the request. With connectionLost set, the
// connection to the engine broke before the first event, which is recorded even if the
// engine has not crashed.
func (s *stream) checkEngineCrash(id unit.BackendID, connectionLost bool) <-chan struct{} {
	done := make(chan struct{})
	x, ok := s.Directory.Servers().Get(id)
	if !ok || s.crashChecked[id] {
		close(done)
		return done
	}
	if s.crashChecked == nil {
		s.crashChecked = map[unit.BackendID]bool{}
	}
	s.crashChecked[id] = true
	if s.crashRecorded == nil {
		s.crashRecorded = &atomic.Bool{}
	}
	recorded := s.crashRecorded
	e := screener.CrashEvent{Identity: s.suspectIdentity(), Position: s.lastPosition(), Progressed: s.progressed}
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if !s.Judge.HasExited(id, s.Timer.Now()) && !s.Exchanger.RefusesConnections(ctx, x.Address) {
			if e.Broken = connectionLost; connectionLost && !recorded.Swap(true) {
				s.recordCrash(id, e)
			}
			return
		}
		s.Judge.RecordExit(id, s.Timer.Now())
		s.Prober.ReportDown(id, "refuses connections")
		if !recorded.Swap(true) {
			s.recordCrash(id, e)
		}
	}()
	return done
}

// countCrashedRun counts the running attempt, once, if its first engine is known to
// have crashed.
func (s *stream) countCrashedRun(now time.Time) {
	if !s.firstEngineCrashed && s.Judge.HasExited(s.chain[0].ID, now) {
		s.firstEngineCrashed = true
		s.crashedRuns++
	}
}

// checkDownEngines checks the engines of the chain that are down for crashes.
func (s *stream) checkDownEngines(now time.Time) {
	for _, h := range s.chain {
		if s.Judge.IsDown(h.ID, now) {
			s.checkEngineCrash(h.ID, false)
		}
	}
}

// lastPosition returns the number of the last event that the caller has, or 0 where
// events have no numbers.
func (s *stream) lastPosition() int {
	n, err := strconv.Atoi(string(s.lastEvent))
	if err != nil {
		return 0
	}
	return n
}

// errQuarantined is the failure of an attempt that is ended because its request was quarantined.
var errQuarantined = errors.New("request was quarantined")

// leaveEngines ends a stream that has been quarantined before its engines began to answer it, so
// that they don't crash too.
func (s *stream) leaveEngines() step {
	if s.passed || !s.Screener.HasPoisonPart(s.identity) {
		return stepWait
	}
	s.Log.Info("stream was quarantined", "id", s.call.Request, "content", s.identity.Content, "parts", s.loggedParts(), "engine", s.chain[0].ID)
	s.failure = errQuarantined
	return stepFail
}

// suspectIdentity returns what the stream is recognised by, without the parts of its prompt if
// these have passed.
func (s *stream) suspectIdentity() screener.Identity {
	id := s.identity
	if s.passed {
		id.Parts = nil
	}
	return id
}

// recordPass reports to the screener, once, that the engines of the attempt have kept running
// since they began to answer.
func (s *stream) recordPass() {
	if !s.passed {
		s.passed = true
		s.Screener.Pass(s.identity)
	}
}

// recordProgress records that the attempt has sent an event. If engines of the stream were
// checked for crashes, it reports the position to the screener, which clears a request
// that is beyond the positions of its crashes.
func (s *stream) recordProgress() {
	now := s.Timer.Now()
	if !s.progressed {
		s.progressed, s.progressedAt = true, now
	}
	if now.Sub(s.progressedAt) >= screener.PassTime {
		s.recordPass()
	}
	if len(s.crashChecked) > 0 {
		s.Screener.ReachedPosition(s.identity.Content, s.lastPosition())
	}
}
