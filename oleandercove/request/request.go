// Package request holds the request of a caller that passes through the filter chain.
//
// Usage:
//
//	r := &request.Request{ID: id, Kind: catalogue.KindModel, Name: "report"}
package request

import (
	"net/http"
	"time"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// Request is a request of a caller. The authenticator sets Account and Entry.
type Request struct {
	ID             unit.RequestID
	Bearer         string
	Account        unit.AccountID
	Kind           catalogue.Kind
	Name           unit.EntryName
	Entry          *catalogue.Entry
	Arrived        time.Time
	Deadline       time.Time
	Priority       engine.Priority
	IdempotencyKey string

	// Completion is set for model requests.
	Completion *Completion
	// Call is set for service calls.
	Call *Call
}

// Completion is the part of a request that concerns a model.
type Completion struct {
	Prompt    string
	MaxTokens int
	// Temperature and Seed configure the sampling of tokens. If Seed is nil, the seed
	// is derived from the request.
	Temperature float64
	Seed        *int64
	// Resume is the number of tokens that the caller already has; they are
	// generated but not emitted.
	Resume int
	// Emit sends a generated token to the caller; it is called in token order.
	Emit func(text string) error
	// Finish and Tokens, the number of tokens, are set when the response is complete.
	Finish engine.FinishReason
	Tokens int
}

// Call is the part of a request that concerns a service.
type Call struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Result is set when the call is answered.
	Result *Result
}

// Result is the response of a service.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}
