package engine

import (
	"time"

	"oleandercove.example/core/unit"
)

// OrderOutcome is the result of an order on an engine.
type OrderOutcome string

const (
	// OrderApplied means that the order set or confirmed the target.
	OrderApplied OrderOutcome = "Applied"
	// OrderStale means that the engine refused the order for its old fencing number.
	OrderStale OrderOutcome = "Stale"
)

// OrderRecord is one entry of an engine's journal of orders.
type OrderRecord struct {
	Backend unit.BackendID
	At      time.Time
	Outcome OrderOutcome
	Order   Order
}

// RangeKey identifies a range of layers of a model.
type RangeKey struct {
	Model    unit.EntryName
	From, To unit.Layer
}
