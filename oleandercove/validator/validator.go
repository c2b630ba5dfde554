// Package validator checks a model request against the limits of its catalogue entry.
//
// Usage:
//
//	h := chain.Build(last, authenticator, validator.Filter{})
package validator

import (
	"context"

	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
)

// defaultMaxTokens applies when the caller sets no max_tokens.
const defaultMaxTokens = 128

// Filter is the default validator. It must come after the authenticator, which sets
// the entry.
type Filter struct{}

// Handle sets a missing MaxTokens, and refuses a request whose MaxTokens exceeds the
// limit of its entry or whose resume position exceeds MaxTokens.
func (Filter) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if r.Completion == nil || r.Entry == nil || r.Entry.Model == nil {
		return next(ctx, r)
	}
	limit := r.Entry.Model.MaxTokens
	switch n := r.Completion.MaxTokens; {
	case n == 0 && limit > 0:
		r.Completion.MaxTokens = min(defaultMaxTokens, limit)
	case n == 0:
		r.Completion.MaxTokens = defaultMaxTokens
	case limit > 0 && n > limit:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "max_tokens is %d, but %s allows at most %d", n, r.Name, limit)
	}
	if n := r.Completion.Resume; n > r.Completion.MaxTokens {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "resume position %d exceeds max_tokens %d", n, r.Completion.MaxTokens)
	}
	return next(ctx, r)
}
