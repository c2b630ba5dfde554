package operator_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/api"
)

// Guards against edits, drains and refusals that explain doesn't show.
func TestExplainEdits(t *testing.T) {
	rows := []struct{ name, method, path, version, body, subject, want string }{
		{"accepted edit is not recorded", "PUT", "/v1/entries/Model/report", "4", "{}", "entry:Model.report", `"Decision":"Edit","Cause":"version 5`},
		{"refusal is not recorded", "PUT", "/v1/entries/Model/report", "", "{}", "entry:Model.report", `"Decision":"EditRefused","Cause":"by ann`},
		{"unknown outcome is recorded as refused", "PATCH", "/v1/entries/Model/report", "", `{"Set":[{"Field":"Owner","Value":"x"}]}`, "entry:Model.report", `"EditUnknown"`},
		{"drain is not recorded", "POST", "/v1/drain", "", `{"Target":"engine-1"}`, "backend:engine-1", `drain engine-1 by ann`},
		{"refused drain is not recorded", "POST", "/v1/drain", "", `{"Target":"entry-1","Cancel":true}`, "backend:entry-1", `"EditRefused"`},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			h := newHandler(&fakeMarks{})
			send := func(method, path, body string) string {
				req := httptest.NewRequest(method, path, strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer secret")
				req.Header.Set(api.HeaderIfVersion, r.version)
				req.Header.Set(api.HeaderOperator, "ann")
				w := httptest.NewRecorder()
				h.ServeHTTP(w, req)
				return w.Body.String()
			}
			send(r.method, r.path, r.body)
			is.True(strings.Contains(send("GET", "/v1/explain/"+r.subject, ""), r.want))
		})
	}
}
