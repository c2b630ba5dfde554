package runner

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"oleandercove.example/core/engine"
)

// batcher runs work in iterations of fixed time, as an engine with continuous
// batching does: each iteration takes up to maxBatch units of work, highest
// priority first.
type batcher struct {
	mu       sync.Mutex
	queue    workQueue
	sequence uint64
	wake     chan struct{}
	iterate  func() time.Duration
	maxBatch int
	// running is the work of the current iteration.
	running    int
	iterations atomic.Uint64
	hung       atomic.Bool
}

type work struct {
	priority engine.Priority
	sequence uint64
	units    int
	done     chan struct{}
	canceled bool
}

func newBatcher(maxBatch int, iterate func() time.Duration) *batcher {
	return &batcher{wake: make(chan struct{}, 1), maxBatch: maxBatch, iterate: iterate}
}

// wait returns once the engine has spent the time for units of work.
func (b *batcher) wait(ctx context.Context, p engine.Priority, units int) error {
	w := &work{priority: p, units: units, done: make(chan struct{})}
	b.mu.Lock()
	b.sequence++
	w.sequence = b.sequence
	heap.Push(&b.queue, w)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		b.mu.Lock()
		w.canceled = true
		b.mu.Unlock()
		return ctx.Err()
	}
}

func (b *batcher) queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Len()
}

// progress returns the iterations so far and the work that waits or runs.
func (b *batcher) progress() (iterations uint64, pending int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.iterations.Load(), b.queue.Len() + b.running
}

// hang stops the iterations, or lets them go on.
func (b *batcher) hang(on bool) {
	b.hung.Store(on)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// awake waits while the batcher hangs; it returns false once ctx is done.
func (b *batcher) awake(ctx context.Context) bool {
	for b.hung.Load() {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// run executes iterations until ctx is done. The next iteration starts when
// the previous one should have ended, so that timer delays don't add up.
func (b *batcher) run(ctx context.Context) {
	end := time.Now()
	for b.awake(ctx) {
		batch := b.take()
		if len(batch) == 0 {
			select {
			case <-b.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if now := time.Now(); end.Before(now.Add(-time.Millisecond)) {
			end = now
		}
		end = end.Add(b.iterate())
		time.Sleep(time.Until(end))
		if !b.awake(ctx) {
			return
		}
		b.iterations.Add(1)
		for _, w := range batch {
			close(w.done)
		}
	}
}

// take removes the work that is complete after the next iteration.
func (b *batcher) take() []*work {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := b.maxBatch
	var batch []*work
	defer func() { b.running = len(batch) }()
	for room > 0 && b.queue.Len() > 0 {
		w := b.queue[0]
		if w.canceled {
			heap.Pop(&b.queue)
			continue
		}
		if w.units > room {
			w.units -= room
			if len(batch) == 0 {
				return []*work{{done: make(chan struct{})}}
			}
			return batch
		}
		room -= w.units
		batch = append(batch, heap.Pop(&b.queue).(*work))
	}
	return batch
}

type workQueue []*work

func (q workQueue) Len() int { return len(q) }

func (q workQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].sequence < q[j].sequence
}

func (q workQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *workQueue) Push(x any) { *q = append(*q, x.(*work)) }

func (q *workQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}
