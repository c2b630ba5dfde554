package daemon

import (
	"context"

	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/admitter"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/watcher"
)

// newAdmission returns the admission filter, which admits every request if admission
// is switched off in the settings.
func (d *Daemon) newAdmission(t timer.Service, b watcher.Backends) chain.Filter {
	if d.settings.Admission.Off {
		return admitAllFilter{}
	}
	return admitter.New(admitter.Options{Backends: b, Timer: t, MaxWait: d.settings.Admission.MaxWait.Std()})
}

// admitAllFilter admits every request.
type admitAllFilter struct{}

// Handle passes the request to next.
func (admitAllFilter) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	return next(ctx, r)
}
