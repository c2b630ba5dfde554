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
	// Fakes are fakes in another process; empty starts them in this one.
	Fakes Addresses
}

// Cluster is a set of daemons in this process.
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
	// Backend servers come last: each wave of daemons moves the selection of
	// their watchers, which would measure the start again.
	for i := range c.options.Backends {
		registrar.Register(ctx, c.addresses.Platform, platform.Host{
			ID: fmt.Sprintf("engine-%d", i), Role: platform.RoleEngine, Address: c.addresses.Backends + "/" + strconv.Itoa(i),
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
			Platform:    platform.NewClient(platform.Options{Address: c.addresses.Platform}),
			Timer:       timer.NewReal(), Log: logger.Discard(),
		})
		if err != nil {
			return err
		}
		registrar.Register(ctx, c.addresses.Platform, platform.Host{
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
	return calls, c.get(c.addresses.Platform+"/calls", &calls)
}

// Drain makes a backend server report that it drains, unless the fakes run in
// another process.
func (c *Cluster) Drain(id string) {
	if c.fakes != nil {
		c.fakes.draining.Store(id, true)
	}
}

// Usage returns what the fakes cost and carried so far.
func (c *Cluster) Usage() (u Usage, err error) { return u, c.get(c.addresses.Backends+"/usage", &u) }

func (c *Cluster) get(address string, out any) error {
	res, err := http.Get("http://" + address)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(out)
}
