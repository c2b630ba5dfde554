package gateway

import (
	"encoding/json"
	"errors"
	"hash/maphash"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"oleandercove.example/core/api"
	"oleandercove.example/core/verdict"
	"oleandercove.example/platform"
)

const (
	// startingRetryAfter is when callers may retry at a daemon that has no configuration
	// yet. It reads one within some milliseconds of its start.
	startingRetryAfter = 150 * time.Millisecond
	// drainingRetryAfter is when callers of a daemon that shuts down may retry; their
	// next connection goes to another daemon.
	drainingRetryAfter = 50 * time.Millisecond
	// staleViewRetryAfter is when callers may retry after this daemon's view was too old to
	// decide; another daemon may have a newer one.
	staleViewRetryAfter = 300 * time.Millisecond
	// faultRetryAfter is when callers may retry after a fault that lasts some seconds: the
	// retry budget is used up, or the configuration has no such service.
	faultRetryAfter = 1500 * time.Millisecond
	// memoryRetryAfter is when callers may retry after there was no memory for their body.
	// Requests with a large body last about as long; another daemon may have room.
	memoryRetryAfter = 500 * time.Millisecond
	// retryAfterJitter is the largest random extension of a delay, as a share of it, so
	// that callers that were refused together don't retry together.
	retryAfterJitter = 1.0
	// retryAfterDivisor is the divisor of the time left that yields the longest
	// Retry-After: a caller whose deadline is near must still be able to retry.
	retryAfterDivisor = 3
	// discardTime bounds the reading of a body after its request was refused.
	discardTime = 500 * time.Millisecond
	jsonType    = "application/json"
)

var splitSeed = maphash.MakeSeed()

// splitPoint returns a number in [0, 1) for the traffic split of a route. It is derived
// from the request id if there is one.
func (j *job) splitPoint() float64 {
	if j.call.Request == "" {
		return rand.Float64()
	}
	return float64(maphash.String(splitSeed, string(j.call.Request))>>11) / (1 << 53)
}

// refuse answers the caller with a refusal by the router.
func (j *job) refuse(err *verdict.Error) {
	j.Meter.countRefusal(err.Reason)
	delay := retryAfter(err.RetryAfter, j.timeLeft(), rand.Float64())
	views := j.Directory.Views(j.Timer.Now())
	j.Log.Info("request refused", "id", j.call.Request, "content", j.identity.Content, "parts", j.loggedParts(), "route", j.routeName(), "verdict", err.Verdict,
		"reason", err.Reason, "detail", err.Detail, "class", j.rank.Number, "account", j.account, "rule", j.claim.Rule, "held_back", j.claim.HeldBack, "plan_age", j.claim.Age, "after", time.Since(j.arrivedAt), "left", j.timeLeft(), "retry_after", delay,
		"revision", j.Directory.Revision(), "configuration_age", views.Configuration.Age, "servers_age", views.Servers.Age)
	h := j.w.Header()
	platform.SetRequestID(h, j.call.Request)
	h.Set("Content-Type", jsonType)
	status := statusOf(err.Reason)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", delay)
	}
	if err.Reason == verdict.SlowBody || err.Reason == verdict.TooLarge {
		h.Set("Connection", "close")
	}
	body, jsonErr := json.Marshal(api.Refusal{Verdict: err.Verdict, Reason: err.Reason, Detail: err.Detail})
	if jsonErr != nil {
		j.Log.Error("refusal can't be encoded", "err", jsonErr)
	}
	j.w.WriteHeader(status)
	if _, err := j.w.Write(body); err != nil {
		j.Log.Debug("refusal not delivered", "id", j.call.Request, "err", err)
		return
	}
	j.discardBody()
}

// statusOf returns the HTTP status for a reason. Callers interpret only some statuses as
// a guarantee that a request has not run, and the usual one for content that crashes
// backend servers is not among them.
func statusOf(r verdict.Reason) int {
	if r == verdict.Quarantined {
		return http.StatusServiceUnavailable
	}
	return r.Status()
}

// discardBody reads the rest of the body of a refused request. A connection that is
// closed with unread data is reset, and the caller can lose the refusal.
func (j *job) discardBody() {
	if j.body != nil || j.r.Body == nil || j.r.Body == http.NoBody {
		return
	}
	rc := http.NewResponseController(j.w)
	err := rc.Flush()
	if err == nil {
		err = rc.SetReadDeadline(time.Now().Add(discardTime))
	}
	if err == nil {
		_, err = io.Copy(io.Discard, j.r.Body)
	}
	if err != nil && !errors.Is(err, http.ErrBodyReadAfterClose) {
		j.Log.Debug("rest of a refused body not read", "id", j.call.Request, "err", err)
	}
}

func (j *job) routeName() string {
	if j.route == nil {
		return ""
	}
	return string(j.route.Name)
}

// retryAfter returns when a caller may retry, in seconds. Delays are spread at random
// and bounded by a share of the time for which the caller waits.
func retryAfter(delay, left time.Duration, random float64) string {
	d := time.Duration(float64(delay) * (1 + retryAfterJitter*random))
	if longest := left / retryAfterDivisor; d > longest {
		d = longest
	}
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 2, 64)
}
