package settings

import "time"

// Services configures service calls, claims and the calls to the platform. A
// zero means the default of the part that uses the setting.
type Services struct {
	// RetryShare is the share of real traffic that may be sent again.
	RetryShare float64
	// RetryReserve bounds the retries that are saved up.
	RetryReserve float64
	// ClaimBuckets is the number of bucket objects, the same on all daemons.
	ClaimBuckets int
	// ClaimRetentionHours is how long claims are kept.
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
