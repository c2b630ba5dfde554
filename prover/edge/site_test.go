// Package edge tests the daemons that route on the platform, as real processes against a
// simulated store, engines and services.
package edge

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/imitator"
	"oleandercove.example/prover/launcher"
)

// waitLimit is how long a test waits for a condition.
const waitLimit = 20 * time.Second

// site is a deployment of daemons on a simulated platform.
type site struct {
	*imitator.Site
	t         *testing.T
	launcher  *launcher.Launcher
	routers   []*launcher.Router
	endpoints []*imitator.Endpoint
}

// newSite starts daemons on a platform with two copies of a model, one in each of two data
// centres, and two plain servers.
func newSite(t *testing.T, daemons int) *site {
	t.Helper()
	return newSiteWith(t, daemons, imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 2})
}

// newSiteWith starts daemons on the simulated platform that the options describe. It blocks
// until each daemon serves a stream.
func newSiteWith(t *testing.T, daemons int, o imitator.Options) *site {
	t.Helper()
	simulated, err := imitator.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := simulated.Close(); err != nil {
			t.Log(err)
		}
	})
	s := &site{t: t, Site: simulated, launcher: launcher.New("../../bin", t.TempDir())}
	t.Cleanup(s.launcher.Close)
	t.Cleanup(s.keepLogs)
	s.Configure(imitator.Key, imitator.OtherKey)
	for i := range daemons {
		s.startRouter(t, i)
	}
	for _, r := range s.routers {
		s.waitReady(r)
	}
	s.waitFor("a chain over all layers", s.Covered)
	// A daemon receives the reports of the layers some time after the engines hold them.
	for i, r := range s.routers {
		s.waitFor("a stream through each daemon", func() bool {
			id := fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano())
			return request{router: r, id: id, method: "POST", path: imitator.ModelPath, key: imitator.Key, output: 2}.do().checkStream(id, 2) == nil
		})
	}
	return s
}

func (s *site) startRouter(t *testing.T, i int) {
	endpoint, err := s.OpenEndpoint("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.launcher.Router(launcher.RouterSpec{
		Host: unit.HostID(fmt.Sprintf("router-%d", i)), DataCentre: "x", Store: endpoint.Address, Settings: "[Log]\nLinesPerSecond = 1000\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	s.endpoints, s.routers = append(s.endpoints, endpoint), append(s.routers, r)
}

// keepLogs copies the logs of a failed test to the folder in the environment variable
// KEEP_LOGS, if it is set.
func (s *site) keepLogs() {
	dir := os.Getenv("KEEP_LOGS")
	if dir == "" || !s.t.Failed() {
		return
	}
	files, err := filepath.Glob(filepath.Join(s.launcher.Dir, "*.log"))
	if err != nil {
		s.t.Log(err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, strings.ReplaceAll(s.t.Name(), "/", "-")+"-"+filepath.Base(f)), data, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
}

func (s *site) waitReady(r *launcher.Router) {
	s.t.Helper()
	if err := r.WaitHTTP("http://"+r.ReadyAddress+"/readyz", waitLimit); err != nil {
		s.t.Fatal(err)
	}
}

// waitFor blocks until ok returns true. It fails the test after waitLimit.
func (s *site) waitFor(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("waited %s for %s", waitLimit, what)
		}
	}
}

// defaultTimeout is how long clients wait for a response.
const defaultTimeout = 9 * time.Second

// request describes a request of a client.
type request struct {
	router *launcher.Router
	id     string
	method string
	path   string
	key    string
	body   string
	// parts lists the parts of the prompt; empty for a request without them.
	parts  string
	output int
	// timeout is how long the client waits; 0 means defaultTimeout.
	timeout time.Duration
	// patience is the pause in the response after which the client disconnects; 0 means that
	// it never does.
	patience time.Duration
	client   *http.Client
}

// response is a response as a client received it.
type response struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
	// gap is the longest pause between two reads of the body.
	gap time.Duration
	// left is set if the client disconnected because of a pause.
	left bool
}

// checkStream returns an error unless the body has all events of a stream, each once.
func (a response) checkStream(id string, output int) error {
	if !imitator.IsCompleteStream(a.body, id, output) {
		return fmt.Errorf("stream of %d events has %d bytes: status %d, %v", output, len(a.body), a.status, a.err)
	}
	return nil
}

// waits returns how long the client waits for the response.
func (a request) waits() time.Duration { return cmp.Or(a.timeout, defaultTimeout) }

// stream returns the request as one for a stream through a daemon.
func (a request) stream(r *launcher.Router, id string) request {
	a.router, a.id, a.method, a.path, a.key = r, id, http.MethodPost, imitator.ModelPath, imitator.Key
	return a
}

func (a request) do() response {
	began := time.Now()
	call := imitator.Call{ID: a.id, Method: a.method, Path: a.path, Key: a.key, Body: a.body, Parts: a.parts, Tokens: a.output, Timeout: a.waits()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := call.Request(ctx, a.router.CallerAddress)
	if err != nil {
		return response{err: err}
	}
	c := a.client
	if c == nil {
		c = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	resp, err := c.Do(r)
	if err != nil {
		return response{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	out := response{status: resp.StatusCode, header: resp.Header}
	patience := cmp.Or(a.patience, time.Hour)
	leave := time.AfterFunc(patience, cancel)
	defer leave.Stop()
	out.read(resp.Body, func() { leave.Reset(patience) })
	out.left = ctx.Err() != nil
	out.took = time.Since(began)
	return out
}

// read reads the body to its end and measures the longest pause. It calls progress after each
// read that returned data.
func (a *response) read(r io.Reader, progress func()) {
	buf, last := make([]byte, 4096), time.Now()
	for {
		n, err := r.Read(buf)
		a.body += string(buf[:n])
		if n > 0 {
			progress()
		}
		a.gap = max(a.gap, time.Since(last))
		last = time.Now()
		if err == io.EOF {
			return
		}
		if err != nil {
			a.err = err
			return
		}
	}
}
