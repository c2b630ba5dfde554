package quarantiner

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/receiver"
)

// probeTimeout bounds the status request to a backend server after a failure.
const probeTimeout = 300 * time.Millisecond

// httpProber requests the status of a backend server over a new connection.
type httpProber struct{ http *http.Client }

// NewProber returns a Prober over HTTP.
func NewProber() Prober {
	return &httpProber{http: &http.Client{
		Timeout: probeTimeout, Transport: receiver.NewTransport(&http.Transport{DisableKeepAlives: true}),
	}}
}

// Crashed reports whether the port refuses or resets connections or another process
// answers. A host that does not answer has failed as a whole, which no request can cause,
// so it does not count as crashed.
func (p *httpProber) Crashed(ctx context.Context, s engine.Stage, start string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+"/v1/status", nil)
	if err != nil {
		return false
	}
	res, err := p.http.Do(req)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	defer res.Body.Close()
	status, err := engine.ReadStatus(res.Body)
	return err == nil && status.Start != start
}
