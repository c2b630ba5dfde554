package prover_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/oleandercove/divider"
	"oleandercove.example/prover/launcher"
)

const (
	limitedAccount = "night-market"
	// accountLimit is the account's limit in requests/s for all daemons together.
	accountLimit = 60
	// floodDuration is the duration of the measured flood.
	floodDuration = 5 * time.Second
	// coordinatorChange is the longest time for which the limit may be exceeded after the
	// membership, and with it the coordinator, has changed.
	coordinatorChange = 2 * divider.Validity
)

// flood sends reads to all daemons, to each the next one 2 ms after an answer, and returns
// the number that were admitted.
func (r *rig) flood(ctx context.Context, length time.Duration) int64 {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	c := r.client
	c.Token = launcher.Token(limitedAccount)
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for _, d := range r.daemons {
		url := fmt.Sprintf("http://%s/services/logbook/nets", d.Address)
		wg.Go(func() {
			for ctx.Err() == nil {
				if res, err := c.Do(ctx, http.MethodGet, url, nil, nil); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					res.Body.Close()
					if res.StatusCode == http.StatusOK {
						admitted.Add(1)
					}
				}
				<-r.timer.After(2 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return admitted.Load()
}

// Guards against an account that exceeds its limit, which happens when each daemon grants
// the full limit instead of its slice.
func TestFleetWideLimit(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 3)
	_, err := r.Service("logbook-0", "logbook")
	is.NoErr(err)
	is.NoErr(r.PutEntry(t.Context(), &catalogue.Entry{
		Kind: catalogue.KindAccount, Name: limitedAccount, Owner: "operator", Class: catalogue.ClassStandard,
		Limits:  catalogue.Limits{RequestsPerSecond: accountLimit},
		Account: &catalogue.Account{TokenHash: launcher.TokenHash(limitedAccount)},
	}))
	r.flood(t.Context(), coordinatorChange) // the coordinator grants slices only after this time
	start := time.Now()
	n := r.flood(t.Context(), floodDuration)
	elapsed := time.Since(start).Seconds()
	t.Logf("admitted %d in %.2f s at a limit of %d requests/s", n, elapsed, accountLimit)
	is.True(float64(n) <= accountLimit*(elapsed+1)) // one second of unused credit may be left
	is.True(float64(n) >= 0.5*accountLimit*elapsed)
}
