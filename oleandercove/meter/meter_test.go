package meter

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/watcher"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type downClient struct{ platform.Client }

func (downClient) Hosts(context.Context) ([]platform.Host, error) {
	return nil, platform.ErrUnavailable
}

// Guards against metrics that are missing, renamed or wrongly tagged.
func TestScrape(t *testing.T) {
	is := is.New(t)
	m := New()
	m.CountRequest(catalogue.KindModel, nil)
	m.CountRequest(catalogue.KindService, verdict.New(verdict.NotRun, verdict.Draining, "x"))
	m.CountRequest("", verdict.New(verdict.NotRun, verdict.BadRequest, "x"))
	m.CountRecovery(engine.CauseUnreachable)
	_, _ = m.WrapPlatform(downClient{}).Hosts(t.Context())
	m.countBackends([]watcher.Backend{{Role: platform.RoleEngine, Healthy: true}, {Role: platform.RoleEngine, Healthy: true, Draining: true}})
	r := &request.Request{Arrived: time.Now().Add(-time.Second), Completion: &request.Completion{Emit: func(string) error { return nil }}}
	is.NoErr(m.Handle(t.Context(), r, func(_ context.Context, r *request.Request) error {
		_ = r.Completion.Emit("a")
		return r.Completion.Emit("b")
	}))
	m.Close()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`oleandercove_requests_total{kind="Model",reason="Complete",verdict="Ran"} 1`,
		`oleandercove_requests_total{kind="Service",reason="Draining",verdict="NotRun"} 1`,
		`oleandercove_requests_total{kind="None",reason="BadRequest",verdict="NotRun"} 1`,
		`oleandercove_recoveries_total{cause="Unreachable"} 1`,
		`oleandercove_platform_calls_total{call="Hosts",outcome="Unavailable"} 1`,
		`oleandercove_backends{role="Engine",state="Draining"} 1`,
		`oleandercove_backends{role="Service",state="Usable"} 0`,
		`oleandercove_first_token_seconds_bucket{le="0.8"} 0`,
		`oleandercove_first_token_seconds_bucket{le="2"} 1`,
		`oleandercove_token_gap_seconds_count 1`,
	} {
		t.Run(line, func(t *testing.T) { is.New(t).True(strings.Contains(w.Body.String(), line)) })
	}
}
