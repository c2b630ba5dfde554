package commander

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/receiver"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// readTimeout bounds the status call to one engine.
	readTimeout = 400 * time.Millisecond
	// maxReads bounds the status calls in flight.
	maxReads = 32
)

// Reader reads the statuses on which orders are based. Peers report only
// changes, so their reports can't show that a status is recent.
type Reader interface {
	// Read returns the backend servers with fresh statuses of all engines.
	Read(ctx context.Context, backends []watcher.Backend) []watcher.Backend
}

type httpReader struct {
	timer timer.Service
	http  *http.Client
}

// NewReader returns a Reader over HTTP.
func NewReader(t timer.Service) Reader {
	return &httpReader{timer: t, http: &http.Client{
		Timeout: readTimeout, Transport: receiver.NewTransport(&http.Transport{IdleConnTimeout: time.Minute}),
	}}
}

func (r *httpReader) Read(ctx context.Context, backends []watcher.Backend) []watcher.Backend {
	out := slices.Clone(backends)
	p := pool.New().WithMaxGoroutines(maxReads)
	for i := range out {
		if b := &out[i]; b.Role == platform.RoleEngine {
			p.Go(func() { r.refresh(ctx, b) })
		}
	}
	p.Wait()
	return out
}

// refresh replaces the status of an engine. An engine that doesn't answer counts
// as unhealthy in this round.
func (r *httpReader) refresh(ctx context.Context, b *watcher.Backend) {
	seen := r.timer.Now()
	b.Healthy = false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+"/v1/status", nil)
	if err != nil {
		return
	}
	res, err := r.http.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return
	}
	if s, err := engine.ReadStatus(res.Body); err == nil {
		b.Engine, b.Healthy, b.Seen = s, true, seen
	}
}
