// Package chain composes filters and a last handler into one request handler.
//
// Usage:
//
//	h := chain.Build(router.Handle, authenticator, limiter)
//	err := h(ctx, r)
package chain

import (
	"context"

	"oleandercove.example/oleandercove/request"
)

// Handler serves a request. It returns failures as a *verdict.Error.
type Handler func(ctx context.Context, r *request.Request) error

// Filter handles a request before the next handler.
type Filter interface {
	// Handle calls next to serve r, or refuses r.
	Handle(ctx context.Context, r *request.Request, next Handler) error
}

// Build returns a handler that calls the filters in order and then last.
func Build(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(ctx context.Context, r *request.Request) error { return f.Handle(ctx, r, next) }
	}
	return h
}
