package routing

import (
	"time"

	"oleandercove.example/core/unit"
)

// Milliseconds is a duration in milliseconds, with fractions.
type Milliseconds float64

// maxDuration bounds the size of a converted time. A multiple for each of 10,000 layers
// doesn't overflow.
const maxDuration = 7 * 24 * time.Hour

// Duration converts m to a time.Duration, cut to a week in both directions.
func (m Milliseconds) Duration() time.Duration {
	const limit = float64(maxDuration)
	return time.Duration(max(-limit, min(float64(m)*float64(time.Millisecond), limit)))
}

// Megabytes is a memory size.
type Megabytes float64

// MegabitsPerSecond is a link rate.
type MegabitsPerSecond float64

// CardName names a kind of accelerator.
type CardName string

// Card describes the memory and speed of one kind of accelerator.
type Card struct {
	Name   CardName
	Memory Megabytes
	// StepFactor and PrefillFactor multiply the time of a decode step and of prefill.
	StepFactor    float64
	PrefillFactor float64
}

// TypicalRequest is the mean size of a request.
type TypicalRequest struct {
	PromptTokens int
	OutputTokens int
}

// Tokens returns the length of the prompt and the output together, at least 1.
func (r TypicalRequest) Tokens() int { return max(1, r.PromptTokens+r.OutputTokens) }

// Engine describes the model that the engines of a service run, and its costs.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// Layers is the number of layers of the model; 0 means that every engine
	// holds the whole model and that there are no chains.
	Layers unit.Layer
	// LayerMemory is the memory of the weights of one layer.
	LayerMemory Megabytes
	// TokenBytes is the KV cache size of one token on all layers.
	TokenBytes float64
	// TokenCapacity is the KV cache capacity, in tokens, of an engine that holds the
	// whole model.
	TokenCapacity int
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// ConcurrentLoads is the number of concurrent loads that still run at full speed.
	ConcurrentLoads int
	// StepsPerPass is the number of decode steps in a pass, and so the number of
	// tokens that a pass generates for each request.
	StepsPerPass int
	// StepTime, RequestTime and ContextTime add up to the time of a decode step on
	// all layers: a fixed part, a part for each decoding request, and a part for each
	// 1,000 tokens of context of such a request.
	StepTime    Milliseconds
	RequestTime Milliseconds
	ContextTime Milliseconds
	// PrefillRate is the prefill rate, in prompt tokens per millisecond.
	PrefillRate float64
	// ActivationBytes is the data that a stage sends to the next one for each token.
	ActivationBytes float64
	// CentreLink is the rate of the link between data centres.
	CentreLink     MegabitsPerSecond
	TypicalRequest TypicalRequest
	Cards          []Card
}

// Card returns the description of a kind of accelerator. An unknown kind gets
// factors of 1 and no memory for layers.
func (e *Engine) Card(name CardName) Card {
	for _, c := range e.Cards {
		if c.Name == name {
			return c
		}
	}
	return Card{Name: name, StepFactor: 1, PrefillFactor: 1}
}

// Chained reports whether requests run on a chain of engines.
func (e *Engine) Chained() bool { return e != nil && e.Layers > 0 }
