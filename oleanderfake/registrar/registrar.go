// Package registrar refreshes the row of a simulated host in the platform's host list.
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

// refreshInterval is the time between two refreshes of a row, and the timeout of each.
const refreshInterval = time.Second

// Run registers the host that state returns, at once and then at each refreshInterval. It
// blocks until ctx is done, and returns at once if the address is empty.
func Run(ctx context.Context, address string, state func() platform.Host) {
	if address == "" {
		return
	}
	t := time.NewTicker(refreshInterval)
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

// Register writes the row once, within refreshInterval. It ignores errors, as Run writes the
// row again.
func Register(ctx context.Context, address string, h platform.Host) {
	body, err := json.Marshal(h)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/v1/hosts/"+h.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		res.Body.Close()
	}
}
