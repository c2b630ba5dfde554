package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/platform"
)

// outcome is what became of one attempt.
type outcome struct {
	verdict verdict.Verdict
	// response is set if the server answered with a whole response or with the
	// beginning of a large one.
	exchange *exchanger.Exchange
	whole    []byte
	rest     bool
	err      error
	// cancel ends the time of the attempt; it is nil without one.
	cancel context.CancelFunc
}

// usable tells whether the outcome is an answer for the caller.
func (o outcome) usable() bool { return o.exchange != nil && o.verdict == verdict.Ran }

// failed tells whether another server might answer better.
func (o outcome) failed() bool {
	return !o.usable() || o.exchange.Response.StatusCode >= http.StatusInternalServerError
}

// reached tells whether the request may have reached the server.
func reached(o outcome) bool {
	var e *exchanger.Error
	return !errors.As(o.err, &e) || e.Sent
}

// causeOf is why the last attempt failed, if there was one.
func causeOf(o outcome) error {
	if o.err == nil {
		return errNoneLeft
	}
	return o.err
}

var errNoneLeft = errors.New("none may be asked now")

var (
	errUnsigned = errors.New("response without signature")
	errEncoded  = errors.New("response with an encoding nobody asked for")
	errBroken   = errors.New("response broke off")
)

// readResponse reads a response as far as it is held before the caller gets it.
func (j *job) readResponse(e *exchanger.Exchange) outcome {
	a := platform.DecodeAnswer(e.Response.StatusCode, e.Response.Header)
	o := outcome{verdict: verdict.Ran, exchange: e}
	switch {
	case a.NotRun:
		o.verdict, o.err = verdict.NotRun, errors.New("server rejected the request: "+e.Response.Status)
	case promisesNotRun(e.Response.StatusCode):
		o.verdict, o.err = verdict.MayHaveRun, errors.New("rejection without sign that the request has not run: "+e.Response.Status)
	case e.Response.StatusCode < http.StatusMultipleChoices && !a.Signed:
		o.verdict, o.err = verdict.MayHaveRun, errUnsigned
	case e.Response.Header.Get("Content-Encoding") != "":
		o.verdict, o.err = verdict.MayHaveRun, errEncoded
	}
	data, err := io.ReadAll(io.LimitReader(e.Response.Body, wholeBody))
	o.whole = data
	if err != nil && o.verdict == verdict.Ran {
		o.verdict, o.err = verdict.MayHaveRun, errors.Join(errBroken, err)
	}
	o.rest = len(data) == wholeBody
	return o
}

// promisesNotRun tells whether callers take a status as the promise that a request has
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// close ends the exchange before its context, so that the connection of a whole
// response is kept.
func (o outcome) close() {
	if o.exchange != nil {
		o.exchange.Close()
	}
	if o.cancel != nil {
		o.cancel()
	}
}
