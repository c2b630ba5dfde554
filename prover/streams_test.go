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
	// defaultSeeds keeps the runs in CI few and always the same.
	defaultSeeds = 2
	firstSeed    = 14
	// crowd is the number of streams at once in a faulty run.
	crowd = 120
	// thawDelay is longer than the limit for a silent engine.
	thawDelay = 1500 * time.Millisecond
)

// seeds returns the seeds of this run; SEEDS sets their number.
func seeds(t *testing.T) []uint64 {
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

// job is one stream of a crowd with what its caller received.
type job struct {
	text   string
	tokens int
	// temperature above 0 makes the answer depend on the request id.
	temperature float64
	answer      invoker.Answer
	err         error
}

// check compares the answer with the reference text of the job's own prompt.
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

// reference computes the answer to the job's own request.
func (j *job) reference() string {
	id := unit.RequestID(j.answer.Header.Get(api.HeaderRequestID))
	return runner.SampledText(layers, engine.Sampling{
		Temperature: j.temperature, Seed: engine.DeriveSeed(account, id, modelName, j.text),
	}, j.text, j.tokens)
}

// runCrowd runs many streams at once and calls fault when the given number of
// tokens has arrived in total.
func (r *rig) runCrowd(ctx context.Context, n int, random *rand.Rand, at int64, fault func()) []*job {
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

func violations(jobs []*job) []error {
	var out []error
	for _, j := range jobs {
		if err := j.check(); err != nil {
			out = append(out, err)
		}
	}
	return out
}

// TestCrowdUnderStageFaults guards against truncated, crossed or wrong answers
// when an engine is killed or frozen while many streams run on it, and against
// a frozen engine that continues with an old epoch.
func TestCrowdUnderStageFaults(t *testing.T) {
	faults := []struct {
		name  string
		apply func(r *rig, engine int)
	}{
		{"killed engine truncates its streams", func(r *rig, e int) { r.engines[e].Kill() }},
		{"frozen engine blocks its streams", func(r *rig, e int) { _ = r.engines[e].Pause() }},
		{"thawed engine writes with an old epoch", func(r *rig, e int) {
			_ = r.engines[e].Pause()
			go func() {
				<-r.timer.After(thawDelay)
				_ = r.engines[e].Resume()
			}()
		}},
	}
	for _, f := range faults {
		for _, seed := range seeds(t) {
			t.Run(fmt.Sprintf("%s, seed %d", f.name, seed), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 0))
				r := newRigWith(t, patientAdmission, 2)
				victim := random.IntN(len(r.engines))
				jobs := r.runCrowd(t.Context(), crowd, random, int64(random.IntN(crowd*20)), func() { f.apply(r, victim) })
				for _, err := range violations(jobs) {
					t.Error(err)
				}
				is.NoErr(r.auditJournals())
			})
		}
	}
}

// TestSameRequestID guards against crossed answers when several callers choose
// the same request id at the same time.
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
