// Package chain joins the filters that a request passes.
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

// Handler serves a request; a failure is a *verdict.Error.
type Handler func(ctx context.Context, r *request.Request) error

// Filter decides about a request and calls next to go on.
type Filter interface {
	// Handle serves r or refuses it.
	Handle(ctx context.Context, r *request.Request, next Handler) error
}

// Build returns a handler that passes the filters in order and ends at last.
func Build(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(ctx context.Context, r *request.Request) error { return f.Handle(ctx, r, next) }
	}
	return h
}
