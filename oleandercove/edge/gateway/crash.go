package gateway

import (
	"context"
	"errors"
	"io"
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

// endCheckTime bounds the check whether the process of a server has ended; a host
// that lives answers within a few milliseconds.
const endCheckTime = 50 * time.Millisecond

// checkEnd marks a call whose connection broke although there was time left. The server
// has ended if it refuses new ones; one that is silent has failed in a way that no
// request causes.
func (j *job) checkEnd(ctx context.Context, s backend.Server, err error) {
	if ctx.Err() != nil || !brokeOff(err) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTime)
	defer cancel()
	if !j.Exchanger.Refuses(ctx, s.Address) {
		j.mark(s.ID, screener.End{Broken: true})
		return
	}
	now := j.Timer.Now()
	j.Judge.Ended(s.ID, now)
	j.Judge.Down(s.ID, now, now.Add(judge.DownTime))
	j.mark(s.ID, screener.End{})
}

// brokeOff tells whether the other side ended a connection on which a request had been
// sent.
func brokeOff(err error) bool {
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

// checkResponse notes what a response says of the request and its server.
func (j *job) checkResponse(ctx context.Context, s backend.Server, o outcome) {
	switch {
	case errors.Is(o.err, errBroken):
		j.checkEnd(ctx, s, o.err)
	case o.usable():
		j.Screener.Passed(j.content, screener.Whole)
	}
}

// mark tells the screener that a server, or the connection to it, ended under the
// request.
func (j *job) mark(id unit.BackendID, e screener.End) {
	x, ok := j.Directory.Servers().Get(id)
	if !ok {
		x.ID = id
	}
	if !e.Broken {
		j.Meter.count("servers_ended_under_requests_total")
	}
	e.Request, e.Fingerprint, e.Crash = j.call.Request, j.content, screener.CrashOf(x)
	j.Screener.Ended(e)
}

// checkCrash finds out in the background whether the process of an engine has ended, and
// marks the request if so. The report that the prober keeps may be older than that.
// The channel is closed once it is known. Each engine is looked into once, and each
// chain gives one mark: engines that end together do so by themselves. With broke set, the connection to the engine
// ended before the first event.
func (s *stream) checkCrash(id unit.BackendID, broke bool) <-chan struct{} {
	known := make(chan struct{})
	x, ok := s.Directory.Servers().Get(id)
	if !ok || s.checked[id] {
		close(known)
		return known
	}
	if s.checked == nil {
		s.checked = map[unit.BackendID]bool{}
	}
	s.checked[id] = true
	if s.marked == nil {
		s.marked = &atomic.Bool{}
	}
	marked := s.marked
	e := screener.End{Position: s.position(), Progressed: s.progressed}
	go func() {
		defer close(known)
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTime)
		defer cancel()
		if !s.Judge.HasEnded(id, s.Timer.Now()) && !s.Exchanger.Refuses(ctx, x.Address) {
			if e.Broken = broke; broke && !marked.Swap(true) {
				s.mark(id, e)
			}
			return
		}
		s.Judge.Ended(id, s.Timer.Now())
		s.Prober.Down(id, "refuses connections")
		if !marked.Swap(true) {
			s.mark(id, e)
		}
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

// checkDown looks into the engines of the chain that are down.
func (s *stream) checkDown(now time.Time) {
	for _, h := range s.chain {
		if s.Judge.IsDown(h.ID, now) {
			s.checkCrash(h.ID, false)
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
	if len(s.checked) > 0 {
		s.Screener.Passed(s.content, s.position())
	}
}
