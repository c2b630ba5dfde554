// Package classifier derives the verdict of a failed or answered call from
// what was written to a backend server and what came back.
//
// Usage:
//
//	v := classifier.Classify(classifier.Outcome{Connected: true, Sent: classifier.SentAll})
package classifier

import (
	"net/http"

	"oleandercove.example/core/verdict"
)

// Sent is how much of the request was handed to the connection.
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

// Failure is the error that ended a call.
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
	// FailureCanceled means that the caller went away.
	FailureCanceled Failure = "Canceled"
)

// Outcome describes what happened to one attempt of a call.
type Outcome struct {
	Connected bool
	Sent      Sent
	Received  Received
	Failure   Failure
	// Status is the status code, if the header section arrived.
	Status int
	// SaysNotRun is true if the response carries the header X-Verdict: NotRun.
	SaysNotRun bool
}

// Classify returns the verdict of an attempt.
//
// A server can't run a request whose header section is incomplete, but it may
// run one whose body is incomplete. A status code alone proves nothing about
// execution: 408, 429 and 503 count as NotRun only with the header X-Verdict,
// because a server may send them in the middle of a call.
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
		if o.SaysNotRun {
			return verdict.NotRun
		}
		return verdict.MayHaveRun
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return verdict.MayHaveRun
	default:
		return verdict.Ran
	}
}
