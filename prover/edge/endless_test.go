package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

const (
	// smallHost is the memory in bytes of the smallest host that daemons run on.
	smallHost = 184 << 20
	// endlessConcurrency is the number of requests of each kind that receive endless
	// responses at the same time.
	endlessConcurrency = 32
	// endlessLimit is how long a request may take. Its deadline is later, and a response
	// that never ends must not hold the request until then.
	endlessLimit = 5 * time.Second
)

// Guards against responses that never end and use up the host's memory or the callers'
// time, and against a refusal which states that such a request has not run.
func TestEndlessResponses(t *testing.T) {
	const block = 8 << 10
	tests := []struct {
		name    string
		endless imitator.Endless
	}{
		{"a header line", imitator.Endless{Beginning: "HTTP/1.1 200 OK\r\nX: ", Piece: strings.Repeat("x", block)}},
		{"header fields", imitator.Endless{Beginning: "HTTP/1.1 200 OK\r\n", Piece: strings.Repeat("X: 1\r\n", block/6)}},
		{"interim responses", imitator.Endless{Piece: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", block/27)}},
		{"bytes that are no response", imitator.Endless{Piece: strings.Repeat("\x00", block)}},
		{"a body with a length", imitator.Endless{Beginning: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", Piece: strings.Repeat("x", block)}},
		{"a body of chunks", imitator.Endless{Beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Piece: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"}},
		{"a body until the end of the connection", imitator.Endless{Beginning: "HTTP/1.1 200 OK\r\n\r\n", Piece: strings.Repeat("x", block)}},
	}
	s := newSite(t, 1)
	r, bad := s.routers[0], s.Servers()[0]
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			bad.Endless.Store(&tt.endless)
			defer bad.Endless.Store(nil)
			reads, bookings := make([]response, endlessConcurrency), make([]response, endlessConcurrency)
			var wg sync.WaitGroup
			for i := range endlessConcurrency {
				wg.Go(func() {
					reads[i] = request{router: r, id: fmt.Sprintf("r%d-%d", n, i), method: "GET", path: imitator.StatusPath, key: imitator.Key}.do()
				})
				wg.Go(func() {
					bookings[i] = request{router: r, id: fmt.Sprintf("b%d-%d", n, i), method: "POST", path: imitator.BookPath, key: imitator.Key, body: "x"}.do()
				})
			}
			wg.Wait()
			for i := range endlessConcurrency {
				is.Equal(reads[i].status, http.StatusOK) // the other server answers
				is.True(reads[i].took < endlessLimit)
				b := bookings[i]
				ran := len(s.Runs.ByAttempt(fmt.Sprintf("b%d-%d", n, i)))
				is.True(ran <= 1)
				is.True(b.status == http.StatusOK || b.status == http.StatusBadGateway || (ran == 0 && b.status == http.StatusServiceUnavailable))
				is.True(b.took < endlessLimit)
			}
		})
	}
	is := is.New(t)
	peak, err := r.PeakMemory()
	is.NoErr(err)
	is.True(peak < smallHost)
	t.Logf("peak memory of the daemon: %d MiB", peak>>20)
}
