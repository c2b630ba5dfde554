package streamer

import (
	"fmt"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// minProgressLimit is the least time without a token before a stalled stage
	// is looked for; it covers prompts and pauses of busy engines.
	minProgressLimit = time.Second
	// progressFactor is how many times the expected time of a token may pass.
	progressFactor = 20
	// progressCheck is the time between two looks; states of engines don't
	// change more often than they are asked.
	progressCheck = 250 * time.Millisecond
)

// stalled returns the failure of a stage that answers but runs no work, if the
// stream is later than its progress limit. Heartbeats call it regularly.
func (t *run) stalled(e engine.Event) *engine.Failure {
	now := t.options.Timer.Now()
	if e.Kind == engine.EventToken && e.Epoch == t.epoch {
		t.progressed = now
	}
	late := now.Sub(t.progressed)
	if e.Kind != engine.EventBeat || late < minProgressLimit || now.Sub(t.checked) < progressCheck {
		return nil
	}
	t.checked = now
	stages := stagesOf(t.chain, t.options.Backends.Backends())
	if late < progressLimit(stages) {
		return nil
	}
	for _, b := range stages {
		if b.Stalled {
			return &engine.Failure{
				Backend: b.ID, Cause: engine.CauseStalled, Detail: fmt.Sprintf("no token for %s", late.Round(time.Millisecond)),
			}
		}
	}
	return nil
}

// stagesOf returns the known states of the engines of a chain.
func stagesOf(chain []engine.Stage, all []watcher.Backend) []watcher.Backend {
	known := map[unit.BackendID]bool{}
	for _, s := range chain {
		known[s.Backend] = true
	}
	var out []watcher.Backend
	for _, b := range all {
		if known[b.ID] && b.Engine != nil {
			out = append(out, b)
		}
	}
	return out
}

// progressLimit is the time without a token after which a stream is late: a
// multiple of the time that a token takes with the streams that the engines
// hold, so that queueing is expected.
func progressLimit(stages []watcher.Backend) time.Duration {
	var expected time.Duration
	for _, b := range stages {
		s := b.Engine
		batches := s.Load.Running/max(1, s.MaxBatch) + 1
		expected += time.Duration(s.TokenTimeMicros*int64(batches)) * time.Microsecond
		for _, l := range s.Links {
			expected += time.Duration(l.LatencyMicros) * time.Microsecond
		}
	}
	return max(minProgressLimit, progressFactor*expected)
}
