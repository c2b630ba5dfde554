// Package engine holds the messages between the router and model engines.
//
// The router starts a stream at the first stage of a chain and receives
// newline-delimited Events. Each stage sends its activations to the next one in a
// StepRequest. A stage that lacks earlier positions answers StepNeedFrom, and the
// stage before it sends the activations that it has kept again, marked as replay.
//
// Usage:
//
//	POST /v1/streams  StreamRequest -> stream of Event
//	POST /v1/steps    StepRequest   -> StepReply
//	POST /v1/cancel   CancelRequest
//	GET  /v1/status   -> Status
//	GET  /v1/cache-events?after=SEQUENCE -> []CacheEvent
package engine

import (
	"time"

	"oleandercove.example/core/unit"
)

// Priority orders the work of an engine; higher runs first.
type Priority int

const (
	// PriorityLow is for work that is shed first under overload.
	PriorityLow Priority = -1
	// PriorityNormal is the default.
	PriorityNormal Priority = 0
	// PriorityHigh is for interactive work.
	PriorityHigh Priority = 1
)

// Stage is one engine of a chain with the layers [From, To) that it runs.
type Stage struct {
	Backend unit.BackendID
	Address string
	From    unit.Layer
	To      unit.Layer
}

// StreamRequest starts a stream, or resumes it with a higher epoch.
type StreamRequest struct {
	Stream    unit.StreamID
	Epoch     unit.Epoch
	Model     unit.EntryName
	Prompt    string
	Emitted   []unit.Token
	MaxTokens int
	Priority  Priority
	Chain     []Stage
	Sampling
}

// EventKind is the type of an Event.
type EventKind string

const (
	// EventToken carries the next token.
	EventToken EventKind = "Token"
	// EventBeat is a heartbeat: the connection and the engine are alive.
	EventBeat EventKind = "Beat"
	// EventEnd marks the end of a complete answer.
	EventEnd EventKind = "End"
	// EventFailed means that a stage failed; Failure names it.
	EventFailed EventKind = "Failed"
)

// FinishReason is the reason for which an answer ended.
type FinishReason string

const (
	// FinishLength means that MaxTokens were generated.
	FinishLength FinishReason = "length"
	// FinishStop means that the model itself ended the answer.
	FinishStop FinishReason = "stop"
)

// Failure names the stage that failed and the cause.
type Failure struct {
	Backend unit.BackendID
	Cause   FailureCause
	Detail  string
}

// FailureCause classifies the failure of a stage.
type FailureCause string

const (
	// CauseUnreachable means that the connection to the stage could not be opened or
	// that the stage did not answer.
	CauseUnreachable FailureCause = "Unreachable"
	// CauseBroken means that the connection broke while the stage had work of the
	// stream.
	CauseBroken FailureCause = "Broken"
	// CauseOldEpoch means that the stage has seen a newer epoch.
	CauseOldEpoch FailureCause = "OldEpoch"
	// CauseOverloaded means that the stage has no free capacity for the stream.
	CauseOverloaded FailureCause = "Overloaded"
	// CauseRefused means that the stage can't serve the request.
	CauseRefused FailureCause = "Refused"
	// CauseDraining means that the stage accepts no new streams.
	CauseDraining FailureCause = "Draining"
	// CauseStalled means that the stage answers but makes no progress.
	CauseStalled FailureCause = "Stalled"
)

// Event is one line of the response to a StreamRequest.
type Event struct {
	Kind     EventKind
	Stream   unit.StreamID
	Epoch    unit.Epoch
	Position unit.Position `json:",omitempty"`
	Token    unit.Token    `json:",omitempty"`
	Text     string        `json:",omitempty"`
	Finish   FinishReason  `json:",omitempty"`
	Failure  *Failure      `json:",omitempty"`
	Load     *Load         `json:",omitempty"`
}

// Load is the current load of an engine.
type Load struct {
	Running int
	Queued  int
	Rate    unit.TokensPerSecond
}

// Activation is the output of a range of layers for one position.
type Activation uint64

// StepRequest sends activations to the next stage of a chain.
type StepRequest struct {
	Stream   unit.StreamID
	Epoch    unit.Epoch
	Model    unit.EntryName
	Priority Priority
	Chain    []Stage
	Index    int
	From     unit.Position
	Inputs   []Activation
	// Fresh is the first position whose execution is not a replay.
	Fresh unit.Position
	Sampling
}

// StepCode is the outcome of a step.
type StepCode string

const (
	// StepOk means that all positions were executed and that Token is the next token.
	StepOk StepCode = "Ok"
	// StepNeedFrom means that the stage lacks positions from NeedFrom on.
	StepNeedFrom StepCode = "NeedFrom"
	// StepFailed means that this stage or a later one failed.
	StepFailed StepCode = "Failed"
)

// StepReply answers a StepRequest.
type StepReply struct {
	Code     StepCode
	NeedFrom unit.Position
	Token    unit.Token
	Failure  *Failure `json:",omitempty"`
}

// CancelRequest ends a stream on an engine.
type CancelRequest struct {
	Stream unit.StreamID
	Epoch  unit.Epoch
}

// Status describes an engine.
type Status struct {
	Backend    unit.BackendID
	DataCentre unit.DataCentre
	Kind       string
	Model      unit.EntryName
	From       unit.Layer
	To         unit.Layer
	Layers     unit.Layer
	// Start identifies the instance of the engine; it changes on a restart.
	Start    string
	Sequence uint64
	Draining bool
	// DrainLeftMillis is the time until a draining engine stops, in milliseconds; 0
	// means that it has no such limit.
	DrainLeftMillis int64 `json:",omitempty"`
	MaxStreams      int
	MaxBatch        int
	// TokenTimeMicros is the time of one batch iteration, in microseconds.
	TokenTimeMicros int64
	// Iterations counts the batch iterations since Start.
	Iterations uint64
	// Pending is the current number of queued and running work items; unlike Load it
	// does not lag.
	Pending  int
	Load     Load
	Links    []Link
	Fencing  bool
	Version  string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
	// MaxLayers is the number of layers that fit in memory; 0 means any number.
	MaxLayers unit.Layer `json:",omitempty"`
	// Loading is the order whose weights are being loaded; the engine holds no layers
	// until the load is complete.
	Loading *Order `json:",omitempty"`
	// Leaving means that the engine itself is shutting down; an OrderResume has no
	// effect.
	Leaving bool `json:",omitempty"`
}

// Link describes the measured link to another engine.
type Link struct {
	To            unit.BackendID
	LatencyMicros int64
	Rate          unit.BytesPerSecond
}

// OrderKind is the type of an order.
type OrderKind string

const (
	// OrderLoad sets the model, version and layers that an engine holds.
	OrderLoad OrderKind = "Load"
	// OrderDrain makes an engine refuse new streams.
	OrderDrain OrderKind = "Drain"
	// OrderResume makes an engine accept new streams again.
	OrderResume OrderKind = "Resume"
)

// Order is the target state of an engine, with the fencing number of the lease under
// which it is sent.
type Order struct {
	Kind     OrderKind
	Model    unit.EntryName
	Version  string
	Adapters []string `json:",omitempty"`
	From     unit.Layer
	To       unit.Layer
	Fence    unit.Fence
}

// KVState is an export of the KV cache of one stream. An import with a Source carries
// no state: the importing engine fetches the export from the Source.
type KVState struct {
	Source  string `json:",omitempty"`
	Stream  unit.StreamID
	Epoch   unit.Epoch
	Model   unit.EntryName
	From    unit.Layer
	To      unit.Layer
	Layers  []uint64
	Outputs []Activation
	Sampling
}

// JournalRecord is one entry of an engine's journal of executed work.
type JournalRecord struct {
	Backend unit.BackendID
	Start   string
	Stream  unit.StreamID
	Epoch   unit.Epoch
	From    unit.Layer
	To      unit.Layer
	First   unit.Position
	Count   int
	Replay  bool
	// Imported means that the positions were imported, not executed.
	Imported bool `json:",omitempty"`
	// At is the time at which the work finished.
	At time.Time `json:",omitzero"`
}

// CacheEventKind is the type of a CacheEvent.
type CacheEventKind string

const (
	// CacheStored means that a block was cached.
	CacheStored CacheEventKind = "Stored"
	// CacheEvicted means that a block was evicted.
	CacheEvicted CacheEventKind = "Evicted"
)

// CacheEvent reports a change of an engine's prefix cache. Events arrive with a delay;
// a gap in the sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	// Block is the hash of a prompt up to the end of the block.
	Block uint64
	At    time.Time
}
