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
	"oleandercove.example/oleandercove/edge/deferrer"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/pathfinder"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/quarantiner"
)

// Guards against a stream that breaks off at its deadline and ends as if it were
// complete, or as an empty response with status 200, which happens when the end of the
// attempt is seen before that of the deadline.
func TestDeadlineExceeded(t *testing.T) {
	is := is.New(t)
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		messages := make(chan message)
		s := &stream{job: &job{Gateway: &Gateway{}, arrivedAt: time.Now()}, ctx: ctx, engineDown: make(chan struct{}, 1), attempt: attempt{messages: messages}}
		cancel()
		close(messages)
		is.Equal(s.relay(), stepFail)
	}
}

// newTestStream returns a stream along the engines "head" and "tail", which has been
// silent for the given time and may not be sent again.
func newTestStream(t *testing.T, silent time.Duration) (*stream, *judge.Judge) {
	clock, j := timer.NewReal(), judge.New()
	g := &Gateway{Options: Options{
		Log: logger.Discard(), Judge: j, Timer: clock, Directory: directory.New(logger.Discard()), Ledger: ledger.New(),
		Screener: screener.New(screener.Options{Timer: clock, Log: logger.Discard()}), Deferrer: deferrer.New(),
	}}
	s := &stream{
		job: &job{
			Gateway: g, route: &routing.Route{Attempts: 2, Repeat: routing.Resumable}, deadline: time.Now().Add(time.Minute),
			service: &routing.Service{Engine: &routing.Engine{}},
		},
		ctx: t.Context(), engineDown: make(chan struct{}, 1), rejectedBy: map[unit.BackendID]bool{}, runs: 2, sends: 2, started: true, lastProgressAt: time.Now().Add(-silent),
	}
	s.setChain(pathfinder.Path{Chain: backend.Chain{{ID: "head"}, {ID: "tail"}}})
	return s, j
}

// Guards against a request that runs on more engines than its route allows, which
// happens when the first engine is silent behind a link that loses packets, but still
// runs the request.
func TestLossyLink(t *testing.T) {
	tests := []struct {
		name    string
		crashed bool
		want    step
	}{
		{"first engine is silent but runs the request", false, stepFail},
		{"first engine has crashed", true, stepRetry},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, j := newTestStream(t, 2*resumeWaitLimit)
			now := s.Timer.Now()
			j.SetDown("head", now, now.Add(time.Minute))
			if tt.crashed {
				j.RecordExit("head", now)
			}
			is.Equal(s.replaceDownEngines(), tt.want)
		})
	}
}

// Guards against a response that is cut although its first engine still runs it, and
// against a request that is held in vain, which happen when engines are replaced one
// after the other and the stream may not be sent again.
func TestSilentEngine(t *testing.T) {
	tests := []struct {
		name    string
		down    unit.BackendID
		silent  time.Duration
		started bool
		want    step
	}{
		{"later engine is down, first one answers", "tail", 2 * resumeWaitLimit, true, stepWait},
		{"first engine is silent for a moment", "head", resumeWaitLimit / 2, true, stepWait},
		{"first engine is silent for long", "head", 2 * resumeWaitLimit, true, stepFail},
		{"no event yet, the caller can retry", "tail", resumeWaitLimit / 2, false, stepFail},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, j := newTestStream(t, tt.silent)
			s.started = tt.started
			now := s.Timer.Now()
			j.SetDown(tt.down, now, now.Add(time.Minute))
			is.Equal(s.replaceDownEngines(), tt.want)
		})
	}
}

// Guards against a running response that is cut before there is another chain for it,
// which happens when a copy loses a later engine and no other copy has capacity:
// capacity may return, and the first engine holds the response for some seconds.
func TestNoCapacityElsewhere(t *testing.T) {
	tests := []struct {
		name    string
		down    unit.BackendID
		started bool
		crashed bool
		want    step
	}{
		{"first engine answers", "tail", true, false, stepWait},
		{"no event yet, the caller can retry", "tail", false, false, stepRetry},
		{"first engine is silent for long", "head", true, false, stepRetry},
		{"first engine has crashed", "head", true, true, stepRetry},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, j := newTestStream(t, 2*resumeWaitLimit)
			s.runs, s.sends, s.started = 1, 1, tt.started
			now := s.Timer.Now()
			j.SetDown(tt.down, now, now.Add(time.Minute))
			if tt.crashed {
				j.RecordExit(tt.down, now)
			}
			is.Equal(s.replaceDownEngines(), tt.want)
			is.Equal(s.replaceTimer != nil, tt.want == stepWait) // capacity is looked for again
		})
	}
}

// Guards against a running response that is given up before another one has begun, and
// against one that continues beside the other, which happen when a chain loses a later
// engine and the engines of another chain reject the stream.
func TestFallback(t *testing.T) {
	tests := []struct {
		name string
		do   func(*stream) step
		want step
		kept bool
	}{
		{"other chain rejects it", func(s *stream) step {
			return s.handleRejection(http.StatusServiceUnavailable, backend.ResponseMetadata{NotRun: true})
		}, stepWait, true},
		{"other chain breaks off", func(s *stream) step { return s.handleFailure(io.EOF) }, stepWait, true},
		{"other chain answers", func(s *stream) step {
			resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Oleandercove-Response-Stamp": {"x"}}}
			return s.handleHead(&exchanger.Exchange{Response: resp})
		}, stepWait, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newTestStream(t, 0)
			s.runs, s.sends = 2, 2
			stopped := false
			s.cancel = func() { stopped = true }
			old := make(chan message)
			s.messages = old
			s.keepFallback()
			s.attempt = attempt{messages: make(chan message)}
			s.setChain(pathfinder.Path{Chain: backend.Chain{{ID: "other"}}})
			is.Equal(tt.do(s), tt.want)
			is.Equal(stopped, !tt.kept)
			is.Equal(s.messages == (<-chan message)(old), tt.kept)
			is.Equal(s.usesEngine("head"), tt.kept)
			s.stopAttempts()
			is.True(stopped)
		})
	}
}

// Guards against a quarantined stream that is rerouted to other engines, which would
// crash too, and against a caller that is held, which happen when a stream crashes the
// later engines of its chain while the first one keeps running.
func TestQuarantinedStream(t *testing.T) {
	is := is.New(t)
	s, j := newTestStream(t, 2*resumeWaitLimit)
	for _, crash := range []quarantiner.CrashID{"a/1", "b/1", "c/1"} {
		s.Screener.RecordCrash(screener.CrashEvent{Fingerprint: s.fingerprint, Crash: crash})
	}
	now := s.Timer.Now()
	j.SetDown("tail", now, now.Add(time.Minute))
	is.Equal(s.replaceDownEngines(), stepFail)
	err := s.beginAttempt()
	is.Equal(err.Reason, verdict.Quarantined)
	is.Equal(s.refusal(err).Verdict, verdict.MayHaveRun) // it has already run
	is.Equal(s.sends, 2)
}
