// Package editor writes the operators' edits of catalogue entries.
//
// An edit is accepted only once its write is known to have taken effect. A write whose
// response was lost is looked up by its id in the history of the entry; if the outcome
// stays unknown, the edit is reported as MayHaveRun.
//
// Usage:
//
//	e := editor.New(editor.Options{Platform: p, Timer: t, Log: l})
//	a, err := e.Replace(ctx, entry, 7, "ann")
//	a, err = e.Patch(ctx, key, edits, nil, "ann")
//	a, err = e.Delete(ctx, key, 8, "ann")
package editor

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
)

const (
	// editLimit bounds an edit with all its retries.
	editLimit = 8 * time.Second
	// maxMerges bounds how often a patch is committed when concurrent edits come first.
	maxMerges = 16
	// retryAfter is the time after which an operator may retry an edit that did not run or
	// whose outcome is unknown.
	retryAfter = 5 * time.Second
)

// Editor edits entries. An edit fails with a *verdict.Error: nothing was written if it
// has the verdict NotRun, and the outcome is unknown with MayHaveRun. The error wraps a
// *RefusedError if the edit is invalid or conflicts with another one.
type Editor interface {
	// Read returns the entry, which may be a tombstone, or nil if it never existed.
	Read(ctx context.Context, key catalogue.Key) (*catalogue.Entry, error)
	// Replace writes a whole entry if the current version is the expected one;
	// version 0 creates the entry.
	Replace(ctx context.Context, e *catalogue.Entry, expected unit.Version, by string) (api.EditAccepted, error)
	// Patch sets single fields and merges them with concurrent edits of other fields.
	// With an expected version it fails if one of the fields has changed since that
	// version.
	Patch(ctx context.Context, key catalogue.Key, edits []catalogue.FieldEdit, expected *unit.Version, by string) (api.EditAccepted, error)
	// Delete writes a tombstone if the current version is the expected one.
	Delete(ctx context.Context, key catalogue.Key, expected unit.Version, by string) (api.EditAccepted, error)
}

// Options configures a Writer.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Log      *log.Logger
	// OnWritten is called with each entry that was written; it may be nil.
	OnWritten func(e *catalogue.Entry)
}

// Writer is the default Editor.
type Writer struct{ options Options }

// New returns a Writer.
func New(o Options) *Writer {
	if o.OnWritten == nil {
		o.OnWritten = func(*catalogue.Entry) {}
	}
	return &Writer{options: o}
}

// Read returns the entry, which may be a tombstone, or nil if it never existed.
func (w *Writer) Read(ctx context.Context, key catalogue.Key) (*catalogue.Entry, error) {
	o, err := w.options.Platform.Get(ctx, platform.KindEntry, key.ObjectName())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return nil, nil
	case err != nil:
		return nil, unavailable(err)
	}
	e, err := catalogue.Decode(o.Value, o.Version)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "stored entry cannot be read: %v", err)
	}
	return e, nil
}

// detach returns a context that outlives the operator's request and ends after
// editLimit, because a write that was sent can't be withdrawn.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), editLimit)
}

// Replace writes a whole entry if the current version is the expected one.
func (w *Writer) Replace(ctx context.Context, e *catalogue.Entry, expected unit.Version, by string) (api.EditAccepted, error) {
	ctx, cancel := detach(ctx)
	defer cancel()
	if f := catalogue.Check(e); len(f) > 0 {
		return api.EditAccepted{}, invalidEntry(f)
	}
	current, err := w.Read(ctx, e.Key())
	if err != nil {
		return api.EditAccepted{}, err
	}
	if err := checkVersion(current, expected); err != nil {
		return api.EditAccepted{}, err
	}
	next := *e
	next.Deleted = false
	return w.commitOnce(ctx, current, &next, by)
}

// Delete writes a tombstone if the current version is the expected one.
func (w *Writer) Delete(ctx context.Context, key catalogue.Key, expected unit.Version, by string) (api.EditAccepted, error) {
	ctx, cancel := detach(ctx)
	defer cancel()
	current, err := w.Read(ctx, key)
	if err != nil {
		return api.EditAccepted{}, err
	}
	if current == nil || current.Deleted {
		return api.EditAccepted{}, unknownEntry(key)
	}
	if err := checkVersion(current, expected); err != nil {
		return api.EditAccepted{}, err
	}
	return w.commitOnce(ctx, current, current.Tombstone(), by)
}

// commitOnce commits an edit that must not be merged with concurrent edits.
func (w *Writer) commitOnce(ctx context.Context, base, next *catalogue.Entry, by string) (api.EditAccepted, error) {
	a, err := w.commit(ctx, base, next, by)
	var ce *conflictError
	if errors.As(err, &ce) {
		return a, conflict(ce.current, version(base), nil)
	}
	return a, err
}

// checkVersion checks the expected version; a tombstone counts as no entry.
func checkVersion(current *catalogue.Entry, expected unit.Version) error {
	v := version(current)
	if expected == 0 && (current == nil || current.Deleted) {
		return nil
	}
	if expected != 0 && expected == v && !current.Deleted {
		return nil
	}
	return conflict(current, expected, nil)
}

func version(e *catalogue.Entry) unit.Version {
	if e == nil {
		return 0
	}
	return e.Version
}

// Patch sets single fields and merges them with concurrent edits.
func (w *Writer) Patch(ctx context.Context, key catalogue.Key, edits []catalogue.FieldEdit, expected *unit.Version, by string) (api.EditAccepted, error) {
	ctx, cancel := detach(ctx)
	defer cancel()
	base, err := w.Read(ctx, key)
	if err != nil {
		return api.EditAccepted{}, err
	}
	if base == nil || base.Deleted {
		return api.EditAccepted{}, unknownEntry(key)
	}
	next, err := catalogue.Apply(base, edits)
	if err != nil {
		return api.EditAccepted{}, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	if expected != nil {
		if err := checkFieldsUnchanged(base, next, *expected); err != nil {
			return api.EditAccepted{}, err
		}
	}
	return w.merge(ctx, base, next, by)
}

// merge commits an edit. If another edit came first, it merges both and tries again, up to
// maxMerges times.
func (w *Writer) merge(ctx context.Context, base, next *catalogue.Entry, by string) (api.EditAccepted, error) {
	for range maxMerges {
		if f := catalogue.Check(next); len(f) > 0 {
			return api.EditAccepted{}, invalidEntry(f)
		}
		a, err := w.commit(ctx, base, next, by)
		var ce *conflictError
		if !errors.As(err, &ce) {
			return a, err
		}
		if ce.current == nil {
			return a, conflict(nil, version(base), nil)
		}
		merged, c, err := catalogue.Merge(base, next, ce.current)
		if err != nil {
			return a, verdict.New(verdict.NotRun, verdict.Internal, "merge: %v", err)
		}
		if len(c) > 0 {
			return a, conflict(ce.current, version(base), c)
		}
		base, next = ce.current, merged
	}
	return api.EditAccepted{}, tooManyConflicts()
}
