package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/platform"
)

const (
	// wholeBody is the largest response, in bytes, that is read before the caller
	// gets its head, so that a response that breaks off can be replaced.
	wholeBody = 64 << 10
	// usualLatency is assumed of servers that have not answered yet.
	usualLatency = 20 * time.Millisecond
	// otherCentre is the factor of cost of a server in another data centre.
	otherCentre = 1.5
	// brokeFactor is that of a server at which a connection broke under the same content.
	brokeFactor = 100
	// attemptShare is the part of the time left that an idempotent request waits
	// for one server while another one may still be tried.
	attemptShare = 0.45
	// minAttempt is the least time in which another attempt makes sense.
	minAttempt = 5 * time.Millisecond
)

// runCall answers a request for a plain service.
func (j *job) runCall(ctx context.Context) {
	var last outcome
	tried := map[unit.BackendID]bool{}
	ran := false
	var excluded exclusions
	for sent := 0; sent < j.route.Attempts; {
		leave, err := j.Screener.Enter(ctx, j.content)
		if err != nil {
			if !ran {
				j.refuse(err)
				return
			}
			break
		}
		defer leave()
		excluded = exclusions{}
		s, ok := j.pickServer(tried, j.Screener.Servers(j.content), &excluded)
		if !ok || (sent > 0 && !j.Budgeter.Again(j.service.Name)) {
			break
		}
		if err := j.checkKeys(); err != nil {
			if sent == 0 {
				j.refuse(err)
				return
			}
			break
		}
		last.close()
		tried[s.ID] = true
		last = j.attempt(ctx, s, sent+1 < j.route.Attempts)
		leave()
		if reached(last) {
			if sent == 0 {
				j.Budgeter.First(j.service.Name)
			}
			sent++
		}
		ran = ran || last.verdict != verdict.NotRun
		if ctx.Err() != nil || !last.failed() || !j.mayRepeat(last) || j.left() < minAttempt {
			break
		}
		j.Log.Info("attempt failed", "id", j.call.Request, "content", j.content, "server", s.ID, "verdict", last.verdict, "err", last.err, "left", j.left())
	}
	j.finishCall(ctx, last, ran, excluded)
}

// mayRepeat tells whether a second run is impossible or harmless.
func (j *job) mayRepeat(o outcome) bool {
	return o.verdict == verdict.NotRun || j.idempotent()
}

// finishCall passes the last response on or says why there is none.
func (j *job) finishCall(ctx context.Context, o outcome, ran bool, excluded exclusions) {
	defer o.close()
	switch {
	case o.usable():
		j.deliver(o)
	case j.r.Context().Err() != nil:
		j.Log.Info("caller left", "id", j.call.Request, "after", time.Since(j.began))
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && ran:
		j.refuse(verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "no answer in time"))
	case ran:
		j.refuse(verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "no usable answer: %v", o.err))
	default:
		err := verdict.New(verdict.NotRun, verdict.NoBackend, "no backend server took the request: %v", causeOf(o)).After(callPause(j.route.Objective))
		j.refuse(excluded.explain(err, j.Timer.Now()))
	}
}

// callPause is when a caller should come back after no server of a plain
// service took its request: after about one usual answer.
func callPause(objective time.Duration) time.Duration { return max(50*time.Millisecond, objective/2) }

// idempotent tells whether the route allows a second run.
func (j *job) idempotent() bool { return j.route.Repeat != 0 }

// pickServer returns the server with the lowest expected delay. Those at which a
// connection broke under the same content come last.
func (j *job) pickServer(tried, broke map[unit.BackendID]bool, excluded *exclusions) (backend.Server, bool) {
	now := j.Timer.Now()
	var best backend.Server
	found, lowest := false, 0.0
	for _, s := range j.Directory.Servers().Of(j.service.Name) {
		if reason, until := j.Judge.Out(s, j.Ledger.OwnRunning(s.ID), now); reason != judge.Chosen {
			excluded.note(s, reason, j.Judge.BackoffSince(s.ID), until)
			continue
		}
		if tried[s.ID] {
			continue
		}
		c := j.serverCost(s, now)
		if broke[s.ID] {
			c *= brokeFactor
		}
		if !found || c < lowest {
			best, lowest, found = s, c, true
		}
	}
	return best, found
}

// serverCost is the expected delay at a server: its response time, stretched by
// its queue, its failures and the distance, with a little noise against herding.
func (j *job) serverCost(s backend.Server, now time.Time) float64 {
	rating := j.Judge.Rate(s.ID, now)
	latency := rating.Latency
	if latency == 0 {
		latency = usualLatency
	}
	queue := float64(j.Ledger.Load(s.ID).Running+1) / float64(max(1, s.Slots))
	cost := latency.Seconds() * rating.Factor * (0.3 + queue) * (1 + 0.1*rand.Float64())
	if s.DataCentre != j.DataCentre {
		cost *= otherCentre
	}
	return cost
}

// attempt sends the request to one server and reads its response.
func (j *job) attempt(ctx context.Context, s backend.Server, more bool) outcome {
	ticket := j.Ledger.Begin([]ledger.Item{{Server: s.ID}})
	defer ticket.End()
	limit := j.left()
	if more && j.idempotent() {
		limit = time.Duration(attemptShare * float64(limit))
	}
	actx, cancel := context.WithTimeout(ctx, limit)
	began := time.Now()
	e, err := j.send(actx, s.Address, backend.Send{Server: s.ID})
	if err != nil {
		j.checkEnd(actx, s, err)
		cancel()
		return j.unsent(s, err)
	}
	o := j.readResponse(e)
	o.cancel = cancel
	j.checkResponse(actx, s, o)
	j.rate(s, o, time.Since(began))
	return o
}

// unsent judges an attempt without a response.
func (j *job) unsent(s backend.Server, err error) outcome {
	now := j.Timer.Now()
	var x *exchanger.Error
	if errors.As(err, &x) && x.Refused {
		if j.Judge.Down(s.ID, now, now.Add(judge.DownTime)) {
			j.Log.Warn("backend server does not answer", "id", s.ID, "err", err)
		}
	} else if j.r.Context().Err() == nil {
		j.Judge.Failed(s.ID, now)
	}
	if x != nil && !x.Sent {
		return outcome{verdict: verdict.NotRun, err: err}
	}
	return outcome{verdict: verdict.MayHaveRun, err: err}
}

// rate tells the judge how a server did.
func (j *job) rate(s backend.Server, o outcome, took time.Duration) {
	if o.failed() {
		j.Judge.Failed(s.ID, j.Timer.Now())
		return
	}
	j.Judge.Succeeded(s.ID, took)
}

// deliver passes a response on to the caller.
func (j *job) deliver(o outcome) {
	resp := o.exchange.Response
	j.copyHeader(resp)
	if !o.rest {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(o.whole)))
	}
	j.w.WriteHeader(resp.StatusCode)
	_, err := io.Copy(j.w, io.MultiReader(bytes.NewReader(o.whole), resp.Body))
	if err != nil {
		j.Log.Info("response broke off", "id", j.call.Request, "err", err)
		panic(http.ErrAbortHandler)
	}
	j.Meter.callTime.RecordDuration(time.Since(j.began))
}

// copyHeader passes the head of a response on. Without a type from the server
// the library must not guess one.
func (j *job) copyHeader(resp *http.Response) {
	h := j.w.Header()
	for k, v := range platform.CallerHeader(resp.Header) {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
}
