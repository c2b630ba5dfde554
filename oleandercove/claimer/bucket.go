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
	// rowBytes is an upper bound of an encoded row without its response.
	rowBytes = 512
	// maxClaimBytes is the size at which a bucket takes no new claims. The
	// platform's limit is 1 MB; the rest is kept for the outcomes of claims.
	maxClaimBytes = 700 << 10
	// maxBucketBytes is the size at which outcomes lose their bodies.
	maxBucketBytes = 900 << 10
	// maxCacheBytes is the largest content that is kept between commits, so that
	// 1024 buckets take at most 32 MB.
	maxCacheBytes = 32 << 10
	// commitLimit bounds the writes of one batch.
	commitLimit = 3 * time.Second
	// maxConflicts bounds the conflicts of one batch with other daemons.
	maxConflicts = 20
	// maxPending bounds the operations that wait for one bucket.
	maxPending = 1024
)

// operation is a claim, or the outcome of one, that waits for its bucket.
type operation struct {
	row Claim
	// answer receives the result.
	answer chan result
	// sent is true once the outcome of a write with this row is unknown.
	sent bool
	// foreign is the earlier claim that stands in the way.
	foreign *Claim
	err     error
}

// result of an operation: foreign is the claim that stands in its way, and
// uncertain is true if the row may be in the bucket in spite of the error.
type result struct {
	foreign   *Claim
	err       error
	uncertain bool
}

// bucket commits operations in groups: those that arrive during a write join
// the next one.
type bucket struct {
	name     string
	platform platform.Client
	now      func() time.Time
	keep     time.Duration

	mu      sync.Mutex
	pending []*operation
	running bool

	// version and content are the last known state; only the committing
	// goroutine uses them.
	version unit.Version
	content content
	known   bool
}

// submit queues an operation and starts a commit if none is in progress.
func (b *bucket) submit(row Claim) (*operation, error) {
	o := &operation{row: row, answer: make(chan result, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "too many bookings wait for claims").After(comeBack)
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
			b.forget()
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

// forget drops the content of a large bucket, which is then read again.
func (b *bucket) forget() {
	if b.content.size() > maxCacheBytes {
		b.content, b.known = content{}, false
	}
}

func (o *operation) finish(err error) {
	if o.err == nil && o.foreign == nil {
		o.err = err
	}
	o.answer <- result{foreign: o.foreign, err: o.err, uncertain: o.sent && o.err != nil}
}

// commit applies a batch to the newest content and writes it.
func (b *bucket) commit(batch []*operation) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitLimit)
	defer cancel()
	fresh := false
	for range maxConflicts {
		if !b.known {
			if err := b.load(ctx); err != nil {
				return err
			}
			fresh = true
		}
		next, changed, stale := b.apply(batch, fresh)
		if stale {
			b.known = false
			continue
		}
		if !changed {
			return nil
		}
		err := b.write(ctx, next, batch)
		if err == nil || !(errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown)) {
			return err
		}
		b.known = false
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
	b.version, b.content, b.known = o.Version, c, true
	return nil
}

func (b *bucket) write(ctx context.Context, next content, batch []*operation) error {
	v, err := json.Marshal(next)
	if err != nil {
		return err
	}
	w, err := b.platform.Put(ctx, platform.KindClaim, b.name, b.version, v)
	if errors.Is(err, platform.ErrUnknown) {
		for _, o := range batch {
			o.sent = o.sent || (o.foreign == nil && o.err == nil)
		}
	}
	if err != nil {
		return err
	}
	b.version, b.content = w.Version, next
	return nil
}

// apply returns the content with all operations. If an earlier claim is in
// the way in a cached content, that content is stale.
func (b *bucket) apply(batch []*operation, fresh bool) (next content, changed, stale bool) {
	next.Claims = append([]Claim(nil), b.content.Claims...)
	next.trim(b.now().Add(-b.keep))
	for _, o := range batch {
		o.foreign, o.err = nil, nil
		if o.row.State == Claimed {
			changed = next.claim(o) || changed
		} else {
			changed = next.settle(o) || changed
		}
		if !fresh && o.foreign != nil && o.foreign.State == Claimed && !inBatch(batch, o.foreign.Attempt) {
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

// claim adds the row of a new attempt unless an earlier one is in the way.
func (c *content) claim(o *operation) bool {
	old := c.find(o.row.Key)
	switch {
	case old != nil && old.Attempt == o.row.Attempt:
		return false
	case old != nil && (old.State != Released || old.Fingerprint != o.row.Fingerprint):
		f := *old
		o.foreign = &f
		return false
	case old != nil:
		*old = o.row
		return true
	case c.size()+rowBytes > maxClaimBytes:
		o.err = verdict.New(verdict.NotRun, verdict.Overloaded, "the bucket of this key is full").After(comeBack)
		return false
	default:
		c.Claims = append(c.Claims, o.row)
		return true
	}
}

// settle records the outcome of an attempt. A row that is missing is added,
// so that a write of its claim that is still on its way meets a new version.
func (c *content) settle(o *operation) bool {
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
