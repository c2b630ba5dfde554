// Package cluster runs the control parts of many daemons in one process, over
// loopback links, with a fake platform and one server that answers for all
// backend servers.
//
// Usage:
//
//	c, err := cluster.Start(ctx, cluster.Options{Daemons: 30, Centres: 3, Regions: 1})
//	defer c.Close()
//	err = c.Settle(time.Minute)
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/linker"
	"oleandercove.example/oleandercove/settings"
	"oleandercove.example/oleanderfake/registrar"
	"oleandercove.example/oleanderfake/storer"
	"oleandercove.example/prover/launcher"
)

const (
	// wave is the number of daemons that start together. Hundreds of daemons
	// that start at once in one process exceed its limit of open files.
	wave = 30
	// waveLimit bounds the start of one wave.
	waveLimit = time.Minute
)

// Options configures a Cluster.
type Options struct {
	Daemons, Centres, Regions int
	// Backends is the number of backend servers.
	Backends int
	// Entries is the number of catalogue entries at the start.
	Entries int
}

// Cluster is a set of daemons in this process.
type Cluster struct {
	Daemons []*linker.Parts
	// Platform is the client of the fake platform.
	Platform platform.Client
	// PolledBytes counts what the server of all backend servers carried.
	PolledBytes atomic.Uint64

	options  Options
	address  string
	backends string
	draining sync.Map
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Start runs the platform, the backend servers and the daemons.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{options: o, cancel: cancel}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) (err error) {
	if c.address, err = c.serve(ctx, storer.New(storer.Options{}).Handler(), nil); err != nil {
		return err
	}
	if c.backends, err = c.serve(ctx, http.HandlerFunc(c.status), &c.PolledBytes); err != nil {
		return err
	}
	c.Platform = platform.NewClient(platform.Options{Address: c.address})
	for i := range c.options.Entries {
		if err := c.Edit(ctx, fmt.Sprintf("account-%d", i), 0); err != nil {
			return err
		}
	}
	if err := c.startDaemons(ctx); err != nil {
		return err
	}
	// Backend servers come last: each wave of daemons moves the selection of
	// their watchers, which would measure the start again.
	for i := range c.options.Backends {
		registrar.Register(ctx, c.address, platform.Host{
			ID: fmt.Sprintf("engine-%d", i), Role: platform.RoleEngine, Address: c.backends + "/" + strconv.Itoa(i),
			DataCentre: c.centre(i), State: platform.HostLive, Serves: "report",
		})
	}
	return nil
}

func (c *Cluster) centre(i int) unit.DataCentre {
	return unit.DataCentre(fmt.Sprintf("dc-%d", i%c.options.Centres))
}

func (c *Cluster) startDaemons(ctx context.Context) error {
	a, err := launcher.NewAuthority()
	if err != nil {
		return err
	}
	for i := range c.options.Daemons {
		id := fmt.Sprintf("entry-%d", i)
		pair, pool, err := a.Pair(id)
		if err != nil {
			return err
		}
		p, err := linker.New(linker.Options{
			Settings: &settings.Settings{
				Host: unit.HostID(id), DataCentre: c.centre(i),
				Region: unit.Region(fmt.Sprintf("r-%d", i%c.options.Centres%c.options.Regions)),
				Peers:  settings.Peers{Listen: "127.0.0.1:0"},
			},
			Credentials: connector.NewCredentials(pair, pool),
			Platform:    platform.NewClient(platform.Options{Address: c.address}),
			Timer:       timer.NewReal(), Log: logger.Discard(),
		})
		if err != nil {
			return err
		}
		registrar.Register(ctx, c.address, platform.Host{
			ID: id, Role: platform.RoleEntry, Address: p.Gossiper.Self().Address, DataCentre: c.centre(i), State: platform.HostLive,
		})
		c.Daemons = append(c.Daemons, p)
		c.wg.Go(func() { p.Run(ctx) })
		if len(c.Daemons)%wave == 0 {
			if err := c.joined(); err != nil {
				return err
			}
		}
	}
	return nil
}

// joined waits until all daemons that were started know each other.
func (c *Cluster) joined() error {
	return launcher.WaitEvery(100*time.Millisecond, waveLimit, "full membership", func() bool {
		for _, d := range c.Daemons {
			if len(d.Members.Live()) != len(c.Daemons) {
				return false
			}
		}
		return true
	})
}

// Close stops everything.
func (c *Cluster) Close() {
	c.cancel()
	c.wg.Wait()
}

// Settle waits until all daemons know each other, the catalogue and the
// backend servers.
func (c *Cluster) Settle(limit time.Duration) error {
	return launcher.WaitEvery(100*time.Millisecond, limit, "settled cluster", func() bool {
		for _, d := range c.Daemons {
			if len(d.Members.Live()) != len(c.Daemons) || len(d.Watcher.Backends()) != c.options.Backends ||
				len(d.Spreader.List(catalogue.KindAccount)) != c.options.Entries {
				return false
			}
			for _, b := range d.Watcher.Backends() {
				if !b.Healthy {
					return false
				}
			}
		}
		return true
	})
}

// Edit writes an account entry over the given version.
func (c *Cluster) Edit(ctx context.Context, name string, version unit.Version) error {
	e := &catalogue.Entry{
		Kind: catalogue.KindAccount, Name: unit.EntryName(name), Owner: "operator", Class: catalogue.ClassStandard,
		Account: &catalogue.Account{TokenHash: launcher.TokenHash(fmt.Sprint(name, version))},
	}
	v, err := catalogue.Encode(e)
	if err != nil {
		return err
	}
	_, err = c.Platform.Put(ctx, platform.KindEntry, e.Key().ObjectName(), version, v)
	return err
}

// InForce waits until all daemons have a version of an account entry.
func (c *Cluster) InForce(name string, version unit.Version, limit time.Duration) error {
	return launcher.WaitEvery(time.Millisecond, limit, "change in force", func() bool {
		for _, d := range c.Daemons {
			if e, ok := d.Spreader.Get(catalogue.KindAccount, unit.EntryName(name)); !ok || e.Version < version {
				return false
			}
		}
		return true
	})
}

// Calls returns what the platform was asked so far.
func (c *Cluster) Calls() (calls storer.Calls, err error) {
	res, err := http.Get("http://" + c.address + "/calls")
	if err != nil {
		return calls, err
	}
	defer res.Body.Close()
	return calls, json.NewDecoder(res.Body).Decode(&calls)
}

// Drain makes a backend server report that it drains.
func (c *Cluster) Drain(id string) { c.draining.Store(id, true) }

func (c *Cluster) status(w http.ResponseWriter, r *http.Request) {
	id := "engine-" + strings.Split(r.URL.Path, "/")[1]
	_, draining := c.draining.Load(id)
	_ = json.NewEncoder(w).Encode(&engine.Status{
		Backend: unit.BackendID(id), Kind: "a", Model: "report", To: 8, Layers: 24, Start: "run-1",
		MaxStreams: 64, MaxBatch: 32, TokenTimeMicros: 4000, Draining: draining,
	})
}

// serve runs an HTTP server on a loopback address until ctx is done.
func (c *Cluster) serve(ctx context.Context, h http.Handler, bytes *atomic.Uint64) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { srv.Close() })
	go func() { _ = srv.Serve(&countingListener{ln, bytes}) }()
	return ln.Addr().String(), nil
}

type countingListener struct {
	net.Listener
	bytes *atomic.Uint64
}

// Accept returns a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.bytes == nil {
		return conn, err
	}
	return &countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read counts what it read.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write counts what it wrote.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}
