// Command standin plays the cases of the review that are scripts: it starts the daemons of the
// project as separate processes, and stands in for the platform's store, the workers and the
// clients.
//
// Usage:
//
//	standin CASE ROOT FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// Without a disruption (TROUBLE=0 in the environment) the rule must hold.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// limit is the longest time that a case may take.
const limit = 118 * time.Second

var cases = map[string]func(*stage) (broken bool, err error){
	"drain":  drainCase,
	"poison": poisonCase,
	"dark":   darkCase,
	"upload": uploadCase,
	"files":  filesCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) int {
	st, err := newStage(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer st.close()
	time.AfterFunc(limit, func() {
		st.note("cannot run: the time is up")
		st.close()
		os.Exit(2)
	})
	broken, err := cases[name](st)
	switch {
	case err != nil:
		st.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	case broken:
		st.note("the rule was broken")
		return 1
	}
	st.note("the rule held")
	return 0
}

// stage is a small deployment on loopback addresses.
type stage struct {
	root, dir string
	trouble   bool
	began     time.Time
	store     *store
	ports     ports

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	version int64
	closed  bool
}

func newStage(root, folder string) (*stage, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	st := &stage{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: newStore(), record: f}
	if st.ports, err = freePorts(); err != nil {
		return nil, err
	}
	st.note("trouble: %v", st.trouble)
	return st, nil
}

// freePorts returns ports that are free on the loopback addresses now.
func freePorts() (ports, error) {
	var p [4]int
	for i := range p {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = l.Close() }()
		p[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{callers: p[0], ready: p[1], control: p[2], peers: p[3]}, nil
}

// note writes a line to the record.
func (st *stage) note(format string, args ...any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, _ = fmt.Fprintf(st.record, "%8.3f  %s\n", time.Since(st.began).Seconds(), fmt.Sprintf(format, args...))
}

func (st *stage) close() {
	st.mu.Lock()
	if st.closed {
		st.mu.Unlock()
		return
	}
	st.closed = true
	st.mu.Unlock()
	for _, d := range st.daemons {
		d.end()
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(st.dir))
	}
	_ = os.RemoveAll(st.dir)
}

// startDaemons starts n daemons in three zones and waits until each is ready.
func (st *stage) startDaemons(n, files int) error {
	zones := []string{"z-a", "z-b", "z-c"}
	var seeds []string
	ip := func(i int) string { return fmt.Sprintf("127.3.%d.%d", i%3+1, i/3+10) }
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), st.ports.control))
	}
	for i := range n {
		name := fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1)
		endpoint, err := st.store.endpoint(name)
		if err != nil {
			return err
		}
		d, err := startDaemon(st.root, st.dir, daemonSpec{
			name: name, zone: zones[i%3], ip: ip(i), ports: st.ports, seeds: seeds, store: endpoint, files: files,
		})
		if err != nil {
			return err
		}
		st.daemons = append(st.daemons, d)
	}
	c := &http.Client{Timeout: time.Second}
	for _, d := range st.daemons {
		for end := time.Now().Add(10 * time.Second); !d.ready(c); time.Sleep(50 * time.Millisecond) {
			if d.exited() || time.Now().After(end) {
				return errors.New(d.name + " does not get ready")
			}
		}
	}
	st.note("%d daemons are ready", n)
	return nil
}

// service is one entry of the configuration, with a route of its own.
type service struct {
	name, prefix, kind string
	timeout, aim       time.Duration
	maxConnections     int
	// engine is set if the workers run a model.
	engine map[string]any
}

const key = "n2ctnfzs989anu6wsjnb"

// configure writes a version of the configuration.
func (st *stage) configure(list ...service) {
	st.version += 7
	var routes, services []map[string]any
	named := map[string]bool{}
	for i, s := range list {
		route := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": host, "path_prefix": s.prefix, "route_type": s.kind, "timeout_ms": s.timeout.Milliseconds(),
			"target_latency_ms": s.aim.Milliseconds(), "priority": 1, "service": s.name, "max_attempts": 2, "anonymous": false,
		}
		entry := map[string]any{"name": s.name, "health_path": "/healthz", "max_connections": s.maxConnections, "protocol": "h1", "tls": false}
		if s.engine != nil {
			entry["engine"] = s.engine
			route["session_affinity"], route["stream_resume"], route["gap_aim_ms"] = true, true, 200
		}
		routes = append(routes, route)
		if !named[s.name] {
			services = append(services, entry)
		}
		named[s.name] = true
	}
	st.store.put("config", "main", map[string]any{
		"version": st.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
}
