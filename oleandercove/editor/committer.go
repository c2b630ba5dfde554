package editor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/verdict"
)

const (
	// maxSends bounds how often one write is sent until its outcome is known.
	maxSends = 8
	// resendDelay bounds the random pause before a write is sent again.
	resendDelay = 50 * time.Millisecond
)

// conflictError means that another edit came first and this one did not run.
type conflictError struct{ current *catalogue.Entry }

func (e *conflictError) Error() string {
	return fmt.Sprintf("entry has version %d", version(e.current))
}

// write is one conditional update together with its change, by whose id it is found in
// the history.
type write struct {
	key    catalogue.Key
	change catalogue.Change
	value  []byte
	base   *catalogue.Entry
	// uncertain is true once a copy of the write may have taken effect.
	uncertain bool
}

// commit replaces base by next and returns the edit as accepted only if the write is
// known to have taken effect. An edit that changes no field is accepted without a write.
func (w *Writer) commit(ctx context.Context, base, next *catalogue.Entry, by string) (api.EditAccepted, error) {
	p, err := w.prepare(base, next, by)
	if err != nil {
		return api.EditAccepted{}, err
	}
	if len(p.change.Fields) == 0 && base != nil {
		return api.EditAccepted{Version: base.Version}, nil
	}
	e, err := w.send(ctx, p)
	if err != nil {
		return api.EditAccepted{}, err
	}
	w.options.OnWritten(e)
	w.options.Log.Info("accepted an edit", "kind", p.key.Kind, "name", p.key.Name, "version", p.change.Version, "by", by, "fields", p.change.Fields)
	return api.EditAccepted{ID: p.change.ID, Version: p.change.Version, Fields: p.change.Fields}, nil
}

func (w *Writer) prepare(base, next *catalogue.Entry, by string) (*write, error) {
	fields, err := catalogue.Diff(base, next)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	c := catalogue.Change{
		ID: uuid.NewString(), By: by, At: w.options.Timer.Now().UTC(), Version: version(base) + 1, Fields: fields,
	}
	e := *next
	var history []catalogue.Change
	if base != nil {
		history = base.History
	}
	e.History = catalogue.AppendChange(history, c)
	e.ChangedBy, e.ChangedAt = c.By, c.At
	value, err := catalogue.Encode(&e)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	return &write{key: e.Key(), change: c, value: value, base: base}, nil
}

// send repeats a write until its outcome is known, maxSends copies are sent or ctx is done.
// Repeating is safe because every copy expects the same version, so at most one of them
// takes effect.
func (w *Writer) send(ctx context.Context, p *write) (*catalogue.Entry, error) {
	for range maxSends {
		o, err := w.options.Platform.Put(ctx, platform.KindEntry, p.key.ObjectName(), version(p.base), p.value)
		if err == nil {
			return catalogue.Decode(p.value, o.Version)
		}
		if e, done, err := w.resolve(ctx, p, err); done {
			return e, err
		}
		pause := time.Duration(rand.Int64N(int64(resendDelay)))
		if w.options.Timer.Sleep(ctx, pause) != nil {
			break
		}
	}
	return nil, unknownOutcome(p.change.ID)
}

// resolve determines the outcome of a failed write; done is false if the write may be
// sent again.
func (w *Writer) resolve(ctx context.Context, p *write, failure error) (e *catalogue.Entry, done bool, err error) {
	switch {
	case errors.Is(failure, platform.ErrConflict):
		// The client also reports a conflict if its own write took effect and was then
		// replaced, so the history decides.
		p.uncertain = true
	case errors.Is(failure, platform.ErrOutcomeUnknown):
		p.uncertain = true
	case errors.Is(failure, platform.ErrUnavailable), errors.Is(failure, platform.ErrBudget):
		if !p.uncertain {
			return nil, true, unavailable(failure)
		}
		return nil, false, nil
	default:
		if !p.uncertain {
			return nil, true, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", failure)
		}
	}
	current, err := w.Read(ctx, p.key)
	if err != nil {
		return nil, false, nil
	}
	return p.decideOutcome(current)
}

// decideOutcome looks for the change in the history of the current entry.
func (p *write) decideOutcome(current *catalogue.Entry) (e *catalogue.Entry, done bool, err error) {
	if version(current) == version(p.base) {
		return nil, false, nil
	}
	if current == nil {
		return nil, true, unknownOutcome(p.change.ID)
	}
	for _, c := range current.History {
		switch {
		case c.ID == p.change.ID:
			e, err := catalogue.Decode(p.value, p.change.Version)
			return e, true, err
		case c.Version == p.change.Version:
			return nil, true, &conflictError{current: current}
		}
	}
	if current.Version == p.change.Version {
		return nil, true, &conflictError{current: current}
	}
	// The history no longer covers this version.
	return nil, true, unknownOutcome(p.change.ID)
}
