package gateway

import (
	"time"

	"oleandercove.example/core/verdict"
)

const (
	// minResumeInterval and maxResumeInterval bound the time between two searches for
	// another chain.
	minResumeInterval = 60 * time.Millisecond
	maxResumeInterval = 500 * time.Millisecond
	// resumeIntervalDivisor is the divisor of the silence of a stream that yields the time
	// until the next search, so that streams that wait for long cost little.
	resumeIntervalDivisor = 8
	// rejectionTime is how long an engine that rejected its stage of a request is left out of
	// the chains of that request.
	rejectionTime = time.Second
)

// resumeInterval returns the time until the next search for another chain, for a stream
// whose caller has received nothing for the given time.
func resumeInterval(silent time.Duration) time.Duration {
	return min(max(minResumeInterval, silent/resumeIntervalDivisor), maxResumeInterval)
}

// mayBeginLater reports whether a request that was refused may be sent a moment later. A
// request that is not quarantined waits for the end of another copy, or for the records of a
// crash.
func (s *stream) mayBeginLater(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.Overloaded, verdict.PlatformUnavailable:
		return true
	case verdict.Quarantined:
		return s.Screener.QuarantineRefusal(s.identity) == nil
	default:
		return false
	}
}
