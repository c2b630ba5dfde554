package settings

import "time"

// Services configures service calls, claims and the calls to the platform. 0 means
// the default of the package that uses the setting.
type Services struct {
	// RetryShare is the number of retries per request that the retry budget grants.
	RetryShare float64
	// RetryReserve is the largest number of unused retries that the budget keeps.
	RetryReserve float64
	// ClaimBuckets is the number of platform objects that hold the claims; it must be
	// the same on all daemons.
	ClaimBuckets int
	// ClaimRetentionHours is how many hours claims are kept.
	ClaimRetentionHours int
	// PlatformReadsPerSecond, PlatformWritesPerSecond and
	// PlatformWatchesPerSecond are this daemon's call budget; 0 means no limit.
	PlatformReadsPerSecond   float64
	PlatformWritesPerSecond  float64
	PlatformWatchesPerSecond float64
}

// ClaimRetention returns how long claims are kept.
func (s Services) ClaimRetention() time.Duration {
	return time.Duration(s.ClaimRetentionHours) * time.Hour
}
