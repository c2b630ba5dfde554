package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// burstSeconds is the burst capacity, in seconds of the allowed rate.
const burstSeconds = 4

// BoundedWriter is a log writer that never blocks its caller. It drops and counts lines
// that exceed the rate, or that find the queue full because the output is slow. The next
// accepted line is preceded by one with the count.
type BoundedWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
	dropped    int
	closed     bool
}

// NewBoundedWriter returns a writer that passes up to linesPerSecond lines a second to
// out, with bursts, and queues up to queue lines while out is slow.
func NewBoundedWriter(out io.Writer, linesPerSecond, queue int) *BoundedWriter {
	b := &BoundedWriter{
		out: out, lines: make(chan []byte, queue), done: make(chan struct{}),
		rate: float64(linesPerSecond), tokens: float64(linesPerSecond * burstSeconds), refilledAt: time.Now(),
	}
	go b.writeLines()
	return b
}

// Write queues one line or drops it. It never fails or blocks.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.rate*burstSeconds, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.closed || b.tokens < 1 {
		b.dropped++
		return len(line), nil
	}
	select {
	case b.lines <- b.prependDropCount(line):
		b.tokens--
		b.dropped = 0
	default:
		b.dropped++
	}
	return len(line), nil
}

// prependDropCount returns a copy of the line, preceded by a line with the number of
// dropped lines if there are any.
func (b *BoundedWriter) prependDropCount(line []byte) []byte {
	if b.dropped == 0 {
		return bytes.Clone(line)
	}
	return append(fmt.Appendf(nil, "{\"msg\":\"log lines dropped\",\"lines\":%d}\n", b.dropped), line...)
}

func (b *BoundedWriter) writeLines() {
	defer close(b.done)
	for line := range b.lines {
		// There is no other place to report a failed write of the log.
		_, _ = b.out.Write(line)
	}
}

// Close blocks until all queued lines are written, for closeTimeout at most.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// closeTimeout bounds the wait of Close for an output that is blocked.
const closeTimeout = 200 * time.Millisecond
