// Package router passes a request to the handler for its kind: model or service.
//
// Usage:
//
//	h := chain.Build(router.New(streamer.Serve, caller.Serve).Handle, filters...)
package router

import (
	"context"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
)

// Router is the last handler of the filter chain.
type Router struct{ models, services chain.Handler }

// New returns a Router.
func New(models, services chain.Handler) *Router {
	return &Router{models: models, services: services}
}

// Handle serves the request with the handler for its kind.
func (o *Router) Handle(ctx context.Context, r *request.Request) error {
	switch r.Kind {
	case catalogue.KindModel:
		return o.models(ctx, r)
	case catalogue.KindService:
		return o.services(ctx, r)
	default:
		return verdict.New(verdict.NotRun, verdict.Internal, "no route for kind %q", r.Kind)
	}
}
