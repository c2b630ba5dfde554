package command_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/oleanderctl/command"
)

// sound is a configuration without faults, with one field a line where a case changes it.
const sound = `{
 "version": 7,
 "routes": [
  {"name": "reminder", "hostname": "sms.example", "path_prefix": "/reminder/", "route_type": "streaming",
   "stream_resume": true,
   "timeout_ms": 20000,
   "target_latency_ms": 500,
   "gap_aim_ms": 250,
   "max_attempts": 2,
   "priority": 0,
   "service": "draft"},
  {"name": "status", "hostname": "sms.example", "path_prefix": "/status/", "route_type": "safe",
   "timeout_ms": 800, "target_latency_ms": 300, "max_attempts": 2, "priority": 2,
   "traffic_split": [{"service": "gateway", "weight": 9}, {"service": "canary", "weight": 1}]}
 ],
 "services": [
  {"name": "draft",
   "max_connections": 1398,
   "engine": {"slots": 192, "kv_capacity": 100000, "layers": 80, "layer_mb": 1750, "read_per_s": 294000,
    "usual": {"prompt": 800, "answer": 180}, "kinds": [{"name": "a100", "mb": 72000, "pace": 2.4}]}},
  {"name": "gateway"},
  {"name": "canary"}
 ],
 "tenants": [
  {"name": "clinic", "api_keys": ["key-of-clinic"], "priority": 1},
  {"name": "shop",
   "api_keys": ["key-of-shop"]}
 ],
 "limits": {
  "max_header_bytes": 16384,
  "header_timeout_ms": 5000,
  "idle_timeout_ms": 30000}
}`

// check runs the command on a text from standard input.
func check(t *testing.T, text string, args ...string) (code int, out string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = command.Run(append([]string{"check", "-"}, args...), strings.NewReader(text), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// Guards against a faulty configuration that is sent because no line names its fault, or another
// line does. Each row changes the sound configuration in one place.
func TestCheck(t *testing.T) {
	const route, draft, clinic = `"name": "reminder"`, `{"name": "draft",`, `{"name": "clinic"`
	tests := []struct {
		name, old, new string
		// at is a text on the line that must be named.
		at     string
		code   int
		detail string
	}{
		{"a route without a name", route, `"name": ""`, `"name": ""`, command.ExitInvalid, "has no name"},
		{"two routes with one name", `"name": "status"`, route, `"/status/"`, command.ExitInvalid, "route 0 has this name"},
		{"a route behind another one", `/status/`, `/reminder/`, `"status"`, command.ExitWarnings, "never matches: route 0"},
		{"a route without a host", `"hostname": "sms.example", "path_prefix": "/rem`, `"hostname": "", "path_prefix": "/rem`, `"reminder"`, command.ExitWarnings, "no host"},
		{"a host with a port", `"hostname": "sms.example", "path_prefix": "/rem`, `"hostname": "sms.example:80", "path_prefix": "/rem`, `"reminder"`, command.ExitWarnings, "port"},
		{"a host with a pattern", `"hostname": "sms.example", "path_prefix": "/rem`, `"hostname": "*.example", "path_prefix": "/rem`, `"reminder"`, command.ExitWarnings, "without patterns"},
		{"a prefix without a slash in front", `"/reminder/"`, `"reminder/"`, `"reminder"`, command.ExitWarnings, "begin with a slash"},
		{"a prefix without a slash at its end", `"/reminder/"`, `"/reminder"`, `"reminder"`, command.ExitWarnings, "end with a slash"},
		{"a prefix with a query", `"/reminder/"`, `"/reminder?x=/"`, `"reminder"`, command.ExitWarnings, "query"},
		{"a route without a service", `"service": "draft"}`, `"service": ""}`, `"service": ""`, command.ExitInvalid, "daemons skip it"},
		{"a route to an unknown service", `"service": "draft"}`, `"service": "drafts"}`, `"drafts"`, command.ExitInvalid, `service "drafts" doesn't exist`},
		{"a share without a weight", `"weight": 1}`, `"weight": 0}`, `"traffic_split"`, command.ExitWarnings, "never gets a request: its weight is 0"},
		{"a negative weight", `"weight": 1}`, `"weight": -1}`, `"traffic_split"`, command.ExitInvalid, "negative"},
		{"weights that are all 0", `"weight": 9}, {"service": "canary", "weight": 1}`, `"weight": 0}`, `"traffic_split"`, command.ExitInvalid, "all weights are 0"},
		{"a service that is named twice", `"service": "canary", "weight"`, `"service": "gateway", "weight"`, `"traffic_split"`, command.ExitWarnings, "named twice"},
		{"a timeout below the objective", `"timeout_ms": 20000`, `"timeout_ms": 400`, `"timeout_ms": 400`, command.ExitWarnings, "below the objective"},
		{"a negative time", `"timeout_ms": 20000`, `"timeout_ms": -1`, `"timeout_ms": -1`, command.ExitInvalid, "negative"},
		{"a gap above the timeout", `"gap_aim_ms": 250`, `"gap_aim_ms": 25000`, `"gap_aim_ms": 25000`, command.ExitWarnings, "above the timeout"},
		{"a gap without a stream", `"route_type": "safe",`, `"route_type": "safe", "gap_aim_ms": 100,`, `"status"`, command.ExitWarnings, "no streams"},
		{"attempts that no budget pays for", "\"max_attempts\": 2,\n", "\"max_attempts\": 40,\n", `"max_attempts": 40`, command.ExitWarnings, "retry budget"},
		{"a negative priority", `"priority": 0`, `"priority": -3`, `"priority": -3`, command.ExitInvalid, "more urgent than 0"},
		{"a service without a name", `{"name": "canary"}`, `{"name": ""}`, `{"name": ""}`, command.ExitInvalid, "service has no name"},
		{"two services with one name", `{"name": "canary"}`, `{"name": "canary"},` + "\n" + `{"name": "canary", "max_connections": 3}`, `"max_connections": 3`, command.ExitInvalid, "service 2 has this name"},
		{"a service without routes", `{"name": "canary"}`, `{"name": "canary"},` + "\n" + `{"name": "spare"}`, `"spare"`, command.ExitWarnings, "no route leads to it"},
		{"fewer connections than slots", `1398`, `100`, `"max_connections": 100`, command.ExitWarnings, "192 slots"},
		{"a request that no engine holds", `"prompt": 800`, `"prompt": 800000`, `"engine"`, command.ExitWarnings, "a typical request"},
		{"layers without memory", `"layer_mb": 1750`, `"layer_mb": 0`, `"engine"`, command.ExitInvalid, "without memory"},
		{"layers without cards", `[{"name": "a100", "mb": 72000, "pace": 2.4}]`, `[]`, `"engine"`, command.ExitInvalid, "no kind of card"},
		{"a card that is too small", `"mb": 72000`, `"mb": 1000`, `"engine"`, command.ExitWarnings, "never holds a layer"},
		{"a number out of range", `"layers": 80`, `"layers": 1000000`, ``, command.ExitInvalid, "out of range"},
		{"an account without a name", clinic, `{"name": ""`, `{"name": ""`, command.ExitInvalid, "account has no name"},
		{"two accounts with one name", `"name": "shop"`, `"name": "clinic"`, "\"clinic\",\n", command.ExitInvalid, "account 0 has this name"},
		{"an account without a key", `["key-of-shop"]`, `[]`, `[]}`, command.ExitWarnings, "has no key"},
		{"an empty key", `["key-of-shop"]`, `[""]`, `[""]`, command.ExitInvalid, "key is empty"},
		{"a key of two accounts", `["key-of-shop"]`, `["key-of-clinic"]`, "[\"key-of-clinic\"]}\n", command.ExitInvalid, `account "clinic" has this key`},
		{"a key twice", `["key-of-shop"]`, `["k", "k"]`, `["k", "k"]`, command.ExitWarnings, "twice"},
		{"a negative priority of an account", `"priority": 1}`, `"priority": -1}`, `"priority": -1}`, command.ExitInvalid, "more urgent than 0"},
		{"headers beyond what daemons read", `16384`, `1638400`, `1638400`, command.ExitWarnings, "reads at most"},
		{"an idle limit below the header limit", `30000`, `3000`, "\"idle_timeout_ms\": 3000}", command.ExitWarnings, "below HeaderTimeout"},
		{"a negative limit", `16384`, `-1`, `"limits"`, command.ExitInvalid, "negative"},
		{"text that is no JSON", `"limits": {`, `"limits": {,`, `"limits": {,`, command.ExitInvalid, "invalid character"},
		{"a field of another type", `"priority": 0`, `"priority": "first"`, `"first"`, command.ExitInvalid, "cannot unmarshal"},
	}
	is.New(t).True(len(tests) >= 25)
	code, out := check(t, sound)
	is.New(t).Equal(code, command.ExitOK) // the sound configuration has findings
	is.New(t).True(!strings.Contains(out, "rror"))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(sound, tt.old)) // the row changes nothing
			text := strings.Replace(sound, tt.old, tt.new, 1)
			code, out := check(t, text)
			is.Equal(code, tt.code)
			i := strings.Index(out, tt.detail)
			is.True(i >= 0) // no finding has the detail
			if i < 0 || tt.at == "" {
				return
			}
			line := 1 + strings.Count(text[:strings.Index(text, tt.at)], "\n")
			begin := strings.LastIndex(out[:i], "\n") + 1
			is.Equal(strings.Fields(out[begin:])[0], fmt.Sprint(line)) // another line is named
		})
	}
}

// Guards against a change whose effect nobody sees before it is sent: a key that ends, a route
// that goes, or a version that daemons ignore.
func TestCheckAgainstVersionInForce(t *testing.T) {
	inForce := filepath.Join(t.TempDir(), "main.json")
	is.New(t).NoErr(os.WriteFile(inForce, []byte(sound), 0o600))
	newer := strings.Replace(sound, `"version": 7`, `"version": 9`, 1)
	tests := []struct {
		name, old, new string
		code           int
		detail         string
	}{
		{"a newer version without changes has findings", "", "", command.ExitOK, ""},
		{"a version that isn't newer is accepted", `"version": 9`, `"version": 7`, command.ExitInvalid, "daemons ignore it"},
		{"a key ends unseen", `["key-of-shop"]`, `["new-key"]`, command.ExitOK, "1 key ended: requests with it are refused, 1 key added"},
		{"an account goes unseen", `"name": "shop"`, `"name": "store"`, command.ExitOK, "the account loses access"},
		{"a route moves unseen", `"path_prefix": "/status/"`, `"path_prefix": "/state/"`, command.ExitOK, "Prefix /status/ to /state/"},
		{"a priority changes unseen", `"priority": 1}`, `"priority": 0}`, command.ExitOK, "Priority 1 to 0"},
		{"a route opens to everybody unseen", `"route_type": "safe",`, `"route_type": "safe", "anonymous": true,`, command.ExitOK, "requests without a key are served"},
		{"a model changes unseen", `"slots": 192`, `"slots": 64`, command.ExitOK, "Engine.Slots 192 to 64"},
		{"a limit changes unseen", `16384`, `8192`, command.ExitOK, "HeaderBytes 16384 to 8192"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			code, out := check(t, strings.Replace(newer, tt.old, tt.new, 1), "--in-force", inForce)
			is.Equal(code, tt.code)
			is.True(strings.Contains(out, tt.detail))
			is.True(!strings.Contains(out, "key-of-shop")) // a secret is printed
		})
	}
}

// Guards against pipelines that can't read the result or its exit code.
func TestCheckInPipeline(t *testing.T) {
	is := is.New(t)
	code, out := check(t, strings.Replace(sound, `"priority": 0`, `"priority": -3`, 1), "--output", "json")
	is.Equal(code, command.ExitInvalid)
	var results []struct {
		Line                               int
		Severity, Entry, Name, Key, Detail string
	}
	is.NoErr(json.NewDecoder(strings.NewReader(out)).Decode(&results))
	is.Equal(len(results), 1)
	is.Equal(results[0].Key, "routes[0].priority")
	is.Equal(results[0].Line, 10)
	code, _ = check(t, sound, "--output", "json")
	is.Equal(code, command.ExitOK)
	is.Equal(command.Run([]string{"check", "no-such-file"}, nil, &bytes.Buffer{}, &bytes.Buffer{}), command.ExitUsage)
	is.Equal(command.Run([]string{"check", "-", "--in-force", "no-such-file"}, strings.NewReader(sound), &bytes.Buffer{}, &bytes.Buffer{}), command.ExitUsage)
}
