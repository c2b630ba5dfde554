// Package api holds the JSON messages between callers, operators and the
// daemon.
//
// The completion messages follow the OpenAI-compatible protocol and keep its
// field names; all others use Pascal case.
package api

import "oleandercove.example/core/verdict"

const (
	// HeaderRequestID carries the caller's request id.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the key that makes a non-idempotent call safe to
	// retry.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline carries the longest time that the caller waits, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderPriority carries high, normal or low.
	HeaderPriority = "X-Priority"
	// HeaderResume carries the number of tokens that the caller already has.
	HeaderResume = "X-Resume-Position"
	// HeaderVerdict carries the verdict of a failed service call, as in its body.
	HeaderVerdict = "X-Verdict"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the body of both completion calls.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Temperature 0 selects the most likely token.
	Temperature float64 `json:"temperature,omitempty"`
	// Seed replaces the seed that the daemon derives from the request.
	Seed *int64 `json:"seed,omitempty"`
}

// Choice is one answer of a completion.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Completion is a complete answer or one chunk of a streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ModelInfo is one row of the list of models.
type ModelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelInfo `json:"data"`
}

// Refusal is the body of every failed call.
type Refusal struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	Detail  string
}
