// Package directory holds what a daemon believes of the configuration and of
// the backend servers, with the age of that knowledge.
//
// A Directory never goes back to an older configuration, whatever a slow read
// or a peer returns. Its snapshots are immutable.
//
// Usage:
//
//	d := directory.New(log)
//	d.Install(o, sentAt)
//	if t := d.Table(); t != nil {
//		servers := d.Servers().Of("logbook")
//	}
package directory

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/backend"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/packer"
	"oleandercove.example/platform"
)

// Knowledge is a configuration with the point up to which it is known to be the
// newest one.
type Knowledge struct {
	Table    *routing.Table
	Revision unit.Revision
	// Confirmed is a time at which the store still held this revision.
	Confirmed time.Time
	packed    func() ([]byte, error)
}

// Packed returns the configuration as the store holds it, compressed for peers.
// It is compressed once, when the first peer asks.
func (k *Knowledge) Packed() ([]byte, error) { return k.packed() }

// Directory holds the newest configuration and the backend servers.
type Directory struct {
	log *log.Logger

	mu        sync.Mutex
	knowledge atomic.Pointer[Knowledge]
	servers   registry
	notices   notices
	renewed   func(backend.Server)
	snapshot  atomic.Pointer[Servers]
	history   history
	// serversAt is a time at which the registry was known to be the newest.
	serversAt time.Time
	// holdUntil is until when lapsed entries are held.
	holdUntil time.Time
}

// New returns an empty Directory.
func New(l *log.Logger) *Directory {
	d := &Directory{log: l, notices: notices{}}
	d.servers = registry{entries: map[unit.BackendID]*entry{}, tombstones: map[unit.BackendID]unit.Revision{}}
	d.history = newHistory()
	d.snapshot.Store(newServers(nil))
	return d
}

// Knowledge returns the configuration, or nil if none is known.
func (d *Directory) Knowledge() *Knowledge { return d.knowledge.Load() }

// Table returns the look-up tables of the configuration, or nil.
func (d *Directory) Table() *routing.Table {
	if k := d.knowledge.Load(); k != nil {
		return k.Table
	}
	return nil
}

// Servers returns the backend servers.
func (d *Directory) Servers() *Servers { return d.snapshot.Load() }

// maxConfiguration bounds a configuration that a peer sends, in bytes.
const maxConfiguration = 16 << 20

// InstallPacked takes over a configuration that a peer has sent.
func (d *Directory) InstallPacked(revision unit.Revision, packed []byte, at time.Time) error {
	raw, err := packer.Unpack(packed, maxConfiguration)
	if err != nil {
		d.log.Error("configuration of a peer can't be unpacked", "revision", revision, "err", err)
		return err
	}
	return d.Install(revision, raw, at)
}

// Install takes over a configuration that was read at a time, unless a newer one
// is known.
func (d *Directory) Install(revision unit.Revision, raw json.RawMessage, at time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.knowledge.Load()
	if old != nil && revision <= old.Revision {
		d.confirm(old, revision, at)
		return nil
	}
	c, err := platform.DecodeConfiguration(raw)
	if err != nil {
		d.log.Error("configuration can't be read", "revision", revision, "err", err)
		return err
	}
	if old != nil && c.Version < old.Table.Configuration.Version {
		d.log.Warn("older configuration ignored", "version", c.Version, "known", old.Table.Configuration.Version)
		return nil
	}
	packed := sync.OnceValues(func() ([]byte, error) { return packer.Pack(raw) })
	d.knowledge.Store(&Knowledge{Table: c.Table(), Revision: revision, Confirmed: at, packed: packed})
	d.history.notify()
	d.log.Info("configuration in force", "version", c.Version, "revision", revision, "routes", len(c.Routes))
	return nil
}

// Confirm notes that the store held the revision at a time.
func (d *Directory) Confirm(revision unit.Revision, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k := d.knowledge.Load(); k != nil {
		d.confirm(k, revision, at)
	}
}

func (d *Directory) confirm(k *Knowledge, revision unit.Revision, at time.Time) {
	if revision != k.Revision || !at.After(k.Confirmed) {
		return
	}
	n := *k
	n.Confirmed = at
	d.knowledge.Store(&n)
}

const (
	// outage is the age of knowledge from which entries may have lapsed because
	// the store was away; an entry lapses after three missed heartbeats.
	outage = 2 * time.Second
	// returnTime is how long entries that lapsed while the store was away may
	// take to come back after its return.
	returnTime = 2500 * time.Millisecond
)

// confirmServers notes that the registry was the newest one at a time, and how
// long lapsed entries are held after an outage.
func (d *Directory) confirmServers(at, now time.Time) {
	if !d.serversAt.IsZero() && at.Sub(d.serversAt) > outage {
		d.holdUntil = now.Add(returnTime)
	}
	if at.After(d.serversAt) {
		d.serversAt = at
	}
}

// Replace takes over a complete list of backend servers that held at a time.
// Servers that are missing from it are removed, or held for some time if the
// store was away.
func (d *Directory) Replace(list []objects.Object, at, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmServers(at, now)
	seen := make(map[unit.BackendID]bool, len(list))
	for _, o := range list {
		if d.put(o) {
			seen[unit.BackendID(o.Name)] = true
		}
	}
	for id := range d.servers.entries {
		if !seen[id] {
			d.servers.remove(id, now, d.holdUntil)
		}
	}
	d.publish(now)
	// A list may come from a peer that has not seen a server yet, so its removal
	// does not stop the server from coming back with the same revision.
	clear(d.servers.tombstones)
}

// Apply takes over changes of backend servers, after which the registry held at
// a time.
func (d *Directory) Apply(changes []objects.Object, at, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmServers(at, now)
	for _, o := range changes {
		if o.Deleted || !d.put(o) {
			d.servers.remove(unit.BackendID(o.Name), now, d.holdUntil)
		}
	}
	if len(changes) > 0 || d.servers.due(now) {
		d.publish(now)
	}
}

// ServersAge returns how long ago the registry was known to be the newest one.
func (d *Directory) ServersAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.serversAt)
}

// put takes over one entry and tells whether it names a server.
func (d *Directory) put(o objects.Object) bool {
	s, err := platform.DecodeServer(o)
	if err != nil {
		d.log.Warn("registry entry ignored", "id", o.Name, "err", err)
		return false
	}
	if d.servers.newer(o) {
		d.checkRenewed(s)
	}
	if d.servers.put(s, o) {
		d.history.add(o)
		d.log.Info("backend server changed", "id", s.ID, "service", s.Service, "address", s.Address,
			"draining", s.Draining, "layers", s.Layers, "revision", o.Revision)
	}
	return true
}

func (d *Directory) publish(now time.Time) {
	for _, id := range d.servers.expire(now) {
		d.history.add(objects.Object{Name: string(id), Deleted: true})
		d.log.Info("backend server gone", "id", id)
	}
	d.snapshot.Store(newServers(d.servers.current(d.notices)))
}
