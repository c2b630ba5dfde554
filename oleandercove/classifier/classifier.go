// Package classifier derives the verdict of an attempt (NotRun, MayHaveRun or
// Ran) from what was sent to a backend server and what was received.
//
// Usage:
//
//	v := classifier.Classify(classifier.Outcome{Connected: true, Sent: classifier.SentAll})
package classifier

import (
	"net/http"

	"oleandercove.example/core/verdict"
)

// Sent is how much of the request was written to the connection.
type Sent int

const (
	// SentNothing means that no byte was written.
	SentNothing Sent = iota
	// SentPartHead means that the header section is incomplete.
	SentPartHead
	// SentHead means that the header section is complete, without any body.
	SentHead
	// SentPartBody means that a part of the body was written.
	SentPartBody
	// SentAll means that the whole request was written.
	SentAll
)

// Received is how much of the response arrived.
type Received int

const (
	// ReceivedNothing means that no byte arrived.
	ReceivedNothing Received = iota
	// ReceivedPartHead means that the header section is incomplete.
	ReceivedPartHead
	// ReceivedStatus means that status and headers arrived, without any body.
	ReceivedStatus
	// ReceivedPartBody means that a part of the body arrived.
	ReceivedPartBody
	// ReceivedAll means that the whole response arrived.
	ReceivedAll
)

// Failure is the error that ended an attempt.
type Failure string

const (
	// FailureNone means that the call ended without an error.
	FailureNone Failure = ""
	// FailureRefused means that the connection was refused.
	FailureRefused Failure = "Refused"
	// FailureReset means that the connection was closed or reset.
	FailureReset Failure = "Reset"
	// FailureTimeout means that the caller's deadline passed.
	FailureTimeout Failure = "Timeout"
	// FailureSilent means that the connection stayed open without progress.
	FailureSilent Failure = "Silent"
	// FailureCanceled means that the caller disconnected or canceled the request.
	FailureCanceled Failure = "Canceled"
)

// Outcome describes one attempt of a call.
type Outcome struct {
	Connected bool
	Sent      Sent
	Received  Received
	Failure   Failure
	// Status is the status code, if the header section arrived.
	Status int
	// NotRunHeader is true if the response carries the header X-Verdict: NotRun.
	NotRunHeader bool
	// Reused is true if the connection carried an earlier call, whose response a faulty
	// server may have written once more.
	Reused bool
}

// IsRefusal reports whether the response states that the call has not run. On a reused
// connection this may concern an earlier call.
func (o Outcome) IsRefusal() bool {
	switch o.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return o.NotRunHeader
	}
	return false
}

// Classify returns the verdict of an attempt:
//
//   - Without a connection, or with an incomplete header section sent, and nothing
//     received, it is NotRun: a server can't run a request without its headers.
//   - With an incomplete response header section, or with a complete request header
//     section and nothing received, it is MayHaveRun: a server may run a request
//     whose body is incomplete.
//   - With a status received, the code decides, although it proves nothing about
//     execution by itself: 408, 429 and 503 are NotRun only with the header
//     X-Verdict, because a server may send them in the middle of a call. Without
//     the header they are MayHaveRun, as are 502 and 504, and so is any of them on a
//     reused connection. All other codes are Ran.
func Classify(o Outcome) verdict.Verdict {
	switch {
	case !o.Connected && o.Received == ReceivedNothing:
		return verdict.NotRun
	case o.Received >= ReceivedStatus:
		return classifyStatus(o)
	case o.Received == ReceivedPartHead:
		return verdict.MayHaveRun
	case o.Sent <= SentPartHead:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

func classifyStatus(o Outcome) verdict.Verdict {
	switch o.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if o.IsRefusal() && !o.Reused {
			return verdict.NotRun
		}
		return verdict.MayHaveRun
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return verdict.MayHaveRun
	default:
		return verdict.Ran
	}
}
