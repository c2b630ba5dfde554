// Package cluster runs the control planes of many daemons in one process, over
// loopback links, with a fake platform and one server that answers for all
// backend servers.
//
// Usage:
//
//	c, err := cluster.Start(ctx, cluster.Options{Daemons: 30, DataCentres: 3, Regions: 1})
//	defer c.Close()
//	err = c.WaitSettled(time.Minute)
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oleandercove.example/core/catalogue"
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
	// startBatch is the number of daemons that are started together. Hundreds of daemons
	// that start at once in one process exceed its limit of open files.
	startBatch = 30
	// startBatchLimit is how long a batch may take until all daemons have full membership.
	startBatchLimit = time.Minute
)

// Options configures a Cluster.
type Options struct {
	Daemons, DataCentres, Regions int
	// Backends is the number of backend servers.
	Backends int
	// Entries is the number of catalogue entries at the start.
	Entries int
	// Fakes are the addresses of fakes in another process; empty starts fakes in this one.
	Fakes Addresses
}

// Cluster is a set of control planes of daemons in this process.
type Cluster struct {
	Daemons []*linker.ControlPlane
	// Platform is the client of the fake platform.
	Platform platform.Client

	options   Options
	addresses Addresses
	fakes     *Fakes
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// Start starts the fakes, the daemons in batches, and the registration of the backend
// servers. The daemons run until ctx is done or Close is called.
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
	if c.addresses = c.options.Fakes; c.addresses.Platform == "" {
		if c.fakes, err = StartFakes(ctx); err != nil {
			return err
		}
		c.addresses = c.fakes.Addresses
	}
	c.Platform = platform.NewClient(platform.Options{Address: c.addresses.Platform})
	for i := range c.options.Entries {
		if err := c.Edit(ctx, fmt.Sprintf("account-%d", i), 0); err != nil {
			return err
		}
	}
	if err := c.startDaemons(ctx); err != nil {
		return err
	}
	// The backend servers are registered after all daemons, because each batch of daemons
	// changes which daemons watch which servers. This keeps such changes out of the start
	// of a measurement.
	for i := range c.options.Backends {
		registrar.Register(ctx, c.addresses.Platform, platform.Host{
			ID: fmt.Sprintf("engine-%d", i), Role: platform.RoleEngine, Address: c.addresses.Backends + "/" + strconv.Itoa(i),
			DataCentre: c.dataCentre(i), State: platform.HostLive, Serves: "report",
		})
	}
	return nil
}

func (c *Cluster) dataCentre(i int) unit.DataCentre {
	return unit.DataCentre(fmt.Sprintf("dc-%d", i%c.options.DataCentres))
}

func (c *Cluster) startDaemons(ctx context.Context) error {
	a, err := launcher.NewAuthority()
	if err != nil {
		return err
	}
	for i := range c.options.Daemons {
		id := fmt.Sprintf("entry-%d", i)
		pair, pool, err := a.IssuePair(id)
		if err != nil {
			return err
		}
		p, err := linker.New(linker.Options{
			Settings: &settings.Settings{
				Host: unit.HostID(id), DataCentre: c.dataCentre(i),
				Region: unit.Region(fmt.Sprintf("r-%d", i%c.options.DataCentres%c.options.Regions)),
				Peers:  settings.Peers{Listen: "127.0.0.1:0"},
			},
			Credentials: connector.NewCredentials(pair, pool),
			Platform:    platform.NewClient(platform.Options{Address: c.addresses.Platform}),
			Timer:       timer.NewReal(), Log: logger.Discard(),
		})
		if err != nil {
			return err
		}
		registrar.Register(ctx, c.addresses.Platform, platform.Host{
			ID: id, Role: platform.RoleEntry, Address: p.Gossiper.Self().Address, DataCentre: c.dataCentre(i), State: platform.HostLive,
		})
		c.Daemons = append(c.Daemons, p)
		c.wg.Go(func() { p.Run(ctx) })
		if len(c.Daemons)%startBatch == 0 {
			if err := c.waitJoined(); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitJoined blocks until each started daemon has all of them as live members. It returns
// an error after startBatchLimit.
func (c *Cluster) waitJoined() error {
	return launcher.WaitEvery(100*time.Millisecond, startBatchLimit, "full membership", func() bool {
		for _, d := range c.Daemons {
			if len(d.Members.Live()) != len(c.Daemons) {
				return false
			}
		}
		return true
	})
}

// Close stops the daemons and the fakes of this process and waits for the daemons.
func (c *Cluster) Close() {
	c.cancel()
	c.wg.Wait()
}

// WaitSettled blocks until each daemon has all of them as live members, all account entries,
// and all backend servers as healthy. It returns an error after limit.
func (c *Cluster) WaitSettled(limit time.Duration) error {
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

// Edit writes an account entry that replaces the given version; 0 creates the entry.
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

// WaitForVersion blocks until all daemons have at least the given version of an account
// entry. It returns an error after limit.
func (c *Cluster) WaitForVersion(name string, version unit.Version, limit time.Duration) error {
	return launcher.WaitEvery(time.Millisecond, limit, "change in force", func() bool {
		for _, d := range c.Daemons {
			if e, ok := d.Spreader.Get(catalogue.KindAccount, unit.EntryName(name)); !ok || e.Version < version {
				return false
			}
		}
		return true
	})
}

// PlatformCalls returns the number of calls to the platform so far, by kind.
func (c *Cluster) PlatformCalls() (calls storer.Calls, err error) {
	return calls, c.get(c.addresses.Platform+"/calls", &calls)
}

// Drain makes a backend server report that it drains. It has no effect if the fakes run in
// another process.
func (c *Cluster) Drain(id string) {
	if c.fakes != nil {
		c.fakes.draining.Store(id, true)
	}
}

// Usage returns the processor time and the traffic of the fakes so far.
func (c *Cluster) Usage() (u Usage, err error) { return u, c.get(c.addresses.Backends+"/usage", &u) }

func (c *Cluster) get(address string, out any) error {
	res, err := http.Get("http://" + address)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(out)
}
