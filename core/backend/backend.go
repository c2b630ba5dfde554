// Package backend holds the types that describe backend servers and the messages to
// and from them: registry entries, load reports, orders, chains, and the metadata of
// requests and responses.
//
// Usage:
//
//	for _, s := range servers {
//		if !s.Draining && s.Layers.Covers(12) {
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

// Covers reports whether the range holds the layer.
func (l Layers) Covers(n unit.Layer) bool { return l.From <= n && n < l.To }

// Contains reports whether l holds all layers of o.
func (l Layers) Contains(o Layers) bool { return l.From <= o.From && o.To <= l.To }

// Within reports whether the range is valid for a model with modelLayers layers.
func (l Layers) Within(modelLayers unit.Layer) bool {
	return 0 <= l.From && l.From <= l.To && l.To <= modelLayers
}

// String formats the range as FROM-TO.
func (l Layers) String() string { return fmt.Sprintf("%d-%d", l.From, l.To) }

// Incarnation identifies one instance of a backend server among those with the same
// id. It is the Unix time of its start in milliseconds.
type Incarnation int64

// Sequence is the number of orders that an engine has accepted since its start.
type Sequence int64

// Server is the registry entry of a backend server.
type Server struct {
	ID         unit.BackendID
	Service    routing.ServiceName
	Address    Address
	DataCentre unit.DataCentre
	Slots      int
	// Draining means that the server accepts no new work.
	Draining bool
	// LeavingSince is the time at which the server itself announced that it is shutting
	// down, which also counts as Draining; it is zero if there was no such notice.
	LeavingSince time.Time
	Card         routing.CardName
	Layers       Layers
	Sequence     Sequence
	Born         Incarnation
}

// Report is the state and load of an engine. It lags by some hundred milliseconds.
type Report struct {
	// Busy means that the engine is executing an order.
	Busy     bool
	Layers   Layers
	Sequence Sequence
	Born     Incarnation
	Queued   int
	Running  int
	// Slowdown is the factor by which the engine is slower than usual.
	Slowdown float64
	// Stalled lists the requests whose chain starts at this engine and that wait for a
	// later engine that does not answer.
	Stalled []Stalled
}

// Stalled is a request that waits for a later engine of its chain.
type Stalled struct {
	Request unit.RequestID
	Engine  Address
}

// Hop is one stage of a chain: an engine and the layers that it runs.
type Hop struct {
	ID      unit.BackendID
	Address Address
	Layers  Layers
}

// Chain lists the engines that run a request, in order of layers. An engine that
// holds the whole model is a chain of one hop without layers.
type Chain []Hop

// Contains reports whether the engine is part of the chain.
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
	// Expect is the sequence that the engine must have to accept the order. A delayed
	// order finds a higher sequence and is refused.
	Expect Sequence
}

// OrderResult is the result of sending an order to an engine.
type OrderResult string

const (
	// OrderBegun means that the engine has started to execute the order.
	OrderBegun OrderResult = "Begun"
	// OrderDone means that the engine is already in the ordered state.
	OrderDone OrderResult = "Done"
	// OrderConflict means that the order doesn't fit the engine's state.
	OrderConflict OrderResult = "Conflict"
	// OrderRejected means that the engine refused the order for any other reason.
	OrderRejected OrderResult = "Rejected"
	// OrderUnknown means that no answer arrived; the engine may still execute the
	// order later.
	OrderUnknown OrderResult = "Unknown"
)

// Call is the metadata that a caller sends with a request.
type Call struct {
	Request unit.RequestID
	// Timeout is the longest time that the caller waits; 0 means no bound.
	Timeout time.Duration
	Key     routing.AccessKey
	// PromptTokens and MaxOutputTokens are zero for plain services. MaxOutputTokens is the
	// maximum length of the output.
	PromptTokens    int
	MaxOutputTokens int
	// OutputEstimate is the caller's estimate of the length of the output, in tokens; 0
	// means none.
	OutputEstimate int
	// LastEvent is the id of the last stream event that the caller has received.
	LastEvent string
	// SharedParts are the parts of the prompt that other requests may have too: all but the
	// last one, which belongs to the request itself or to its session.
	SharedParts []unit.PartID
}

// RequestMetadata is the metadata that the router adds to a request to a backend server.
type RequestMetadata struct {
	Server  unit.BackendID
	Account unit.AccountID
	// Rank is how urgent the request is. It is sent if the service distinguishes several.
	Rank routing.Rank
	// TimeLeft is the time until the deadline of the caller; 0 means none.
	TimeLeft time.Duration
	// Chain is empty for a server that runs the whole request itself.
	Chain Chain
	// LastEvent replaces the caller's last event id when the router resumes a stream.
	LastEvent string
}

// ResponseMetadata is the metadata that a backend server sends with its response.
type ResponseMetadata struct {
	Request unit.RequestID
	// Signed means that the response carries the stamp of a server that ran the
	// request.
	Signed bool
	// NotRun means that the server did not run the request and never will.
	NotRun bool
	// RefusedBy is the engine of the chain that refused; empty if it is the first one.
	RefusedBy Address
	// Leaving means that the server is shutting down and accepts no new work,
	// regardless of its state in the registry.
	Leaving bool
	// Backoff is the time for which this host must send no requests to the server; 0 means
	// none.
	Backoff time.Duration
	// Limited is set if the server names the Limit of requests that it takes from all hosts
	// together, until a response without one.
	Limited bool
	Limit   unit.RequestsPerSecond
}
