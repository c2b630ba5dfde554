package cluster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/storer"
)

// maxLoad is the exclusive bound of the random load figures of a backend server.
const maxLoad = 1000

// Addresses are the addresses of the fakes of a cluster.
type Addresses struct {
	// Platform serves the object API; Backends answers for all backend servers.
	Platform, Backends string
}

// Usage is the processor time and the traffic of the fakes so far.
type Usage struct {
	// CPU is the processor time of the process that runs the fakes.
	CPU time.Duration
	// PolledBytes is the number of bytes of status calls in both directions.
	PolledBytes uint64
	// PolledCalls is the number of status calls, PolledConnections the number of
	// connections that they used.
	PolledCalls, PolledConnections uint64
}

// Fakes are the fake platform and the server that answers for all backend servers.
type Fakes struct {
	Addresses
	// VaryLoad makes each status call report another random load.
	VaryLoad atomic.Bool

	bytes, calls, connections atomic.Uint64
	draining                  sync.Map
}

// StartFakes serves the fakes on loopback addresses until ctx is done.
func StartFakes(ctx context.Context) (*Fakes, error) {
	f := &Fakes{}
	var err error
	if f.Platform, err = f.serve(ctx, storer.New(storer.Options{}).Handler(), false); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.usage()) })
	mux.HandleFunc("/", f.status)
	f.Backends, err = f.serve(ctx, mux, true)
	return f, err
}

func (f *Fakes) usage() Usage {
	return Usage{
		CPU: CPUTime(), PolledBytes: f.bytes.Load(), PolledCalls: f.calls.Load(), PolledConnections: f.connections.Load(),
	}
}

// CPUTime returns the user and system time of this process so far.
func CPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (f *Fakes) status(w http.ResponseWriter, r *http.Request) {
	f.calls.Add(1)
	id := "engine-" + strings.Split(r.URL.Path, "/")[1]
	_, draining := f.draining.Load(id)
	var load engine.Load
	if f.VaryLoad.Load() {
		load = engine.Load{Running: rand.IntN(maxLoad), Queued: rand.IntN(maxLoad), Rate: unit.TokensPerSecond(rand.IntN(maxLoad))}
	}
	_ = json.NewEncoder(w).Encode(&engine.Status{
		Load: load, Backend: unit.BackendID(id), Kind: "a", Model: "report", To: 8, Layers: 24, Start: "run-1",
		MaxStreams: 64, MaxBatch: 32, TokenTimeMicros: 4000, Draining: draining,
	})
}

// serve starts an HTTP server that runs until ctx is done and returns its loopback address.
// If count is true, the bytes and the connections are counted.
func (f *Fakes) serve(ctx context.Context, h http.Handler, count bool) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := ln.Addr().String()
	if count {
		ln = &countingListener{ln, f}
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
	context.AfterFunc(ctx, func() { srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return address, nil
}

type countingListener struct {
	net.Listener
	fakes *Fakes
}

// Accept returns a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return conn, err
	}
	l.fakes.connections.Add(1)
	return &countingConn{conn, &l.fakes.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read counts the bytes that it reads.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write counts the bytes that it writes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}
