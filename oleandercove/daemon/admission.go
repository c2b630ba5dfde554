package daemon

import (
	"context"

	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/admitter"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/watcher"
)

// admission returns the admission filter of the settings.
func (d *Daemon) admission(t timer.Service, b watcher.Backends) chain.Filter {
	if d.settings.Admission.Off {
		return openFilter{}
	}
	return admitter.New(admitter.Options{Backends: b, Timer: t, MaxWait: d.settings.Admission.MaxWait.Std()})
}

// openFilter lets every request through.
type openFilter struct{}

// Handle serves the request.
func (openFilter) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	return next(ctx, r)
}
