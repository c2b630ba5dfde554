package settings

import "time"

// Admission configures the admission of model requests.
type Admission struct {
	// Off lets every request through, for measurements.
	Off bool
	// MaxWaitMs bounds the wait of a request; 0 means the default.
	MaxWaitMs int
}

// MaxWait returns the longest wait.
func (a Admission) MaxWait() time.Duration { return time.Duration(a.MaxWaitMs) * time.Millisecond }
