// Package registrar keeps a fake's row in the platform's host list fresh.
//
// Usage:
//
//	go registrar.Run(ctx, "127.0.0.1:7000", host)
package registrar

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"oleandercove.example/core/platform"
)

// interval is how often a fake refreshes its row.
const interval = time.Second

// Run registers the host now and then at each interval until ctx is done.
func Run(ctx context.Context, address string, state func() platform.Host) {
	if address == "" {
		return
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		Register(ctx, address, state())
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Register writes the row once.
func Register(ctx context.Context, address string, h platform.Host) {
	body, err := json.Marshal(h)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/v1/hosts/"+h.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		res.Body.Close()
	}
}
