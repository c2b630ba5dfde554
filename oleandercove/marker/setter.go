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
	// setLimit bounds the writing of a mark with all its retries.
	setLimit = 6 * time.Second
	// maxSends bounds how often a mark is written.
	maxSends = 8
	// resendDelay is the longest pause before a mark is written again.
	resendDelay = 50 * time.Millisecond
	// retryAfter is when an operator should repeat a mark that was not set.
	retryAfter = 5 * time.Second
)

// Set writes a mark and returns once it is known to stand. Setting the same
// mark twice is harmless, so an unknown outcome is resolved by reading and
// writing again. A mark on this host takes effect even without the platform.
func (m *Marker) Set(ctx context.Context, k Mark) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), setLimit)
	defer cancel()
	if k.Draining && k.Target == string(m.options.Self) {
		m.options.Log.Info("an operator asked for a graceful shutdown", "by", k.By)
		m.options.Stop()
		return nil
	}
	k.At = m.options.Timer.Now().UTC()
	uncertain := false
	for range maxSends {
		done, err := m.try(ctx, k)
		switch {
		case done:
			return nil
		case errors.Is(err, platform.ErrUnknown):
			uncertain = true
		case errors.Is(err, platform.ErrConflict):
		case !uncertain:
			return verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "drain mark was not set: %v", err).After(retryAfter)
		}
		if m.options.Timer.Sleep(ctx, time.Duration(rand.Int64N(int64(resendDelay)))) != nil {
			break
		}
	}
	if !uncertain {
		return verdict.New(verdict.NotRun, verdict.Conflict, "other operators changed the drain mark of %s", k.Target).After(retryAfter)
	}
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "outcome of the drain mark of %s is unknown", k.Target).After(retryAfter)
}

// try writes the mark unless it already stands. A host gets a new mark each
// time, because it ignores marks from before its start.
func (m *Marker) try(ctx context.Context, k Mark) (done bool, err error) {
	o, err := m.options.Platform.Get(ctx, platform.KindDrain, k.Target)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false, err
	}
	var version unit.Version
	if err == nil {
		version = o.Version
		if now, err := decode(o); err == nil && now.Draining == k.Draining && k.Role != platform.RoleEntry {
			m.install(now)
			return true, nil
		}
	}
	value, err := json.Marshal(k)
	if err != nil {
		return false, err
	}
	o, err = m.options.Platform.Put(ctx, platform.KindDrain, k.Target, version, value)
	if err != nil {
		return false, err
	}
	k.Version = o.Version
	m.install(k)
	return true, nil
}
