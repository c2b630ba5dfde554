package settings

// Streams configures running model streams.
type Streams struct {
	// Move lets late streams migrate to a faster engine when that is worth the cost
	// of the migration.
	Move bool
}
