// Package verdict states whether a failed request may have run on a backend
// server.
//
// Every failure that a caller sees carries one of three verdicts. The retry policy
// and the response to the caller depend on the verdict and never on error text.
//
// Usage:
//
//	if v, ok := verdict.FromError(err); ok && v.Verdict == verdict.NotRun {
//		return retry(ctx, r)
//	}
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Verdict states whether a request ran on a backend server.
type Verdict string

const (
	// NotRun means that no backend server ran any part of the request.
	NotRun Verdict = "NotRun"
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun Verdict = "MayHaveRun"
	// Ran means that a backend server ran the request.
	Ran Verdict = "Ran"
)

// Reason names the cause of a refusal or failure.
type Reason string

const (
	// BadRequest means that the request is malformed.
	BadRequest Reason = "BadRequest"
	// TooLarge means that the request exceeds a size limit.
	TooLarge Reason = "TooLarge"
	// HeaderTooLarge means that the headers of the request exceed the limit.
	HeaderTooLarge Reason = "HeaderTooLarge"
	// SlowBody means that the body of the request did not arrive in time.
	SlowBody Reason = "SlowBody"
	// UnknownPath means that no route has the requested path.
	UnknownPath Reason = "UnknownPath"
	// WrongMethod means that the path has no route for the method.
	WrongMethod Reason = "WrongMethod"
	// Unauthorized means that the bearer token is missing or unknown.
	Unauthorized Reason = "Unauthorized"
	// UnknownEntry means that no catalogue entry has the requested name.
	UnknownEntry Reason = "UnknownEntry"
	// AccountLimit means that the client account has reached one of its limits.
	AccountLimit Reason = "AccountLimit"
	// Overloaded means that the queue is full or that its wait exceeds the deadline.
	Overloaded Reason = "Overloaded"
	// NoBackend means that no healthy backend server can take the request.
	NoBackend Reason = "NoBackend"
	// BackendFailed means that the backend server failed during the request.
	BackendFailed Reason = "BackendFailed"
	// DeadlineExceeded means that the caller's deadline passed.
	DeadlineExceeded Reason = "DeadlineExceeded"
	// Canceled means that the caller closed the connection.
	Canceled Reason = "Canceled"
	// Draining means that the daemon is shutting down.
	Draining Reason = "Draining"
	// Starting means that the daemon has not loaded the catalogue yet.
	Starting Reason = "Starting"
	// Quarantined means that the request crashed backend servers before.
	Quarantined Reason = "Quarantined"
	// DuplicateRunning means that an earlier request with the same idempotency key is
	// still running.
	DuplicateRunning Reason = "DuplicateRunning"
	// AlreadyRan means that an earlier request with the same idempotency key ran and
	// that its response was not kept.
	AlreadyRan Reason = "AlreadyRan"
	// PlatformUnavailable means that the platform's object API did not answer.
	PlatformUnavailable Reason = "PlatformUnavailable"
	// Conflict means that another update came before a conditional one.
	Conflict Reason = "Conflict"
	// OutcomeUnknown means that a write was sent and its outcome could not be
	// determined.
	OutcomeUnknown Reason = "OutcomeUnknown"
	// Internal means a bug in this program.
	Internal Reason = "Internal"
)

// Error is a failure with its verdict.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	Err        error
}

// Error returns the reason, verdict and detail as one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// New returns an Error with a formatted detail.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the error with d as the time until the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// FromError returns the first Error in the tree of err, as errors.As finds it.
func FromError(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// Status returns the HTTP status for a reason.
func (r Reason) Status() int {
	switch r {
	case BadRequest:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Unauthorized:
		return http.StatusUnauthorized
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case SlowBody:
		return http.StatusRequestTimeout
	case WrongMethod:
		return http.StatusMethodNotAllowed
	case UnknownEntry, UnknownPath:
		return http.StatusNotFound
	case AccountLimit:
		return http.StatusTooManyRequests
	case Quarantined:
		return http.StatusUnprocessableEntity
	case DuplicateRunning, AlreadyRan, Conflict:
		return http.StatusConflict
	case BackendFailed:
		return http.StatusBadGateway
	case DeadlineExceeded, OutcomeUnknown:
		return http.StatusGatewayTimeout
	case Canceled:
		return 499 // nginx's status for a client that closed the connection
	case Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
