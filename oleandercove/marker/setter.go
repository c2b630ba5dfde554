package marker

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
)

const (
	// setTimeout bounds the write of a mark, including retries.
	setTimeout = 6 * time.Second
	// maxWrites bounds the attempts to write a mark.
	maxWrites = 8
	// maxWriteDelay is the longest random pause between two attempts.
	maxWriteDelay = 50 * time.Millisecond
	// retryAfter is how long an operator should wait before setting a mark again.
	retryAfter = 5 * time.Second
)

// Set writes a mark and blocks until the platform is known to hold it, at most
// setTimeout; it ignores the end of ctx. Setting the same mark twice is harmless,
// so an unknown outcome is resolved by reading and writing again. A drain of this
// host starts the shutdown at once, without the platform. The error is a
// *verdict.Error: NotRun if the mark was not written, else MayHaveRun.
func (m *Marker) Set(ctx context.Context, mark Mark) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), setTimeout)
	defer cancel()
	if mark.Draining && mark.Target == string(m.options.Self) {
		m.options.Log.Info("operator requested a graceful shutdown", "by", mark.By)
		m.options.Stop()
		return nil
	}
	mark.At = m.options.Timer.Now().UTC()
	outcomeUnknown := false
	for range maxWrites {
		done, err := m.tryWrite(ctx, mark)
		switch {
		case done:
			return nil
		case errors.Is(err, platform.ErrOutcomeUnknown):
			outcomeUnknown = true
		case errors.Is(err, platform.ErrConflict):
		case !outcomeUnknown:
			return verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "drain mark was not set: %v", err).WithRetryAfter(retryAfter)
		}
		if m.options.Timer.Sleep(ctx, time.Duration(rand.Int64N(int64(maxWriteDelay)))) != nil {
			break
		}
	}
	if !outcomeUnknown {
		return verdict.New(verdict.NotRun, verdict.Conflict, "other operators changed the drain mark of %s", mark.Target).WithRetryAfter(retryAfter)
	}
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "outcome of the drain mark of %s is unknown", mark.Target).WithRetryAfter(retryAfter)
}

// tryWrite writes the mark unless the platform already holds it. A mark on a host
// is written every time, because a host ignores marks from before its start.
func (m *Marker) tryWrite(ctx context.Context, mark Mark) (done bool, err error) {
	o, err := m.options.Platform.Get(ctx, platform.KindDrain, mark.Target)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false, err
	}
	var version unit.Version
	if err == nil {
		version = o.Version
		if stored, err := decode(o); err == nil && stored.Draining == mark.Draining && mark.Role != platform.RoleEntry {
			m.install(stored)
			return true, nil
		}
	}
	value, err := json.Marshal(mark)
	if err != nil {
		return false, err
	}
	o, err = m.options.Platform.Put(ctx, platform.KindDrain, mark.Target, version, value)
	if err != nil {
		return false, err
	}
	mark.Version = o.Version
	m.install(mark)
	return true, nil
}
