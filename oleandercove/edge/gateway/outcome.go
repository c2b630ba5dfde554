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

// outcome is the result of one attempt.
type outcome struct {
	verdict verdict.Verdict
	// exchange is set if the server answered. body is its response, or the first part
	// of a large one if partial is set.
	exchange *exchanger.Exchange
	body     []byte
	partial  bool
	err      error
	// remote is set if the server is in another data centre than this daemon.
	remote bool
	// cancel releases the time limit of the attempt; it is nil if there is none.
	cancel context.CancelFunc
}

// usable reports whether the outcome is an answer for the caller.
func (o outcome) usable() bool { return o.exchange != nil && o.verdict == verdict.Ran }

// failed reports whether the attempt has no usable response, or one with a 5xx status.
func (o outcome) failed() bool {
	return !o.usable() || o.exchange.Response.StatusCode >= http.StatusInternalServerError
}

// mayHaveReached reports whether the request may have reached the server.
func mayHaveReached(o outcome) bool {
	var e *exchanger.Error
	return !errors.As(o.err, &e) || e.Sent
}

// lastError returns why the last attempt failed, or errNoneAvailable if there was none.
func lastError(o outcome) error {
	if o.err == nil {
		return errNoneAvailable
	}
	return o.err
}

// errNoneAvailable is the cause of a refusal if the request was sent to no server.
var errNoneAvailable = errors.New("none may be asked now")

var (
	// errUnsigned, errEncoded and errTruncated are failures of attempts that may have
	// run.
	errUnsigned  = errors.New("response without signature")
	errEncoded   = errors.New("response with an encoding nobody asked for")
	errTruncated = errors.New("response broke off")
)

// readResponse reads a response, up to the size that is buffered before the caller gets
// it, and returns the outcome.
func (j *job) readResponse(e *exchanger.Exchange) outcome {
	a := platform.DecodeResponseMetadata(e.Response.StatusCode, e.Response.Header)
	o := outcome{verdict: verdict.Ran, exchange: e}
	switch {
	case a.NotRun:
		o.verdict, o.err = verdict.NotRun, errors.New("server rejected the request: "+e.Response.Status)
	case impliesNotRun(e.Response.StatusCode):
		o.verdict, o.err = verdict.MayHaveRun, errors.New("rejection without sign that the request has not run: "+e.Response.Status)
	case e.Response.StatusCode < http.StatusMultipleChoices && !a.Signed:
		o.verdict, o.err = verdict.MayHaveRun, errUnsigned
	case e.Response.Header.Get("Content-Encoding") != "":
		o.verdict, o.err = verdict.MayHaveRun, errEncoded
	}
	data, err := io.ReadAll(io.LimitReader(e.Response.Body, maxBufferedBody))
	o.body = data
	if err != nil && o.verdict == verdict.Ran {
		o.verdict, o.err = verdict.MayHaveRun, errors.Join(errTruncated, err)
	}
	o.partial = len(data) == maxBufferedBody
	return o
}

// impliesNotRun reports whether callers interpret a status as a guarantee that a request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// close ends the exchange before its context, so that the connection of a complete
// response is kept.
func (o outcome) close() {
	if o.exchange != nil {
		o.exchange.Close()
	}
	if o.cancel != nil {
		o.cancel()
	}
}
