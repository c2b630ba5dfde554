package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	hostName   = "ficu95.example"
	streamPath = "/lohu930/"
	unsafePath = "/puxa403/"
	safePath   = "/cufi504/"
	tenant     = "hule930"
	key        = "n2ctnfzs989anu6wsjnb"
)

// site is a small deployment: the store, the workers of two services and some daemons.
type site struct {
	root    string
	dir     string
	network network
	store   *store
	record  *record
	daemons []*daemon
	servers []*server
	// onRun is called when a worker begins to run a request; it reports whether the worker crashed
	// at once.
	onRun func(s *server, x arrival) bool
}

// arrival is a request that reached a worker and wasn't rejected.
type arrival struct {
	at      time.Time
	server  string
	attempt string
	path    string
	body    string
	last    string
}

// record collects what is seen and writes it to record.txt.
type record struct {
	began time.Time
	mu    sync.Mutex
	out   *os.File
	// arrivals are the runs in order of time.
	arrivals []arrival
	problems []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), out: f}, err
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print(format, args...)
}

func (r *record) print(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.out, line)
}

// fail records why the case could not run as meant.
func (r *record) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
	r.print("PROBLEM "+format, args...)
}

func (r *record) arrived(id string, q *http.Request, body string) arrival {
	x := arrival{at: time.Now(), server: id, attempt: q.Header.Get(headerAttempt), path: q.RequestURI, body: body, last: q.Header.Get(headerLast)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, x)
	r.print("run      %s at %s: %s %s after event %q", x.attempt, id, q.Method, x.path, x.last)
	return x
}

// options are the size of a site.
type options struct {
	daemons, workers int
	zones            []string
	// engines is the number of model workers in each zone.
	engines int
}

// startSite starts everything and blocks until each daemon serves a stream.
func startSite(root, dir string, r *record, o options) (*site, error) {
	t := &site{root: root, dir: dir, network: newNetwork(), record: r}
	var err error
	if t.store, err = startStore(); err != nil {
		return t, err
	}
	t.store.put("config", "main", configuration(7, plainTimeout))
	for _, zone := range o.zones {
		for i := range o.engines {
			t.servers = append(t.servers, &server{site: t, name: fmt.Sprintf("i-%s%d", zone, i), service: modelService, zone: zone})
		}
	}
	for i := range o.workers {
		t.servers = append(t.servers, &server{site: t, name: fmt.Sprintf("i-p%d", i), service: plainService, zone: o.zones[i%len(o.zones)]})
	}
	for _, s := range t.servers {
		if err := s.start(); err != nil {
			return t, err
		}
	}
	for i := range o.daemons {
		d, err := newDaemon(root, dir, t.network, i, o.daemons, o.zones[i%len(o.zones)], t.store.address)
		if err != nil {
			return t, err
		}
		t.daemons = append(t.daemons, d)
		if err := d.start(); err != nil {
			return t, err
		}
	}
	return t, t.waitServing(30 * time.Second)
}

// waitServing blocks until each daemon is ready and has served a stream and a plain request.
func (t *site) waitServing(limit time.Duration) error {
	for i, d := range t.daemons {
		if err := d.waitReady(limit); err != nil {
			return err
		}
		served := false
		for end, n := time.Now().Add(limit), 0; !served && time.Now().Before(end); n++ {
			a := call{daemon: d, id: fmt.Sprintf("warm-%d-%d", i, n), path: streamPath + "2f", tokens: 2, wait: 5 * time.Second}.do()
			b := call{daemon: d, id: fmt.Sprintf("warmp-%d-%d", i, n), path: safePath + "2f", wait: time.Second}.do()
			served = a.complete(2) && b.status == http.StatusOK
			time.Sleep(100 * time.Millisecond)
		}
		if !served {
			return fmt.Errorf("%s doesn't serve", d.name)
		}
	}
	return nil
}

// stop ends all processes that were started.
func (t *site) stop() {
	for _, d := range t.daemons {
		d.kill()
	}
}

func (t *site) serverAt(address string) *server {
	for _, s := range t.servers {
		if s.address == address {
			return s
		}
	}
	return nil
}

// plainTimeout is the time limit of the routes to the plain service, in milliseconds.
const plainTimeout = 1500

// configuration returns a version of the configuration, shaped like that of the small site, with the
// time limit of the route for safe requests.
func configuration(version, safeTimeout int) map[string]any {
	route := func(name, prefix, kind, service string, attempts, timeout int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "path_prefix": prefix, "route_type": kind, "service": service, "timeout_ms": timeout,
			"target_latency_ms": 500, "priority": 1, "max_attempts": attempts, "anonymous": false, "session_affinity": kind == "streaming",
			"stream_resume": kind == "streaming", "gap_aim_ms": 200,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-stream", streamPath, "streaming", modelService, 2, 20000),
			route("r-unsafe", unsafePath, "unsafe", plainService, 1, plainTimeout),
			route("r-safe", safePath, "safe", plainService, 2, safeTimeout),
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health_path": "/healthz", "max_connections": 978, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_capacity": 100000, "kv_token_bytes": 8000, "link_mbps": 400000.0, "stride": 3,
					"models":  []any{map[string]any{"name": modelName, "pace": 1.0, "load_s": 0.4, "warm_s": 0.1}},
					"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309,
					"chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 5, "delays": []any{}, "usual": map[string]any{"prompt": 774, "answer": 200},
					"layers": layerCount, "layer_mb": 100.0, "activation_bytes": 4590, "pipe_mbps": 26000.0,
					"kinds": []any{map[string]any{"name": cardName, "mb": 700.0, "pace": 1.0, "read_factor": 1.0}},
				},
			},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
}

// call is one attempt of a client, on a connection of its own.
type call struct {
	daemon *daemon
	id     string
	method string
	path   string
	body   string
	parts  string
	last   int
	// tokens is the number of events of a stream; 0 stands for a plain request.
	tokens int
	wait   time.Duration
}

// reply is what the client got.
type reply struct {
	status int
	header http.Header
	body   string
	// events is the number of the last event, 0 for none.
	events int
	err    error
}

// complete reports whether a stream has all its events, each once and in order.
func (a reply) complete(tokens int) bool {
	return a.err == nil && a.status == http.StatusOK && a.events == tokens
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func (c call) do() reply {
	method := c.method
	if method == "" {
		method = http.MethodGet
		if c.tokens > 0 {
			method = http.MethodPost
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.daemon.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = hostName
	r.Header.Set(headerAttempt, c.id)
	r.Header.Set(headerDeadline, fmt.Sprint(c.wait.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	if c.tokens > 0 {
		r.Header.Set(headerModel, modelName)
		r.Header.Set(headerTokens, fmt.Sprintf("800,%d", c.tokens))
		r.Header.Set(headerParts, c.parts)
	}
	if c.last > 0 {
		r.Header.Set(headerLast, fmt.Sprint(c.last))
	}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	a := reply{status: resp.StatusCode, header: resp.Header, events: c.last}
	if c.tokens == 0 || resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		a.body, a.err = string(data), err
		return a
	}
	a.readEvents(resp.Body)
	return a
}

// readEvents reads a stream and checks that each event is the next one.
func (a *reply) readEvents(body io.Reader) {
	in := bufio.NewScanner(body)
	for in.Scan() {
		if text, ok := strings.CutPrefix(in.Text(), "id: "); ok {
			if number(text) != a.events+1 {
				a.err = fmt.Errorf("event %s after event %d", text, a.events)
				return
			}
			a.events++
		}
	}
	a.err = in.Err()
}

// get returns the status of a GET request.
func get(url string) (int, error) {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: client.Transport}
	resp, err := c.Get(url)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// background sends harmless streams and plain requests through all daemons until stop is closed.
func (t *site) background(stop <-chan struct{}, pause time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		d := t.daemons[n%len(t.daemons)]
		go func() {
			c := call{daemon: d, id: fmt.Sprintf("calm-%d", n), path: safePath + "2f", wait: 600 * time.Millisecond}
			if n%2 == 0 {
				c = call{daemon: d, id: fmt.Sprintf("calm-%d", n), path: streamPath + "2f", body: fmt.Sprint("prompt ", n), parts: fmt.Sprintf("5c1e07a2:40,%08x:760", 0x91000000+n), tokens: 20, wait: 20 * time.Second}
			}
			a := c.do()
			t.record.printf("answer   %s: %d, %d events, %v", c.id, a.status, a.events, a.err)
		}()
	}
}

// tempDir returns a folder for settings and logs: KEEP_LOGS if it is set, or a temporary one.
func tempDir() (string, func(), error) {
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		return filepath.Clean(dir), func() {}, os.MkdirAll(dir, 0o700)
	}
	dir, err := os.MkdirTemp("", "review-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
