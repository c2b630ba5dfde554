package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
)

const (
	// rowBytes bounds an encoded row without its response.
	rowBytes = 512
	// maxClaimBytes is the size at which a bucket rejects new claims. The platform's
	// limit is 1 MB; the rest is reserved for the outcomes of claims.
	maxClaimBytes = 700 << 10
	// maxBucketBytes is the size at which outcomes are stored without their bodies.
	maxBucketBytes = 900 << 10
	// maxCacheBytes is the largest content that is cached between commits, so that 1024
	// buckets use at most 32 MB.
	maxCacheBytes = 32 << 10
	// commitLimit bounds the time to commit one batch.
	commitLimit = 3 * time.Second
	// maxConflicts bounds the attempts to commit one batch; each conflict with another
	// daemon uses up one.
	maxConflicts = 20
	// maxPending bounds the queued operations of one bucket.
	maxPending = 1024
)

// operation is a queued write of a claim or of its outcome.
type operation struct {
	row Claim
	// answer receives the result.
	answer chan result
	// unconfirmed is true once a write with this row had an unknown outcome.
	unconfirmed bool
	// earlier is the existing claim of the same key that prevents the operation.
	earlier *Claim
	err     error
}

// result is the result of an operation: earlier is the existing claim that prevents it,
// and uncertain is true if the row may be in the bucket in spite of the error.
type result struct {
	earlier   *Claim
	err       error
	uncertain bool
}

// bucket commits operations in batches: those that arrive during a write form the next
// batch.
type bucket struct {
	name      string
	platform  platform.Client
	now       func() time.Time
	retention time.Duration

	mu      sync.Mutex
	pending []*operation
	running bool

	// version and content are the last state that was read or written, valid if loaded
	// is set; only the committing goroutine uses them.
	version unit.Version
	content content
	loaded  bool
}

// submit queues an operation and starts a commit if none is in progress. It fails if
// the queue is full.
func (b *bucket) submit(row Claim) (*operation, error) {
	o := &operation{row: row, answer: make(chan result, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "too many bookings wait for claims").WithRetryAfter(retryAfter)
	}
	b.pending = append(b.pending, o)
	if !b.running {
		b.running = true
		go b.run()
	}
	return o, nil
}

func (b *bucket) run() {
	for {
		b.mu.Lock()
		batch := b.pending
		b.pending = nil
		if len(batch) == 0 {
			b.running = false
			b.dropLargeContent()
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		err := b.commit(batch)
		for _, o := range batch {
			o.finish(err)
		}
	}
}

// dropLargeContent drops content above maxCacheBytes; the next commit reads it again.
func (b *bucket) dropLargeContent() {
	if b.content.size() > maxCacheBytes {
		b.content, b.loaded = content{}, false
	}
}

func (o *operation) finish(err error) {
	if o.err == nil && o.earlier == nil {
		o.err = err
	}
	o.answer <- result{earlier: o.earlier, err: o.err, uncertain: o.unconfirmed && o.err != nil}
}

// commit applies a batch to the newest content of the bucket and writes the result. It
// blocks for at most commitLimit.
func (b *bucket) commit(batch []*operation) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitLimit)
	defer cancel()
	fresh := false
	for range maxConflicts {
		if !b.loaded {
			if err := b.load(ctx); err != nil {
				return err
			}
			fresh = true
		}
		next, changed, stale := b.apply(batch, fresh)
		if stale {
			b.loaded = false
			continue
		}
		if !changed {
			return nil
		}
		err := b.write(ctx, next, batch)
		if err == nil || !(errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown)) {
			return err
		}
		b.loaded = false
		if ctx.Err() != nil {
			return err
		}
	}
	return platform.ErrConflict
}

func (b *bucket) load(ctx context.Context) error {
	o, err := b.platform.Get(ctx, platform.KindClaim, b.name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	c, err := decode(o.Value)
	if err != nil {
		return fmt.Errorf("decode bucket %s: %w", b.name, err)
	}
	b.version, b.content, b.loaded = o.Version, c, true
	return nil
}

func (b *bucket) write(ctx context.Context, next content, batch []*operation) error {
	v, err := json.Marshal(next)
	if err != nil {
		return err
	}
	w, err := b.platform.Put(ctx, platform.KindClaim, b.name, b.version, v)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		for _, o := range batch {
			o.unconfirmed = o.unconfirmed || (o.earlier == nil && o.err == nil)
		}
	}
	if err != nil {
		return err
	}
	b.version, b.content = w.Version, next
	return nil
}

// apply returns the content with all operations applied. stale is true if the cached content
// must be read again, because in it a claim of another batch that has no outcome yet prevents
// an operation. Content that was read for this commit (fresh) is never stale.
func (b *bucket) apply(batch []*operation, fresh bool) (next content, changed, stale bool) {
	next.Claims = append([]Claim(nil), b.content.Claims...)
	next.trim(b.now().Add(-b.retention))
	for _, o := range batch {
		o.earlier, o.err = nil, nil
		if o.row.State == Claimed {
			changed = next.addClaim(o) || changed
		} else {
			changed = next.setOutcome(o) || changed
		}
		if !fresh && o.earlier != nil && o.earlier.State == Claimed && !inBatch(batch, o.earlier.Attempt) {
			return next, false, true
		}
	}
	return next, changed, false
}

func inBatch(batch []*operation, a AttemptID) bool {
	for _, o := range batch {
		if o.row.Attempt == a {
			return true
		}
	}
	return false
}

// addClaim adds the row of a new attempt, unless an earlier claim of the same key prevents
// it or the bucket is full. It reports whether the content changed.
func (c *content) addClaim(o *operation) bool {
	old := c.find(o.row.Key)
	switch {
	case old != nil && old.Attempt == o.row.Attempt:
		return false
	case old != nil && (old.State != Released || old.Fingerprint != o.row.Fingerprint):
		f := *old
		o.earlier = &f
		return false
	case old != nil:
		*old = o.row
		return true
	case c.size()+rowBytes > maxClaimBytes:
		o.err = verdict.New(verdict.NotRun, verdict.Overloaded, "the bucket of this key is full").WithRetryAfter(retryAfter)
		return false
	default:
		c.Claims = append(c.Claims, o.row)
		return true
	}
}

// setOutcome records the outcome of an attempt and reports whether the content changed. A
// missing row is added: a delayed write of its claim then fails, because the version of the
// bucket has changed.
func (c *content) setOutcome(o *operation) bool {
	row := o.row
	if row.Response != nil && c.size()+rowBytes+len(row.Response.Body)*4/3 > maxBucketBytes {
		r := *row.Response
		r.Body, r.Long = nil, true
		row.Response = &r
	}
	old := c.find(row.Key)
	switch {
	case old == nil:
		c.Claims = append(c.Claims, row)
	case old.Attempt != row.Attempt || old.State != Claimed:
		return false
	default:
		row.At = old.At
		*old = row
	}
	return true
}
