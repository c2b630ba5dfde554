// Package authenticator sets the client account and the catalogue entry of a request.
//
// Usage:
//
//	f := authenticator.New(catalogue)
package authenticator

import (
	"context"

	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/spreader"
)

// Filter is the default authenticator.
type Filter struct{ catalogue spreader.Catalogue }

// New returns a filter that checks bearer tokens against the catalogue.
func New(c spreader.Catalogue) *Filter { return &Filter{catalogue: c} }

// Handle refuses a request whose bearer token or entry is unknown.
func (f *Filter) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	a, ok := f.catalogue.AccountByToken(r.Bearer)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.Unauthorized, "bearer token is missing or unknown")
	}
	r.Account = unit.AccountID(a.Name)
	e, ok := f.catalogue.Get(r.Kind, r.Name)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.UnknownEntry, "no %s entry is named %q", r.Kind, r.Name)
	}
	r.Entry = e
	return next(ctx, r)
}
