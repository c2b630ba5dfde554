package imitator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	headerDeadline = "X-Oleandercove-Deadline-Ms"
	headerTenant   = "X-Oleandercove-Tenant"
	headerParts    = "X-Oleandercove-Prefix-Hash"
	// promptTokens is the number of prompt tokens that each call states.
	promptTokens = 100
)

// Call is a client request.
type Call struct {
	ID, Method, Path, Key, Body string
	// Tokens is the number of events that the client requests; 0 stands for a request to
	// the plain service.
	Tokens int
	// Parts lists the parts of the prompt; empty for a request without them.
	Parts string
	// Timeout is the time limit that the request states.
	Timeout time.Duration
}

// Request returns the call as an HTTP request to the daemon at an address. It carries a
// forged client account, which the daemon must not trust.
func (c Call) Request(ctx context.Context, address string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set(headerAttempt, c.ID)
	r.Header.Set(headerDeadline, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	r.Header.Set(headerTenant, "forged")
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Parts != "" {
		r.Header.Set(headerParts, c.Parts)
	}
	if c.Tokens > 0 {
		r.Header.Set(headerTokens, fmt.Sprintf("%d,%d", promptTokens, c.Tokens))
	}
	return r, nil
}

// IsCompleteStream reports whether a body holds every event of a stream exactly once, in
// order.
func IsCompleteStream(body, id string, events int) bool {
	var want strings.Builder
	for n := 1; n <= events; n++ {
		want.WriteString(Event(id, n))
	}
	return body == want.String()
}
