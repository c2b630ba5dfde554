package prover_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

// Guards against a daemon that serves no metrics, serves them without the operators' token,
// or doesn't count requests and recoveries.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	a, err := r.complete(t.Context(), 0, "yield of net 4", 60, func(n int) {
		if n == 10 {
			r.engines[2].Kill()
		}
	})
	is.NoErr(err)
	is.True(a.Done)
	_, err = r.client.Complete(t.Context(), r.daemons[0].Address, invoker.Prompt{Model: "absent", Text: "x", MaxTokens: 1})
	is.NoErr(err)
	url := "http://" + r.daemons[0].OperatorAddress + "/metrics"
	res, err := r.client.Do(t.Context(), http.MethodGet, url, nil, nil)
	is.NoErr(err)
	res.Body.Close()
	is.Equal(res.StatusCode, http.StatusUnauthorized)
	operator := invoker.Client{Token: launcher.OperatorToken}
	for _, want := range []string{
		`oleandercove_requests_total{kind="Model",reason="Complete",verdict="Ran"}`,
		`oleandercove_requests_total{kind="Model",reason="UnknownEntry",verdict="NotRun"} 1`,
		`oleandercove_recoveries_total{cause="`,
		`oleandercove_platform_calls_total{call="Hosts",outcome="Done"}`,
		`oleandercove_backends{role="Engine",state="Usable"} 5`,
		`oleandercove_token_gap_seconds_bucket`,
	} {
		await(t, want, func() bool {
			res, err := operator.Do(t.Context(), http.MethodGet, url, nil, nil)
			if err != nil {
				return false
			}
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			return err == nil && strings.Contains(string(body), want)
		})
	}
}
