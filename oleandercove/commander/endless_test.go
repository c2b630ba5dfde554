package commander

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/oleandercove/watcher"
)

// Guards against an engine whose status never ends and so fills the memory of the host.
func TestEndlessStatus(t *testing.T) {
	// readLimit is more than a daemon reads of one status, and than the buffers of a connection
	// hold; endlessBytes is what the engine sends if nobody closes the connection.
	const readLimit, endlessBytes = 16 << 20, 64 << 20
	tests := []struct {
		name string
		read func(address string)
	}{
		{"the status call of operators", func(a string) {
			NewReader(timer.NewReal()).Read(context.Background(), []watcher.Backend{{Address: a, Role: platform.RoleEngine}})
		}},
		{"the crash check", func(a string) {
			quarantiner.NewProber().Crashed(context.Background(), engine.Stage{Address: a}, "")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := io.WriteString(w, `{"Start":"`)
				for piece := strings.Repeat("x", 64<<10); err == nil && sent.Load() < endlessBytes; sent.Add(int64(len(piece))) {
					_, err = io.WriteString(w, piece)
				}
			}))
			defer server.Close()
			tt.read(strings.TrimPrefix(server.URL, "http://"))
			is.True(sent.Load() < readLimit)
		})
	}
}
