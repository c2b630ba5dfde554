package prover_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/api"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/prover/invoker"
)

const (
	// defaultSeeds is the number of seeds without SEEDS, so that CI runs few and always the
	// same ones.
	defaultSeeds = 2
	firstSeed    = 14
	// burstSize is the number of concurrent streams in a run with faults.
	burstSize = 120
	// resumeDelay is longer than the time after which a silent engine is considered down.
	resumeDelay = 1500 * time.Millisecond
)

// burstSeeds returns the seeds of this run; SEEDS sets their number.
func burstSeeds(t *testing.T) []uint64 {
	t.Helper()
	n := defaultSeeds
	if s := os.Getenv("SEEDS"); s != "" {
		var err error
		n, err = strconv.Atoi(s)
		is.New(t).NoErr(err)
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = firstSeed + uint64(i)
	}
	return out
}

// job is one stream of a burst with the answer that its caller received.
type job struct {
	text   string
	tokens int
	// temperature above 0 makes the answer depend on the request id.
	temperature float64
	answer      invoker.Answer
	err         error
}

// check returns an error unless the answer is complete and equals the reference text.
func (j *job) check() error {
	switch {
	case j.err != nil:
		return fmt.Errorf("%s: %w", j.text, j.err)
	case !j.answer.Done:
		return fmt.Errorf("%s: no end marker after %d of %d tokens: %+v", j.text, j.answer.Tokens, j.tokens, j.answer.Refusal)
	case j.answer.Text != j.reference():
		return fmt.Errorf("%s: wrong text", j.text)
	default:
		return nil
	}
}

// reference returns the correct answer to the job's request.
func (j *job) reference() string {
	id := unit.RequestID(j.answer.Header.Get(api.HeaderRequestID))
	return runner.SampledText(layers, engine.Sampling{
		Temperature: j.temperature, Seed: engine.DeriveSeed(account, id, modelName, j.text),
	}, j.text, j.tokens)
}

// runBurst runs n streams at once and calls fault when the streams have received at tokens
// in total.
func (r *rig) runBurst(ctx context.Context, n int, random *rand.Rand, at int64, fault func()) []*job {
	jobs := make([]*job, n)
	var tokens atomic.Int64
	var once sync.Once
	var wg sync.WaitGroup
	for i := range jobs {
		j := &job{text: fmt.Sprintf("briefing %d for village %d", i, random.IntN(1000)), tokens: 20 + random.IntN(60), temperature: float64(i % 2)}
		jobs[i] = j
		wg.Go(func() {
			j.answer, j.err = r.client.Complete(ctx, r.daemons[i%len(r.daemons)].Address, invoker.Prompt{
				Model: modelName, Text: j.text, MaxTokens: j.tokens, Temperature: j.temperature,
				OnToken: func(int) {
					if tokens.Add(1) >= at {
						once.Do(fault)
					}
				},
			})
		})
	}
	wg.Wait()
	return jobs
}

// violations returns the errors of the jobs whose answers are wrong.
func violations(jobs []*job) []error {
	var out []error
	for _, j := range jobs {
		if err := j.check(); err != nil {
			out = append(out, err)
		}
	}
	return out
}

// Guards against truncated, swapped or wrong answers, which happen when an engine is killed
// or paused while many streams run on it, and against a resumed engine that continues with
// an old epoch.
func TestStreamsUnderStageFaults(t *testing.T) {
	faults := []struct {
		name  string
		apply func(r *rig, engine int)
	}{
		{"killed engine truncates its streams", func(r *rig, e int) { r.engines[e].Kill() }},
		{"paused engine blocks its streams", func(r *rig, e int) { _ = r.engines[e].Pause() }},
		{"resumed engine writes with an old epoch", func(r *rig, e int) {
			_ = r.engines[e].Pause()
			go func() {
				<-r.timer.After(resumeDelay)
				_ = r.engines[e].Resume()
			}()
		}},
	}
	for _, f := range faults {
		for _, seed := range burstSeeds(t) {
			t.Run(fmt.Sprintf("%s, seed %d", f.name, seed), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 0))
				r := newRigWith(t, longAdmissionWait, 2)
				victim := random.IntN(len(r.engines))
				jobs := r.runBurst(t.Context(), burstSize, random, int64(random.IntN(burstSize*20)), func() { f.apply(r, victim) })
				for _, err := range violations(jobs) {
					t.Error(err)
				}
				is.NoErr(r.auditJournals())
			})
		}
	}
}

// Guards against answers that reach the wrong caller, which happens when several callers
// choose the same request id at the same time.
func TestSameRequestID(t *testing.T) {
	r := newRig(t, 2)
	jobs := make([]*job, 16)
	var wg sync.WaitGroup
	for i := range jobs {
		j := &job{text: fmt.Sprintf("route note %d", i), tokens: 40}
		jobs[i] = j
		wg.Go(func() {
			j.answer, j.err = r.client.Complete(t.Context(), r.daemons[i%2].Address, invoker.Prompt{
				ID: "chosen-by-caller", Model: modelName, Text: j.text, MaxTokens: j.tokens,
			})
		})
	}
	wg.Wait()
	for _, err := range violations(jobs) {
		t.Error(err)
	}
}
