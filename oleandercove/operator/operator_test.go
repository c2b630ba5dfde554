package operator_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/dumper"
	"oleandercove.example/oleandercove/editor"
	"oleandercove.example/oleandercove/marker"
	"oleandercove.example/oleandercove/operator"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/spreader"
	"oleandercove.example/oleandercove/tracker"
	"oleandercove.example/oleandercove/watcher"
)

// stubEditor accepts replacements, answers patches with an unknown outcome and
// can't read from the platform.
type stubEditor struct{ editor.Editor }

func (stubEditor) Replace(_ context.Context, e *catalogue.Entry, expected unit.Version, by string) (api.EditAccepted, error) {
	return api.EditAccepted{ID: by, Version: expected + 1}, nil
}

func (stubEditor) Patch(context.Context, catalogue.Key, []catalogue.FieldEdit, *unit.Version, string) (api.EditAccepted, error) {
	return api.EditAccepted{}, verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "lost")
}

func (stubEditor) Read(context.Context, catalogue.Key) (*catalogue.Entry, error) {
	return nil, verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "down")
}

type fakeMarks struct{ set []marker.Mark }

func (m *fakeMarks) Set(_ context.Context, k marker.Mark) error {
	m.set = append(m.set, k)
	return nil
}

type staticBackends []watcher.Backend

func (f staticBackends) Backends() []watcher.Backend { return f }
func (staticBackends) Suspect(unit.BackendID)        {}

func failHosts(context.Context) ([]platform.Host, error) { return nil, errors.New("down") }

func newHandler(m *fakeMarks) http.Handler {
	l := log.New(io.Discard)
	t := timer.NewReal()
	c := spreader.New(spreader.Options{Timer: t, Log: l})
	c.Merge([]*catalogue.Entry{{Kind: catalogue.KindModel, Name: "report", Version: 4}})
	return operator.New(operator.Options{
		Host: "entry-1", Token: "secret", Catalogue: c, Editor: stubEditor{}, Backends: staticBackends{{ID: "engine-1", Role: platform.RoleEngine}},
		Tracker: tracker.New(), Recorder: recorder.New(recorder.Options{Timer: t}), Marks: m, Hosts: failHosts, Log: l,
		Dumper: dumper.New(dumper.Options{Timer: t}),
	}).Handler()
}

// Guards against calls that run without the token, edits that run without a version, and
// responses that hide the outcome of an edit.
func TestRoutes(t *testing.T) {
	const entry = "/v1/entries/Model/report"
	rows := []struct {
		name, token, method, path, version, body string
		status                                   int
		want                                     string
	}{
		{"missing token passes", "", "GET", "/v1/entries", "", "", 401, "Unauthorized"},
		{"prefix of the token passes", "secre", "GET", "/v1/dump", "", "", 401, "Unauthorized"},
		{"metrics without a handler panic", "secret", "GET", "/metrics", "", "", 404, ""},
		{"list omits the version", "secret", "GET", "/v1/entries", "", "", 200, `"Version":4`},
		{"entry is not found", "secret", "GET", entry, "", "", 200, `"Name":"report"`},
		{"unknown kind is accepted", "secret", "GET", "/v1/entries/Robot/report", "", "", 404, "no kind"},
		{"history fails in an outage", "secret", "GET", entry + "/history", "", "", 200, `"Version":4`},
		{"edit without a version runs", "secret", "PUT", entry, "", "{}", 400, "If-Version is required"},
		{"edit with a broken version runs", "secret", "PUT", entry, "x", "{}", 400, "not a version"},
		{"unknown field runs", "secret", "PUT", entry, "4", `{"Ower":"x"}`, 400, "unknown field"},
		{"body for another entry runs", "secret", "PUT", entry, "4", `{"Name":"x"}`, 400, "path names"},
		{"author is lost", "secret", "PUT", entry, "4", `{}`, 200, `{"ID":"ann","Version":5`},
		{"empty patch runs", "secret", "PATCH", entry, "", `{}`, 400, "names no field"},
		{"unknown outcome looks refused", "secret", "PATCH", entry, "", `{"Set":[{"Field":"Owner","Value":"x"}]}`, 504, "MayHaveRun"},
		{"two messages run", "secret", "PATCH", entry, "", `{"Set":[]}{}`, 400, "data after"},
		{"backend server is not found", "secret", "POST", "/v1/drain", "", `{"Target":"engine-1"}`, 200, `"Role":"Engine"`},
		{"own host needs the platform", "secret", "POST", "/v1/drain", "", `{"Target":"entry-1"}`, 200, `"Role":"Entry"`},
		{"shutdown is canceled", "secret", "POST", "/v1/drain", "", `{"Target":"entry-1","Cancel":true}`, 400, "cannot be canceled"},
		{"outage looks like an unknown target", "secret", "POST", "/v1/drain", "", `{"Target":"entry-9"}`, 503, "PlatformUnavailable"},
		{"host list of an outage looks empty", "secret", "GET", "/v1/hosts", "", "", 503, "PlatformUnavailable"},
		{"unknown request fails", "secret", "GET", "/v1/explain/r-1", "", "", 200, `"Events":[]`},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			req := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
			req.Header.Set("Authorization", "Bearer "+r.token)
			req.Header.Set(api.HeaderIfVersion, r.version)
			req.Header.Set(api.HeaderOperator, "ann")
			w := httptest.NewRecorder()
			newHandler(&fakeMarks{}).ServeHTTP(w, req)
			is.Equal(w.Code, r.status)
			is.True(strings.Contains(w.Body.String(), r.want)) // the body states the cause
		})
	}
}
