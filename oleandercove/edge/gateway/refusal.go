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
	// startingPause is when a caller of a daemon without configuration should
	// come back.
	startingPause = 500 * time.Millisecond
	// leavingPause is when a caller of a daemon that shuts down should come back;
	// its next connection goes to another daemon.
	leavingPause = 50 * time.Millisecond
	// stalePause is when a caller should come back after its key could not be
	// confirmed; another daemon may know more at once.
	stalePause = 300 * time.Millisecond
	// capacityPause is when a caller should come back if no engine has room. A
	// usual answer takes some seconds.
	capacityPause = 1500 * time.Millisecond
	// pauseSpread is the part of a pause by which it is lengthened at random, so
	// that callers that were refused together don't return together.
	pauseSpread = 1.0
	// returnShare is the part of the time left after which a caller no longer
	// waits for the time to come back.
	returnShare = 3
	// discardTime bounds the reading of a body after its request was refused.
	discardTime = 500 * time.Millisecond
	jsonType    = "application/json"
)

var pointSeed = maphash.MakeSeed()

// point returns a number in [0, 1) for the split of a route.
func (j *job) point() float64 {
	if j.call.Request == "" {
		return rand.Float64()
	}
	return float64(maphash.String(pointSeed, string(j.call.Request))>>11) / (1 << 53)
}

// refuse answers the caller with a failure of the router.
func (j *job) refuse(err *verdict.Error) {
	j.Meter.refused(err.Reason)
	j.Log.Info("request refused", "id", j.call.Request, "content", j.content, "route", j.routeName(), "verdict", err.Verdict,
		"reason", err.Reason, "detail", err.Detail, "after", time.Since(j.began), "left", j.left())
	h := j.w.Header()
	platform.SetRequest(h, j.call.Request)
	h.Set("Content-Type", jsonType)
	status := statusOf(err.Reason)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfter(err.RetryAfter, j.left(), rand.Float64()))
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

// statusOf returns the status for a reason. Callers take only some statuses as the
// promise that a request has not run, and the one for content that ends backend
// servers is not among them.
func statusOf(r verdict.Reason) int {
	if r == verdict.Quarantined {
		return http.StatusServiceUnavailable
	}
	return r.Status()
}

// discardBody reads what a refused caller still sends. A connection that is
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

// retryAfter returns when a caller should come back, in seconds. Returns are
// spread at random and lie within what the caller waits for.
func retryAfter(pause, left time.Duration, random float64) string {
	d := time.Duration(float64(pause) * (1 + pauseSpread*random))
	if longest := left / returnShare; d > longest {
		d = longest
	}
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 2, 64)
}
