package caller

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"oleandercove.example/core/api"
	"oleandercove.example/core/receiver"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/classifier"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/tracer"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// defaultTimeout is the progress limit of an attempt if the entry sets no timeout.
	defaultTimeout = 10 * time.Second
	// minTimeout is the smallest progress limit, so that a short deadline doesn't end every
	// attempt at once.
	minTimeout = 20 * time.Millisecond
	// answerMargin is the time reserved before the caller's deadline, so that the caller
	// still receives the verdict.
	answerMargin = 20 * time.Millisecond
	// plannedAttempts divides the deadline of an idempotent call among attempts on a
	// reused connection, on a new one and on another backend server.
	plannedAttempts = 3
)

// call is one service call with its attempts.
type call struct {
	*Caller
	r          *request.Request
	idempotent bool
	tried      map[unit.BackendID]bool
	// mayHaveRun is the error of the last attempt that may have run; nil if there is none.
	mayHaveRun *verdict.Error
}

// failure is a failed attempt.
type failure struct {
	outcome classifier.Outcome
	reused  bool
	err     *verdict.Error
}

// progressLimit returns how long an attempt may wait for the next byte from the backend
// server: the timeout of the entry, within a share of the remaining time.
func progressLimit(remaining time.Duration, timeoutMs int, idempotent bool) time.Duration {
	limit := defaultTimeout
	if timeoutMs > 0 {
		limit = time.Duration(timeoutMs) * time.Millisecond
	}
	share := remaining - answerMargin
	if idempotent {
		share = remaining / plannedAttempts
	}
	return max(min(limit, share), minTimeout)
}

// sendAttempt makes one attempt. It blocks until the response is complete, the attempt
// fails or receives no byte for its limit, or ctx is done. A complete response which states
// that the call has not run counts as a failed attempt. It returns nil once the result is in
// c.r.Call.
func (c *call) sendAttempt(ctx context.Context, b watcher.Backend, reuse bool) *failure {
	defer c.options.Tracker.Start(b.ID)()
	client := c.freshClient
	if reuse {
		client = c.reusingClient
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := progressLimit(time.Until(c.r.Deadline), c.r.Entry.Service.TimeoutMs, c.idempotent)
	watchdog := time.AfterFunc(limit, func() { cancel(tracer.ErrSilent) })
	defer watchdog.Stop()
	ctx, trace := tracer.Start(ctx, len(c.r.Call.Body), func() { watchdog.Reset(limit) })
	req, err := newRequest(ctx, c.r, b)
	if err != nil {
		return &failure{err: verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)}
	}
	res, err := client.Do(req)
	var body []byte
	if err == nil {
		defer res.Body.Close()
		if err = c.checkID(b, res, trace.Reused()); err != nil {
			res = nil // says nothing about this call
		}
	}
	if err == nil {
		body, err = receiver.ReadBody(res.Body, maxResponseBytes)
	}
	o := trace.Outcome(res, err == nil, tracer.Failure(ctx, err))
	if err == nil && !o.IsRefusal() {
		res.Header.Del(api.HeaderVerdict)
		c.r.Call.Result = &request.Result{Status: res.StatusCode, Header: res.Header, Body: body}
		return nil
	}
	return c.newFailure(b, o, trace.Reused(), err)
}

// errOtherID is the failure of an attempt that received the response to another request.
var errOtherID = errors.New("response without the id of the request")

// checkID returns an error if a response on a reused connection does not carry the id of the
// request, and so may belong to an earlier one. It records whether the backend server repeats
// ids.
func (c *call) checkID(b watcher.Backend, res *http.Response, reused bool) error {
	repeats := res.Header.Get(api.HeaderRequestID) == string(c.r.ID)
	if reused && !repeats {
		return errOtherID
	}
	c.repeatsIDs.Store(b.Address, repeats)
	return nil
}

// mayReuse reports whether the call may use a kept connection to a backend server: the call
// can be repeated, and responses can be matched to their requests.
func (c *call) mayReuse(b watcher.Backend) bool {
	repeats, ok := c.repeatsIDs.Load(b.Address)
	return c.idempotent && ok && repeats == true
}

// newFailure returns the failure of an attempt. It reports the backend server as suspect
// if a new connection failed before any byte of a response.
func (c *call) newFailure(b watcher.Backend, o classifier.Outcome, reused bool, err error) *failure {
	if !reused && o.Failure != classifier.FailureNone && o.Failure != classifier.FailureCanceled && o.Received == classifier.ReceivedNothing {
		c.options.Backends.Suspect(b.ID)
	}
	v := verdict.New(classifier.Classify(o), reason(o), "worker %s: %s (sent %d, received %d): %v", b.ID, o.Failure, o.Sent, o.Received, err)
	return &failure{outcome: o, reused: reused, err: v.WithRetryAfter(retryAfter)}
}

func reason(o classifier.Outcome) verdict.Reason {
	switch {
	case o.Failure == classifier.FailureTimeout:
		return verdict.DeadlineExceeded
	case o.Failure == classifier.FailureCanceled:
		return verdict.Canceled
	case o.Failure == classifier.FailureNone && o.Reused:
		// The refusal may be that of an earlier call.
		return verdict.BackendFailed
	case o.Failure == classifier.FailureNone:
		return verdict.Overloaded
	case !o.Connected:
		return verdict.NoBackend
	default:
		return verdict.BackendFailed
	}
}

func newRequest(ctx context.Context, r *request.Request, b watcher.Backend) (*http.Request, error) {
	url := "http://" + b.Address + r.Call.Path
	if r.Call.Query != "" {
		url += "?" + r.Call.Query
	}
	req, err := http.NewRequestWithContext(ctx, r.Call.Method, url, bytes.NewReader(r.Call.Body))
	if err != nil {
		return nil, err
	}
	for _, k := range []string{"Content-Type", "Accept", api.HeaderIdempotencyKey} {
		if v := r.Call.Header.Get(k); v != "" {
			req.Header.Set(k, v)
		}
	}
	req.Header.Set(api.HeaderRequestID, string(r.ID))
	return req, nil
}
