// Package engine holds the messages between the router and model engines.
//
// The router starts a stream at the first stage of a chain and receives
// newline-delimited Events. Stages hand activations on with Step requests.
// A stage that lacks earlier positions answers StepNeedFrom, and the stage
// before it sends the kept activations again, marked as replay.
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
	// PriorityLow is for work that is shed first.
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

// EventKind says what an Event reports.
type EventKind string

const (
	// EventToken carries the next token.
	EventToken EventKind = "Token"
	// EventBeat shows that the connection and the engine are alive.
	EventBeat EventKind = "Beat"
	// EventEnd is the end mark of a complete answer.
	EventEnd EventKind = "End"
	// EventFailed means that a stage failed; Failure says which one.
	EventFailed EventKind = "Failed"
)

// FinishReason says why an answer ended.
type FinishReason string

const (
	// FinishLength means that MaxTokens were generated.
	FinishLength FinishReason = "length"
	// FinishStop means that the model ended the answer.
	FinishStop FinishReason = "stop"
)

// Failure names the stage that failed.
type Failure struct {
	Backend unit.BackendID
	Cause   FailureCause
	Detail  string
}

// FailureCause classifies the failure of a stage.
type FailureCause string

const (
	// CauseUnreachable means that no connection to the stage could be made or
	// that it was silent.
	CauseUnreachable FailureCause = "Unreachable"
	// CauseBroken means that the connection broke while the stage had work of
	// the stream.
	CauseBroken FailureCause = "Broken"
	// CauseOldEpoch means that the stage has seen a newer epoch.
	CauseOldEpoch FailureCause = "OldEpoch"
	// CauseOverloaded means that the stage has no room for the stream.
	CauseOverloaded FailureCause = "Overloaded"
	// CauseRefused means that the stage can't serve the request.
	CauseRefused FailureCause = "Refused"
	// CauseDraining means that the stage takes no new streams.
	CauseDraining FailureCause = "Draining"
	// CauseStalled means that the stage answers but runs no work.
	CauseStalled FailureCause = "Stalled"
)

// Event is one line of a stream's answer.
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

// Load is an engine's report of its current work.
type Load struct {
	Running int
	Queued  int
	Rate    unit.TokensPerSecond
}

// Activation is the output of a range of layers for one position.
type Activation uint64

// StepRequest hands activations to the next stage.
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
	// StepOk means that all positions ran and Token is the next token.
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
	// Start identifies the run of the process; it changes on a restart.
	Start    string
	Sequence uint64
	Draining bool
	// DrainLeftMillis is the time until a draining engine stops; 0 means that it
	// names no limit.
	DrainLeftMillis int64 `json:",omitempty"`
	MaxStreams      int
	MaxBatch        int
	// TokenTime is the time of one batch iteration in microseconds.
	TokenTimeMicros int64
	// Iterations counts the batch iterations since Start.
	Iterations uint64
	// Pending is the work that waits or runs now; it does not lag.
	Pending  int
	Load     Load
	Links    []Link
	Fencing  bool
	Version  string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
	// MaxLayers is how many layers fit in the memory; 0 means that any number
	// fits.
	MaxLayers unit.Layer `json:",omitempty"`
	// Loading is the order whose weights are being loaded; until then the engine
	// holds no layers.
	Loading *Order `json:",omitempty"`
	// Leaving means that the engine itself shuts down; no order resumes it.
	Leaving bool `json:",omitempty"`
}

// Link describes the measured link to another engine.
type Link struct {
	To            unit.BackendID
	LatencyMicros int64
	Rate          unit.BytesPerSecond
}

// OrderKind names the target of an order.
type OrderKind string

const (
	// OrderLoad sets the model, version and layers that an engine holds.
	OrderLoad OrderKind = "Load"
	// OrderDrain tells an engine to take no new streams.
	OrderDrain OrderKind = "Drain"
	// OrderResume tells an engine to take streams again.
	OrderResume OrderKind = "Resume"
)

// Order states the target state of an engine and the lease that allows it.
type Order struct {
	Kind     OrderKind
	Model    unit.EntryName
	Version  string
	Adapters []string `json:",omitempty"`
	From     unit.Layer
	To       unit.Layer
	Fence    unit.Fence
}

// KVState is an export of the KV cache of one stream. An import with a Source
// carries no state: the engine exports it from there itself.
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
	// Imported marks positions that were not run but imported.
	Imported bool `json:",omitempty"`
	// At is the time at which the work ended.
	At time.Time `json:",omitzero"`
}

// CacheEventKind says what happened to a cached block.
type CacheEventKind string

const (
	// CacheStored means that a block was cached.
	CacheStored CacheEventKind = "Stored"
	// CacheEvicted means that a block left the cache.
	CacheEvicted CacheEventKind = "Evicted"
)

// CacheEvent reports a change of an engine's prefix cache. Events are late, and
// a gap in the sequence means that some were lost.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	// Block is the hash of a prompt up to the end of the block.
	Block uint64
	At    time.Time
}
