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
		expected += tokenTime(b, 1)
	}
	return max(minProgressLimit, progressFactor*expected)
}

// tokenTime is the time of a token on an engine with the streams that it holds
// and some more.
func tokenTime(b watcher.Backend, more int) time.Duration {
	s := b.Engine
	batches := max(1, float64(s.Load.Running+more)/float64(max(1, s.MaxBatch)))
	d := time.Duration(float64(s.TokenTimeMicros) * batches * float64(time.Microsecond))
	for _, l := range s.Links {
		d += time.Duration(l.LatencyMicros) * time.Microsecond
	}
	return d
}
