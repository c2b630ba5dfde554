// Package claimer runs bookings with an Idempotency-Key at most once.
//
// It is a filter. Before a booking is sent, its claim is written to a bucket
// object of the platform by conditional update. The claim ends as Done with a
// short response, or as Released if the booking is known not to have run; in
// all other cases it stays Claimed, and repeats are refused as MayHaveRun.
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
	// DefaultRetention is how long claims are kept.
	DefaultRetention = 24 * time.Hour
	// maxBodyBytes is the longest body that is recorded.
	maxBodyBytes = 2 << 10
	// comeBack is when a caller should try again after a refusal.
	comeBack = time.Second
	// settleLimit bounds the attempts to record an outcome.
	settleLimit = 2 * time.Minute
	// settlePause is the pause between two such attempts.
	settlePause = 500 * time.Millisecond
	// maxSettles bounds the outcomes that wait for the platform.
	maxSettles = 4096
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
	// Retention is how long claims are kept; 0 means DefaultRetention.
	Retention time.Duration
}

// Claimer is a filter for bookings with a key.
type Claimer struct {
	options Options
	settles chan struct{}
	// background counts the outcomes in progress.
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
	return &Claimer{options: o, settles: make(chan struct{}, maxSettles), buckets: map[string]*bucket{}}
}

// Handle claims a booking with a key before it passes it on.
func (c *Claimer) Handle(ctx context.Context, r *request.Request, next chain.Handler) error {
	if r.Kind != catalogue.KindService || r.IdempotencyKey == "" || caller.Idempotent(r.Entry.Service, r.Call.Method, r.Call.Path) {
		return next(ctx, r)
	}
	row := Claim{
		Key: keyOf(r), Fingerprint: fingerprintOf(r), Attempt: AttemptID(uuid.NewString()),
		Host: c.options.Host, State: Claimed, At: c.options.Timer.Now().UTC().Truncate(time.Millisecond),
	}
	b := c.bucket(row.Key)
	foreign, err := c.claim(ctx, b, row)
	if err != nil {
		return err
	}
	if foreign != nil {
		return repeat(r, row, foreign)
	}
	err = next(ctx, r)
	c.record(b, row, r, err)
	return err
}

func (c *Claimer) bucket(k Key) *bucket {
	name := bucketName(k, c.options.Buckets)
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets[name]
	if b == nil {
		b = &bucket{name: name, platform: c.options.Platform, now: c.options.Timer.Now, keep: c.options.Retention}
		c.buckets[name] = b
	}
	return b
}

// claim returns nil once the row is in the bucket, or the claim in its way.
// A claim that may still arrive is released, since nothing was sent.
func (c *Claimer) claim(ctx context.Context, b *bucket, row Claim) (*Claim, error) {
	o, err := b.submit(row)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-o.answer:
		if res.uncertain {
			c.settle(b, release(row))
		}
		return res.foreign, refusal(res.err)
	case <-ctx.Done():
		c.settle(b, release(row))
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the claim was not written in time").After(comeBack)
	}
}

func refusal(err error) error {
	if _, ok := verdict.Of(err); ok || err == nil {
		return err
	}
	reason := verdict.PlatformUnavailable
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrBudget) {
		reason = verdict.Overloaded
	}
	return verdict.New(verdict.NotRun, reason, "the claim was not written: %v", err).After(comeBack)
}

func release(row Claim) Claim {
	row.State = Released
	return row
}

// record writes the outcome of an attempt in the background.
func (c *Claimer) record(b *bucket, row Claim, r *request.Request, err error) {
	v, failed := verdict.Of(err)
	switch {
	case err == nil && r.Call.Result != nil:
		row.State, row.Response = Done, shorten(r.Call.Result)
	case failed && v.Verdict == verdict.NotRun:
		row.State = Released
	case failed && v.Verdict == verdict.Ran:
		row.State, row.Response = Done, &Response{Status: v.Reason.Status(), Long: true}
	default:
		return
	}
	c.settle(b, row)
}

// settle records an outcome, again and again while the platform is down. If
// it gives up, the claim stays Claimed and repeats get MayHaveRun.
func (c *Claimer) settle(b *bucket, row Claim) {
	select {
	case c.settles <- struct{}{}:
	default:
		c.options.Log.Warn("dropped the outcome of a booking; repeats get MayHaveRun", "bucket", b.name, "attempt", row.Attempt)
		return
	}
	first, err := b.submit(row)
	c.background.Go(func() {
		defer func() { <-c.settles }()
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		for o := first; ctx.Err() == nil; o, err = b.submit(row) {
			if err == nil {
				if res := <-o.answer; res.err == nil {
					return
				}
			}
			if c.options.Timer.Sleep(ctx, settlePause) != nil {
				break
			}
		}
		c.options.Log.Warn("outcome of a booking not recorded; repeats get MayHaveRun", "bucket", b.name, "attempt", row.Attempt)
	})
}

// Flush waits until all outcomes are recorded or ctx is done. It is called
// once no requests are in progress.
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
