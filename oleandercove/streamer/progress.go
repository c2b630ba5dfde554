package streamer

import (
	"fmt"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// minProgressLimit is the minimum time without a token before the stages are checked
	// for a stall; it covers the prefill and the pauses of busy engines.
	minProgressLimit = time.Second
	// progressFactor is how many times the expected time per token may pass without a
	// token.
	progressFactor = 20
	// progressCheckInterval is the time between two checks; a shorter one finds nothing
	// new, because the engines' statuses change only when they are polled.
	progressCheckInterval = 250 * time.Millisecond
)

// checkProgress returns the failure of a stage that responds but runs no work, if the
// stream exceeds its progress limit, else nil. It is called for every event; heartbeats
// trigger the check.
func (t *tokenStream) checkProgress(e engine.Event) *engine.Failure {
	now := t.options.Timer.Now()
	if e.Kind == engine.EventToken && e.Epoch == t.epoch {
		t.lastProgress = now
	}
	sinceProgress := now.Sub(t.lastProgress)
	if e.Kind != engine.EventBeat || sinceProgress < minProgressLimit || now.Sub(t.lastCheck) < progressCheckInterval {
		return nil
	}
	t.lastCheck = now
	stages := chainBackends(t.chain, t.options.Backends.Backends())
	if sinceProgress < progressLimit(stages) {
		return nil
	}
	for _, b := range stages {
		if b.Stalled {
			return &engine.Failure{
				Backend: b.ID, Cause: engine.CauseStalled, Detail: fmt.Sprintf("no token for %s", sinceProgress.Round(time.Millisecond)),
			}
		}
	}
	return nil
}

// chainBackends returns the backend servers of a chain whose engine status is known.
func chainBackends(chain []engine.Stage, all []watcher.Backend) []watcher.Backend {
	inChain := map[unit.BackendID]bool{}
	for _, s := range chain {
		inChain[s.Backend] = true
	}
	var out []watcher.Backend
	for _, b := range all {
		if inChain[b.ID] && b.Engine != nil {
			out = append(out, b)
		}
	}
	return out
}

// progressLimit returns the time without a token after which a stream counts as stalled: a
// multiple of the expected time per token, which includes queueing behind the running
// streams of the engines.
func progressLimit(stages []watcher.Backend) time.Duration {
	var expected time.Duration
	for _, b := range stages {
		expected += tokenTime(b, 1)
	}
	return max(minProgressLimit, progressFactor*expected)
}

// tokenTime returns the expected time per token on an engine that runs extraStreams in
// addition to its current ones.
func tokenTime(b watcher.Backend, extraStreams int) time.Duration {
	s := b.Engine
	batches := max(1, float64(s.Load.Running+extraStreams)/float64(max(1, s.MaxBatch)))
	d := time.Duration(float64(s.TokenTimeMicros) * batches * float64(time.Microsecond))
	for _, l := range s.Links {
		d += time.Duration(l.LatencyMicros) * time.Microsecond
	}
	return d
}
