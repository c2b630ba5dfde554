package logger

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against a log that blocks requests because its output is blocked, and against
// lines that are dropped without being counted.
func TestBounded(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(out, 100, 4)
	for range 300 {
		n, err := b.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	close(out.release)
	for {
		if _, err := b.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		b.mu.Lock()
		accepted := b.dropped == 0
		b.mu.Unlock()
		if accepted {
			break
		}
	}
	b.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Count(out.text.String(), "line\n") < 10)
	is.True(strings.Contains(out.text.String(), "log lines dropped"))
}
