package command_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/oleanderctl/command"
)

// daemon answers every call with the same status and body and records the last request.
type daemon struct {
	status int
	body   string
	// dropConnection closes the connection without a response.
	dropConnection bool
	request        string
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.dropConnection {
		panic(http.ErrAbortHandler)
	}
	body, _ := io.ReadAll(r.Body)
	d.request = strings.Join([]string{r.Method, r.URL.Path, r.Header.Get("If-Version"), r.Header.Get("X-Operator"), string(body)}, " ")
	w.Header().Set("X-Host", "entry-1")
	w.WriteHeader(d.status)
	_, _ = io.WriteString(w, d.body)
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against scripts that treat an unknown or refused edit as accepted, which happens
// when a failure gets the wrong exit code.
func TestExitCodes(t *testing.T) {
	const edit = "edit Model report --set Limits.RequestsPerSecond=20"
	const conflict = `{"Verdict":"NotRun","Reason":"Conflict","Version":7,"Conflicts":[{"Field":"Owner","Yours":"a"}],"Changes":[{"Version":7,"By":"bob","Fields":["Owner"]}]}`
	rows := []struct {
		name, args string
		daemon     daemon
		code       int
		out        string
	}{
		{"accepted edit fails", edit, daemon{status: 200, body: `{"ID":"e-1","Version":8}`}, command.ExitOK, "e-1"},
		{"conflict hides who came first", edit, daemon{status: 409, body: conflict}, command.ExitConflict, "version 7 by bob changed Owner"},
		{"conflict hides the other value", edit, daemon{status: 409, body: conflict}, command.ExitConflict, `yours "a", theirs (not set)`},
		{"unknown outcome looks refused", edit, daemon{status: 504, body: `{"Verdict":"MayHaveRun"}`}, command.ExitUnknown, "MayHaveRun"},
		{"cut connection looks refused", edit, daemon{dropConnection: true}, command.ExitUnknown, "OutcomeUnknown"},
		{"cut read looks like an edit", "show Model report", daemon{dropConnection: true}, command.ExitNotRun, "NotRun"},
		{"outage looks like a failure", edit, daemon{status: 503, body: `{"Verdict":"NotRun","Reason":"PlatformUnavailable"}`}, command.ExitNotRun, "PlatformUnavailable"},
		{"faults are not listed", edit, daemon{status: 400, body: `{"Verdict":"NotRun","Reason":"BadRequest","Faults":[{"Field":"Owner","Problem":"is empty"}]}`}, command.ExitInvalid, "fault in Owner: is empty"},
		{"wrong token looks like an outage", "list", daemon{status: 401, body: `{"Verdict":"NotRun","Reason":"Unauthorized"}`}, command.ExitUnauthorized, ""},
		{"missing entry looks like an outage", "show Model x", daemon{status: 404, body: `{"Verdict":"NotRun","Reason":"UnknownEntry"}`}, command.ExitNotFound, ""},
		{"answer of another server is accepted", edit, daemon{status: 404, body: "not found"}, command.ExitUnknown, "not found"},
		{"unknown request looks served", "explain r-1", daemon{status: 200, body: `{"Events":[]}`}, command.ExitNotFound, "no daemon has events"},
		{"missing flag looks like a failure", "edit Model report", daemon{}, command.ExitUsage, "file"},
		{"unknown field reaches the daemon", "edit Model report --set Limits.Speed=1", daemon{}, command.ExitUsage, "unknown field"},
		{"unknown command looks like a failure", "paint", daemon{}, command.ExitUsage, "paint"},
		{"unknown output looks like a failure", "list --output xml", daemon{}, command.ExitUsage, "xml"},
		{"completion needs an address", "__complete show ", daemon{}, command.ExitOK, "Account"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(&r.daemon)
			defer s.Close()
			args := append(strings.Split(r.args, " "), "--address", strings.TrimPrefix(s.URL, "http://"))
			if strings.HasPrefix(r.args, "__") {
				args = strings.Split(r.args, " ")
			}
			var out bytes.Buffer
			is.Equal(command.Run(args, nil, &out, &out), r.code)
			is.True(strings.Contains(out.String(), r.out)) // output shows the cause
		})
	}
}

// Guards against edits that are sent with the wrong version, type or path, and against
// edits that fail because no daemon listens at the first address.
func TestRequests(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	is.New(t).NoErr(os.WriteFile(file, []byte(`{"Version":6,"Entry":{"Kind":"Model","Name":"report","Owner":"x"}}`), 0o600))
	rows := []struct{ name, args, want string }{
		{"text is sent as a number", "edit Model report --set Model.Version=1.2", `PATCH /v1/entries/Model/report  ann {"Set":[{"Field":"Model.Version","Value":"1.2"}]}`},
		{"number is sent as a text", "edit Model report --set DrainMs=12 --if-version 3", `PATCH /v1/entries/Model/report 3 ann {"Set":[{"Field":"DrainMs","Value":12}]}`},
		{"version of the file is lost", "edit Model report --file " + file, `PUT /v1/entries/Model/report 6 ann {"Kind":"Model"`},
		{"creation replaces an entry", "create Model report --file " + file, `PUT /v1/entries/Model/report 0 ann {"Kind":"Model"`},
		{"deletion ignores the version", "delete Model report --if-version 9", `DELETE /v1/entries/Model/report 9 ann`},
		{"drain has no target", "drain engine-1 --cancel", `POST /v1/drain  ann {"Target":"engine-1","Cancel":true}`},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			d := &daemon{status: 200, body: "{}"}
			s := httptest.NewServer(d)
			defer s.Close()
			t.Setenv("OLEANDERCTL_ADDRESS", closedAddress(t)+","+strings.TrimPrefix(s.URL, "http://"))
			t.Setenv("OLEANDERCTL_OPERATOR", "ann")
			var out bytes.Buffer
			is.Equal(command.Run(strings.Split(r.args, " "), nil, &out, &out), command.ExitOK)
			is.True(strings.HasPrefix(d.request, r.want)) // request as the daemon expects it
		})
	}
}
