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
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/platform"
)

const (
	// maxBufferedBody is the largest part of a response, in bytes, that is read before
	// the caller gets its headers, so that a response that breaks off can be replaced.
	maxBufferedBody = 64 << 10
	// defaultLatency is the latency assumed for servers without a response so far.
	defaultLatency = 20 * time.Millisecond
	// remoteFactor multiplies the cost of a server in another data centre.
	remoteFactor = 1.5
	// crashRecordFactor multiplies the cost of a server with a crash record of the same
	// content.
	crashRecordFactor = 100
	// attemptShare is the share of the time left that an idempotent request waits for
	// one server while another one may still be tried.
	attemptShare = 0.45
	// minAttemptTime is the least time left for which another attempt is made.
	minAttemptTime = 5 * time.Millisecond
)

// runCall answers a request for a plain service. It tries one server after the other,
// as long as the route, the retry budget and the time left allow.
func (j *job) runCall(ctx context.Context) {
	var last outcome
	tried := map[unit.BackendID]bool{}
	ran := false
	var excluded exclusions
	for sent := 0; sent < j.route.Attempts; {
		release, err := j.Screener.Enter(ctx, j.identity)
		if err != nil {
			if !ran {
				j.refuse(err)
				return
			}
			break
		}
		defer release()
		excluded = exclusions{}
		s, ok := j.takeServer(tried, j.Screener.CrashedServers(j.identity.Content), &excluded)
		if !ok || (sent > 0 && j.Budgeter.TakeRetry(j.service.Name) != nil) {
			break
		}
		if err := j.checkViews(); err != nil {
			if sent == 0 {
				j.refuse(err)
				return
			}
			break
		}
		last.close()
		tried[s.ID] = true
		last = j.tryServer(ctx, s, sent+1 < j.route.Attempts && j.mayTryOther(tried))
		release()
		if mayHaveReached(last) {
			if sent == 0 {
				j.Budgeter.CountRequest(j.service.Name)
			}
			sent++
		}
		ran = ran || last.verdict != verdict.NotRun
		if ctx.Err() != nil || !last.failed() || !j.mayRepeat(last) || j.timeLeft() < minAttemptTime {
			break
		}
		j.Log.Info("attempt failed", "id", j.call.Request, "content", j.identity.Content, "parts", j.loggedParts(), "server", s.ID, "verdict", last.verdict, "err", last.err, "left", j.timeLeft())
	}
	j.finishCall(ctx, last, ran, excluded)
}

// mayRepeat reports whether the request may be sent again: it has not run, or a second
// run does no harm.
func (j *job) mayRepeat(o outcome) bool {
	return o.verdict == verdict.NotRun || j.idempotent()
}

// finishCall delivers the last response, or refuses the request with the reason why
// there is none.
func (j *job) finishCall(ctx context.Context, o outcome, ran bool, excluded exclusions) {
	defer o.close()
	switch {
	case o.usable():
		j.deliver(o)
	case j.r.Context().Err() != nil:
		j.Log.Info("caller disconnected", "id", j.call.Request, "after", time.Since(j.arrivedAt))
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && ran:
		j.refuse(verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "no answer in time"))
	case ran:
		j.refuse(verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "no usable answer: %v", o.err))
	default:
		err := verdict.New(verdict.NotRun, verdict.NoBackend, "no backend server took the request: %v", lastError(o)).WithRetryAfter(callRetryAfter(j.route.Objective))
		j.refuse(excluded.explain(err, j.Timer.Now()))
	}
}

// callRetryAfter returns when the caller of a plain service may retry after no server
// took its request: about the time of one usual response.
func callRetryAfter(objective time.Duration) time.Duration {
	return max(50*time.Millisecond, objective/2)
}

// idempotent reports whether the route allows a second run.
func (j *job) idempotent() bool { return j.route.Repeat != 0 }

// takeServer does the same as pickServer, and takes the right to send a request to a server that
// names a limit.
func (j *job) takeServer(tried, withRecords map[unit.BackendID]bool, excluded *exclusions) (backend.Server, bool) {
	for {
		s, ok := j.pickServer(tried, withRecords, excluded)
		// Another request may have taken the last one since the choice.
		if !ok || j.Throttler.Take(s) {
			return s, ok
		}
	}
}

// pickServer returns the server with the lowest expected delay that has not been tried.
// The servers in withRecords, which have a crash record of the same content, come last.
// Servers that must not be chosen now are added to excluded.
func (j *job) pickServer(tried, withRecords map[unit.BackendID]bool, excluded *exclusions) (backend.Server, bool) {
	now := j.Timer.Now()
	var best backend.Server
	found, lowest := false, 0.0
	for _, s := range j.Directory.Servers().ByService(j.service.Name) {
		if reason, until := j.Judge.ExclusionReason(s, j.Ledger.OwnRunning(s.ID), now); reason != judge.Eligible {
			excluded.add(s, reason, j.Judge.BackoffSince(s.ID), until)
			continue
		}
		if tried[s.ID] {
			continue
		}
		if ok, until := j.Throttler.Allows(s); !ok {
			excluded.addLimited(s, until)
			continue
		}
		c := j.serverCost(s, now)
		if withRecords[s.ID] {
			c *= crashRecordFactor
		}
		if !found || c < lowest {
			best, lowest, found = s, c, true
		}
	}
	return best, found
}

// mayTryOther reports whether a server that has not been tried could take the request now.
func (j *job) mayTryOther(tried map[unit.BackendID]bool) bool {
	_, ok := j.pickServer(tried, nil, &exclusions{})
	return ok
}

// serverCost returns the expected delay at a server: its response time, multiplied by
// factors for its queue, failures and distance. A little noise keeps daemons from
// choosing the same server together.
func (j *job) serverCost(s backend.Server, now time.Time) float64 {
	rating := j.Judge.Rate(s.ID, now)
	latency := rating.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	queue := float64(j.Ledger.Load(s.ID).Running+1) / float64(max(1, s.Slots))
	cost := latency.Seconds() * rating.Factor * (0.3 + queue) * (1 + 0.1*rand.Float64())
	if s.DataCentre != j.DataCentre {
		cost *= remoteFactor
	}
	return cost
}

// tryServer sends the request to one server and reads its response. With moreAttempts
// set, another server may be tried after it, and an idempotent request leaves time for that.
func (j *job) tryServer(ctx context.Context, s backend.Server, moreAttempts bool) outcome {
	ticket := j.Ledger.Begin([]ledger.Item{{Server: s.ID}})
	defer ticket.End()
	limit := j.timeLeft()
	if moreAttempts && j.idempotent() {
		limit = time.Duration(attemptShare * float64(limit))
	}
	actx, cancel := context.WithTimeout(ctx, limit)
	began := time.Now()
	e, err := j.send(actx, s.Address, backend.RequestMetadata{Server: s.ID})
	if err != nil {
		j.checkServerCrash(actx, s, err)
		cancel()
		return j.failedSend(s, err)
	}
	o := j.readResponse(e)
	o.cancel, o.remote = cancel, s.DataCentre != j.DataCentre
	j.checkResponse(actx, s, o)
	j.recordOutcome(s, o, time.Since(began))
	return o
}

// failedSend returns the outcome of an attempt without a response, and reports the
// failure to the judge.
func (j *job) failedSend(s backend.Server, err error) outcome {
	now := j.Timer.Now()
	var x *exchanger.Error
	if errors.As(err, &x) && x.Unreachable {
		if j.Judge.SetDown(s.ID, now, now.Add(judge.DownTime)) {
			j.Log.Warn("backend server does not answer", "id", s.ID, "err", err)
		}
	} else if j.r.Context().Err() == nil {
		j.Judge.RecordFailure(s.ID, now)
	}
	if x != nil && !x.Sent {
		return outcome{verdict: verdict.NotRun, err: err}
	}
	return outcome{verdict: verdict.MayHaveRun, err: err}
}

// recordOutcome reports the success or failure of a server to the judge.
func (j *job) recordOutcome(s backend.Server, o outcome, took time.Duration) {
	if o.failed() {
		j.Judge.RecordFailure(s.ID, j.Timer.Now())
		return
	}
	j.Judge.RecordSuccess(s.ID, took)
}

// deliver forwards a response to the caller.
func (j *job) deliver(o outcome) {
	resp := o.exchange.Response
	j.copyHeader(resp)
	if !o.partial {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
	}
	j.w.WriteHeader(resp.StatusCode)
	n, err := io.Copy(j.w, io.MultiReader(bytes.NewReader(o.body), resp.Body))
	if o.remote {
		j.Crossings.Add(measurer.Responses, int(n))
	}
	if err != nil {
		j.Log.Info("forwarding a response to the caller failed", "id", j.call.Request, "err", err)
		panic(http.ErrAbortHandler)
	}
	j.Meter.callTime.RecordDuration(time.Since(j.arrivedAt))
}

// copyHeader copies the headers of a response for the caller. Where the server sent no
// Content-Type or Date, net/http must not add its own.
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
