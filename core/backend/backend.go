// Package backend holds what is known of backend servers and what is said to
// them: registry entries, load reports, orders and chains.
//
// Usage:
//
//	for _, s := range servers {
//		if s.Usable() && s.Layers.Covers(12) {
//		}
//	}
package backend

import (
	"fmt"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

// Address is the IP address and port of a backend server.
type Address string

// Layers is the range [From, To) of model layers.
type Layers struct {
	From, To unit.Layer
}

// Len returns the number of layers.
func (l Layers) Len() int { return int(l.To - l.From) }

// Covers tells whether the range holds the layer.
func (l Layers) Covers(n unit.Layer) bool { return l.From <= n && n < l.To }

// Contains tells whether the range holds all layers of another one.
func (l Layers) Contains(o Layers) bool { return l.From <= o.From && o.To <= l.To }

// Within tells whether the range is one of a model with a number of layers.
func (l Layers) Within(layers unit.Layer) bool {
	return 0 <= l.From && l.From <= l.To && l.To <= layers
}

// String formats the range as FROM-TO.
func (l Layers) String() string { return fmt.Sprintf("%d-%d", l.From, l.To) }

// Incarnation tells two starts of a backend server under the same id apart: the
// Unix millisecond of its start.
type Incarnation int64

// Sequence counts the orders that an engine has accepted since its start.
type Sequence int64

// Server is the registry entry of a backend server.
type Server struct {
	ID         unit.BackendID
	Service    routing.ServiceName
	Address    Address
	DataCentre unit.DataCentre
	Slots      int
	// Draining means that the server takes no new work.
	Draining bool
	// LeavingSince is when the server itself said that it leaves, which also counts as
	// Draining; it is zero if it did not.
	LeavingSince time.Time
	Card         routing.CardName
	Layers       Layers
	Sequence     Sequence
	Born         Incarnation
}

// Report is the load of an engine as of some hundred milliseconds ago.
type Report struct {
	// Busy means that an order is being carried out.
	Busy     bool
	Layers   Layers
	Sequence Sequence
	Born     Incarnation
	Queued   int
	Running  int
	// Slowdown is how many times slower than usual the engine runs.
	Slowdown float64
	// Stalled lists requests of chains that begin here and that wait for an
	// engine that does not answer.
	Stalled []Stalled
}

// Stalled is a request that waits for a later engine of its chain.
type Stalled struct {
	Request unit.RequestID
	Engine  Address
}

// Hop is the part of one engine in a chain.
type Hop struct {
	ID      unit.BackendID
	Address Address
	Layers  Layers
}

// Chain is the engines that a request crosses, in order of layers. An engine
// that holds the whole model is a chain of one hop without layers.
type Chain []Hop

// Contains tells whether the engine is part of the chain.
func (c Chain) Contains(id unit.BackendID) bool {
	for _, h := range c {
		if h.ID == id {
			return true
		}
	}
	return false
}

// Placement is an order to an engine to hold a range of layers.
type Placement struct {
	Layers Layers
	// Expect is the sequence that the engine must have, so that an order that
	// arrives late meets another one and is refused.
	Expect Sequence
}

// OrderResult is the answer of an engine to an order.
type OrderResult string

const (
	// OrderBegun means that the engine carries the order out.
	OrderBegun OrderResult = "Begun"
	// OrderDone means that the engine is already in the state.
	OrderDone OrderResult = "Done"
	// OrderConflict means that the order doesn't fit the engine's state.
	OrderConflict OrderResult = "Conflict"
	// OrderRejected means any other refusal.
	OrderRejected OrderResult = "Rejected"
	// OrderUnknown means that no answer came; the engine may carry the order out
	// later.
	OrderUnknown OrderResult = "Unknown"
)

// Call is what a caller states about a request beside its route.
type Call struct {
	Request unit.RequestID
	// Allowed is the time that the caller waits; 0 means no bound.
	Allowed time.Duration
	Key     routing.AccessKey
	// PromptTokens and OutputTokens are zero for plain services. OutputTokens is
	// the most that the answer may have.
	PromptTokens int
	OutputTokens int
	// LastEvent is the last event of the stream that the caller has.
	LastEvent string
}

// Send is what the router tells a backend server beside the request of the
// caller.
type Send struct {
	Server  unit.BackendID
	Account unit.AccountID
	// Left is the time until the deadline of the caller; 0 means none.
	Left time.Duration
	// Chain is empty for servers that answer alone.
	Chain Chain
	// LastEvent replaces the caller's last event when a stream is resumed.
	LastEvent string
}

// Answer is what a backend server states about its response.
type Answer struct {
	Request unit.RequestID
	// Signed means that the response carries the signature of a server that ran
	// the request.
	Signed bool
	// NotRun means that the server did not run the request and will not.
	NotRun bool
	// Fault is the engine of the chain that refused; empty if it is the first.
	Fault Address
	// Leaving means that the server will end soon and takes no new work, whatever the
	// registry says.
	Leaving bool
	// Backoff is how long the server wants no requests from this host; 0 if it did not say.
	Backoff time.Duration
}
