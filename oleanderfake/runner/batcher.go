package runner

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"oleandercove.example/core/engine"
)

// batcher runs work in iterations, as an engine with continuous batching does: each
// iteration runs up to maxBatch units of work, highest priority first, and takes the time
// that iterate returns.
type batcher struct {
	mu       sync.Mutex
	queue    workQueue
	sequence uint64
	wake     chan struct{}
	iterate  func() time.Duration
	maxBatch int
	// running is the number of work items that the current iteration completes.
	running    int
	iterations atomic.Uint64
	hung       atomic.Bool
}

// work is a number of units that wait to be executed for one step.
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

// waitForUnits blocks until the iterations that run the units of work have ended. It
// returns ctx.Err() if ctx is done first.
func (b *batcher) waitForUnits(ctx context.Context, p engine.Priority, units int) error {
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

// progress returns the number of iterations so far and of work items that wait or run.
func (b *batcher) progress() (iterations uint64, pending int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.iterations.Load(), b.queue.Len() + b.running
}

// setHung stops the iterations, or resumes them.
func (b *batcher) setHung(on bool) {
	b.hung.Store(on)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// waitWhileHung blocks until the batcher is not hung and returns true, or until ctx is done
// and returns false.
func (b *batcher) waitWhileHung(ctx context.Context) bool {
	for b.hung.Load() {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// run executes iterations until ctx is done. An iteration starts when the previous one
// should have ended, so that timer delays don't add up.
func (b *batcher) run(ctx context.Context) {
	end := time.Now()
	for b.waitWhileHung(ctx) {
		batch := b.takeBatch()
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
		if !b.waitWhileHung(ctx) {
			return
		}
		b.iterations.Add(1)
		for _, w := range batch {
			close(w.done)
		}
	}
}

// takeBatch removes and returns the work that the next iteration completes. Work that
// exceeds the remaining capacity stays queued with its remaining units; a placeholder stands
// for an iteration that completes no work.
func (b *batcher) takeBatch() []*work {
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := b.maxBatch
	var batch []*work
	defer func() { b.running = len(batch) }()
	for capacity > 0 && b.queue.Len() > 0 {
		w := b.queue[0]
		if w.canceled {
			heap.Pop(&b.queue)
			continue
		}
		if w.units > capacity {
			w.units -= capacity
			if len(batch) == 0 {
				return []*work{{done: make(chan struct{})}}
			}
			return batch
		}
		capacity -= w.units
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
