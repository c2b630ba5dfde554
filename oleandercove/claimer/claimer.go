// Package claimer runs bookings with an Idempotency-Key at most once.
//
// It is a filter. Before a booking is sent, its claim is written to a bucket object of the
// platform by conditional update. The outcome of the booking decides the final state:
//
//   - Done if the booking is known to have run: repeats get its response, if that is
//     stored, and otherwise a refusal that states that the booking ran. Only short
//     responses are stored.
//   - Released if the booking is known not to have run: repeats are sent.
//   - Claimed in all other cases: repeats are refused as MayHaveRun.
//
// A repeat with the same key and another content is refused as NotRun.
//
// Usage:
//
//	c := claimer.New(claimer.Options{Platform: p, Timer: t, Host: "entry-1", Log: l})
//	h := chain.Build(router.Handle, c)
package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/caller"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/request"
)

const (
	// DefaultBuckets is the number of bucket objects.
	DefaultBuckets = 1024
	// DefaultRetention is how long claims are stored.
	DefaultRetention = 24 * time.Hour
	// maxBodyBytes bounds a stored response: its body, content type and location.
	maxBodyBytes = 2 << 10
	// retryAfter is the time after which a caller may retry a refused booking.
	retryAfter = time.Second
	// outcomeTimeout bounds the time in which recording an outcome is retried.
	outcomeTimeout = 2 * time.Minute
	// outcomeRetryDelay is the pause between two such retries.
	outcomeRetryDelay = 500 * time.Millisecond
	// maxPendingOutcomes bounds the outcomes that are being recorded.
	maxPendingOutcomes = 4096
)

// Options configures a Claimer.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Host     unit.HostID
	Log      *log.Logger
	// Buckets is the number of bucket objects, the same on all daemons; 0 means
	// DefaultBuckets.
	Buckets int
	// Retention is how long claims are stored; 0 means DefaultRetention.
	Retention time.Duration
}

// Claimer is a filter for bookings with a key.
type Claimer struct {
	options Options
	// outcomeSlots holds one element for each outcome that is being recorded.
	outcomeSlots chan struct{}
	// background counts the goroutines that record outcomes.
	background sync.WaitGroup

	mu      sync.Mutex
	buckets map[string]*bucket
}

// New returns a Claimer.
func New(o Options) *Claimer {
	if o.Buckets == 0 {
		o.Buckets = DefaultBuckets
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	return &Claimer{options: o, outcomeSlots: make(chan struct{}, maxPendingOutcomes), buckets: map[string]*bucket{}}
}

// Handle claims a booking with a key, passes it to next and records its outcome. Other
// requests, and those that the entry declares idempotent, are passed on without a claim.
// A repeat is answered from its earlier claim.
func (c *Claimer) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if r.Kind != catalogue.KindService || r.IdempotencyKey == "" || caller.Idempotent(r.Entry.Service, r.Call.Method, r.Call.Path) {
		return next(ctx, r)
	}
	row := Claim{
		Key: keyOf(r), Fingerprint: fingerprintOf(r), Attempt: AttemptID(uuid.NewString()),
		Host: c.options.Host, State: Claimed, At: c.options.Timer.Now().UTC().Truncate(time.Millisecond),
	}
	b := c.bucket(row.Key)
	earlier, err := c.claim(ctx, b, row)
	if err != nil {
		return err
	}
	if earlier != nil {
		return handleRepeat(r, row, earlier)
	}
	err = next(ctx, r)
	c.submitOutcome(b, row, r, err)
	return err
}

func (c *Claimer) bucket(k Key) *bucket {
	name := bucketName(k, c.options.Buckets)
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets[name]
	if b == nil {
		b = &bucket{name: name, platform: c.options.Platform, now: c.options.Timer.Now, retention: c.options.Retention}
		c.buckets[name] = b
	}
	return b
}

// claim submits the row of a new attempt. It blocks until the row is written or refused, or
// ctx is done, and returns the earlier claim if one of the same key exists. If the row may
// still reach the bucket after an error, it is released, because the booking was not sent.
func (c *Claimer) claim(ctx context.Context, b *bucket, row Claim) (*Claim, error) {
	o, err := b.submit(row)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-o.answer:
		if res.uncertain {
			c.recordOutcome(b, releasedRow(row))
		}
		return res.earlier, refusal(res.err)
	case <-ctx.Done():
		c.recordOutcome(b, releasedRow(row))
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the claim was not written in time").WithRetryAfter(retryAfter)
	}
}

func refusal(err error) error {
	if _, ok := verdict.FromError(err); ok || err == nil {
		return err
	}
	reason := verdict.PlatformUnavailable
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrBudget) {
		reason = verdict.Overloaded
	}
	return verdict.New(verdict.NotRun, reason, "the claim was not written: %v", err).WithRetryAfter(retryAfter)
}

func releasedRow(row Claim) Claim {
	row.State = Released
	return row
}

// submitOutcome submits the outcome of an attempt for recording in the background. An unknown
// outcome leaves the claim Claimed.
func (c *Claimer) submitOutcome(b *bucket, row Claim, r *request.Request, err error) {
	v, failed := verdict.FromError(err)
	switch {
	case err == nil && r.Call.Result != nil:
		row.State, row.Response = Done, newResponse(r.Call.Result)
	case failed && v.Verdict == verdict.NotRun:
		row.State = Released
	case failed && v.Verdict == verdict.Ran:
		row.State, row.Response = Done, &Response{Status: v.Reason.Status(), Long: true}
	default:
		return
	}
	c.recordOutcome(b, row)
}

// recordOutcome records an outcome in the background and retries for up to outcomeTimeout while
// the platform is unavailable. After that, or if too many outcomes are pending, the claim
// stays Claimed and repeats get MayHaveRun.
func (c *Claimer) recordOutcome(b *bucket, row Claim) {
	select {
	case c.outcomeSlots <- struct{}{}:
	default:
		c.options.Log.Warn("outcome of a booking dropped: too many are pending; repeats get MayHaveRun", "bucket", b.name, "attempt", row.Attempt)
		return
	}
	first, err := b.submit(row)
	c.background.Go(func() {
		defer func() { <-c.outcomeSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		for o := first; ctx.Err() == nil; o, err = b.submit(row) {
			if err == nil {
				if res := <-o.answer; res.err == nil {
					return
				}
			}
			if c.options.Timer.Sleep(ctx, outcomeRetryDelay) != nil {
				break
			}
		}
		c.options.Log.Warn("outcome of a booking not recorded in time; repeats get MayHaveRun", "bucket", b.name, "attempt", row.Attempt)
	})
}

// Flush blocks until all outcomes are recorded or given up, or until ctx is done. It must
// be called only when no requests are in progress.
func (c *Claimer) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
