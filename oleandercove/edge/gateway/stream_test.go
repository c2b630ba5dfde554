package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/pathfinder"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/quarantiner"
)

// TestDeadlinePassed guards against a stream that breaks off at its deadline and
// ends as if it were whole, or as an empty response with status 200: the attempt
// and the deadline end at the same time, and either may be seen first.
func TestDeadlinePassed(t *testing.T) {
	is := is.New(t)
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		messages := make(chan message)
		s := &stream{job: &job{Gateway: &Gateway{}, began: time.Now()}, ctx: ctx, lost: make(chan struct{}, 1), attempt: attempt{messages: messages}}
		cancel()
		close(messages)
		is.Equal(s.relay(), stepFail)
	}
}

// newLostStream returns a stream whose engines are an open first one, "head", and
// "tail", and which may not be sent again.
func newLostStream(t *testing.T, silent time.Duration) (*stream, *judge.Judge) {
	clock, j := timer.NewReal(), judge.New()
	g := &Gateway{Options: Options{
		Log: logger.Discard(), Judge: j, Timer: clock, Directory: directory.New(logger.Discard()), Ledger: ledger.New(),
		Screener: screener.New(screener.Options{Timer: clock, Log: logger.Discard()}),
	}}
	s := &stream{
		job: &job{
			Gateway: g, route: &routing.Route{Attempts: 2, Repeat: routing.Resumable}, deadline: time.Now().Add(time.Minute),
			service: &routing.Service{Engine: &routing.Engine{}},
		},
		ctx: t.Context(), lost: make(chan struct{}, 1), refusedBy: map[unit.BackendID]bool{}, runs: 2, sends: 2, started: true, lastAt: time.Now().Add(-silent),
	}
	s.setChain(pathfinder.Path{Chain: backend.Chain{{ID: "head"}, {ID: "tail"}}})
	return s, j
}

// TestLossyLink replays a stream whose first engine is silent behind a link that
// loses packets, while it goes on to run. It guards against a request that runs on
// more engines than its route allows.
func TestLossyLink(t *testing.T) {
	tests := []struct {
		name  string
		ended bool
		want  step
	}{
		{"silent engine counts as one that ran", false, stepFail},
		{"ended engine does not count", true, stepAgain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, j := newLostStream(t, 2*resumePatience)
			now := s.Timer.Now()
			j.Down("head", now, now.Add(time.Minute))
			if tt.ended {
				j.Ended("head", now)
			}
			is.Equal(s.replace(), tt.want)
		})
	}
}

// TestSilence replays servers that are replaced one after the other while a stream
// may not be sent again. It guards against a response that is cut although its
// first engine still runs it, and against a request that is held in vain.
func TestSilence(t *testing.T) {
	tests := []struct {
		name    string
		down    unit.BackendID
		silent  time.Duration
		started bool
		want    step
	}{
		{"later engine is down, first one answers", "tail", 2 * resumePatience, true, stepWait},
		{"first engine is silent for a moment", "head", resumePatience / 2, true, stepWait},
		{"first engine is silent for long", "head", 2 * resumePatience, true, stepFail},
		{"no event yet, the caller can ask again", "tail", resumePatience / 2, false, stepFail},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, j := newLostStream(t, tt.silent)
			s.started = tt.started
			now := s.Timer.Now()
			j.Down(tt.down, now, now.Add(time.Minute))
			is.Equal(s.replace(), tt.want)
		})
	}
}

// TestNoRoomElsewhere replays a copy that loses a later engine while no other copy has
// room. It guards against a running response that is cut before there is another chain
// for it: room may come back, and its first engine holds it for some seconds.
func TestNoRoomElsewhere(t *testing.T) {
	tests := []struct {
		name    string
		down    unit.BackendID
		started bool
		ended   bool
		want    step
	}{
		{"first engine answers", "tail", true, false, stepWait},
		{"no event yet, the caller can ask again", "tail", false, false, stepAgain},
		{"first engine is silent for long", "head", true, false, stepAgain},
		{"first engine has ended", "head", true, true, stepAgain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, j := newLostStream(t, 2*resumePatience)
			s.runs, s.sends, s.started = 1, 1, tt.started
			now := s.Timer.Now()
			j.Down(tt.down, now, now.Add(time.Minute))
			if tt.ended {
				j.Ended(tt.down, now)
			}
			is.Equal(s.replace(), tt.want)
			is.Equal(s.replaceAt != nil, tt.want == stepWait) // room is looked for again
		})
	}
}

// TestFallback replays a stream whose chain lost a later engine, and which another chain
// rejects. It guards against a running response that is given up before another one has
// begun, and against one that runs on beside the other.
func TestFallback(t *testing.T) {
	tests := []struct {
		name string
		do   func(*stream) step
		want step
		kept bool
	}{
		{"other chain rejects it", func(s *stream) step {
			return s.rejected(http.StatusServiceUnavailable, backend.Answer{NotRun: true})
		}, stepWait, true},
		{"other chain breaks off", func(s *stream) step { return s.broken(io.EOF) }, stepWait, true},
		{"other chain answers", func(s *stream) step {
			resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Oleandercove-Response-Stamp": {"x"}}}
			return s.head(&exchanger.Exchange{Response: resp})
		}, stepWait, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newLostStream(t, 0)
			s.runs, s.sends = 2, 2
			ended := false
			s.cancel = func() { ended = true }
			old := make(chan message)
			s.messages = old
			s.keepFallback()
			s.attempt = attempt{messages: make(chan message)}
			s.setChain(pathfinder.Path{Chain: backend.Chain{{ID: "other"}}})
			is.Equal(tt.do(s), tt.want)
			is.Equal(ended, !tt.kept)
			is.Equal(s.messages == (<-chan message)(old), tt.kept)
			is.Equal(s.uses("head"), tt.kept)
			s.endAttempt()
			is.True(ended)
		})
	}
}

// TestConvictedStream replays a stream that ends the later engines of its chain while
// its first engine goes on. It guards against an order to go on along other engines,
// which would end as well, and against a caller that is held.
func TestConvictedStream(t *testing.T) {
	is := is.New(t)
	s, j := newLostStream(t, 2*resumePatience)
	for _, crash := range []quarantiner.CrashID{"a/1", "b/1", "c/1"} {
		s.Screener.Ended(screener.End{Fingerprint: s.content, Crash: crash})
	}
	now := s.Timer.Now()
	j.Down("tail", now, now.Add(time.Minute))
	is.Equal(s.replace(), stepFail)
	err := s.begin()
	is.Equal(err.Reason, verdict.Quarantined)
	is.Equal(s.refusal(err).Verdict, verdict.MayHaveRun) // it has run already
	is.Equal(s.sends, 2)
}
