package settings

// Streams configures running model streams.
type Streams struct {
	// Move lets late streams move to a faster engine when that pays.
	Move bool
}
