package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/screener"
)

// endCheckTime bounds the check whether the process of a server has ended; a host
// that lives answers within a few milliseconds.
const endCheckTime = 50 * time.Millisecond

// checkEnd marks a call under which the process of a server ended: its connection
// broke, although there was time left, and the server refuses new ones. A server that
// is silent has failed in a way that no request causes.
func (j *job) checkEnd(ctx context.Context, s backend.Server, err error) {
	var x *exchanger.Error
	if ctx.Err() != nil || (errors.As(err, &x) && !x.Sent) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTime)
	defer cancel()
	if !j.Exchanger.Refuses(ctx, s.Address) {
		return
	}
	now := j.Timer.Now()
	j.Judge.Ended(s.ID, now)
	j.Judge.Down(s.ID, now, now.Add(judge.DownTime))
	j.serverEnded(s.ID, 0, false)
}

// checkResponse notes what a response says of the request and its server.
func (j *job) checkResponse(ctx context.Context, s backend.Server, o outcome) {
	switch {
	case errors.Is(o.err, errBroken):
		j.checkEnd(ctx, s, o.err)
	case o.usable():
		j.Screener.Passed(j.content, screener.Whole)
	}
}

// serverEnded tells the screener that the process of a server ended under the request.
func (j *job) serverEnded(id unit.BackendID, position int, progressed bool) {
	x, ok := j.Directory.Servers().Get(id)
	if !ok {
		x.ID = id
	}
	j.Meter.count("servers_ended_under_requests_total")
	j.Screener.Ended(screener.End{
		Request: j.call.Request, Fingerprint: j.content, Crash: screener.CrashOf(x), Position: position, Progressed: progressed,
	})
}

// accuse finds out in the background whether the process of an engine has ended, and
// marks the request if so. The report that the prober keeps may be older than that.
// The channel is closed once it is known.
func (s *stream) accuse(id unit.BackendID) <-chan struct{} {
	s.accused = true
	known := make(chan struct{})
	x, ok := s.Directory.Servers().Get(id)
	if !ok {
		close(known)
		return known
	}
	position, progressed := s.position(), s.progressed
	go func() {
		defer close(known)
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTime)
		defer cancel()
		if !s.Judge.HasEnded(id, s.Timer.Now()) && !s.Exchanger.Refuses(ctx, x.Address) {
			return
		}
		s.Judge.Ended(id, s.Timer.Now())
		s.Prober.Down(id, "refuses connections")
		s.serverEnded(id, position, progressed)
	}()
	return known
}

// countEnded notes that the running attempt ended with the process of its first
// engine, if that is known.
func (s *stream) countEnded(now time.Time) {
	if !s.firstEnded && s.Judge.HasEnded(s.chain[0].ID, now) {
		s.firstEnded = true
		s.endedRuns++
	}
}

// accuseDown looks into the engines of the chain that are down.
func (s *stream) accuseDown(now time.Time) {
	for _, h := range s.chain {
		if s.Judge.IsDown(h.ID, now) {
			s.accuse(h.ID)
		}
	}
}

// position is the number of the last event that the caller has; 0 where events have
// no numbers.
func (s *stream) position() int {
	n, err := strconv.Atoi(string(s.last))
	if err != nil {
		return 0
	}
	return n
}

// passed clears the request once it is beyond the points at which engines ended.
func (s *stream) passed() {
	s.progressed = true
	if s.accused {
		s.Screener.Passed(s.content, s.position())
	}
}
