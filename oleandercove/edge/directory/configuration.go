package directory

import (
	"encoding/json"
	"sync"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/packer"
	"oleandercove.example/platform"
)

// ConfigurationVersion identifies a version of the configuration and orders it among others.
type ConfigurationVersion struct {
	// Number is that of the operators, who only raise it. 0 means that it is unknown, because a
	// daemon of an earlier build doesn't state it.
	Number routing.Version
	// Revision is that at which the store holds the version.
	Revision unit.Revision
}

// IsNewer reports whether v replaces o. A store that has come back from a copy may hold an earlier
// version until the operators have written theirs again, so a higher number replaces a later
// revision. Versions whose numbers are equal or unknown are ordered by revision.
func (v ConfigurationVersion) IsNewer(o ConfigurationVersion) bool {
	if v.Number != o.Number && v.Number != 0 && o.Number != 0 {
		return v.Number > o.Number
	}
	return v.Revision.After(o.Revision)
}

// Configuration is a version of the configuration, with the time at which it was last
// known to be the newest one.
type Configuration struct {
	Table    *routing.Table
	Revision unit.Revision
	// ConfirmedAt is the latest time at which the store is known to have held this
	// revision.
	ConfirmedAt time.Time
	// ComparedFrom is the time from which peers that know a later version have stated it. Until then
	// the store's answer doesn't prove that a key is valid. Zero if no comparison is needed.
	ComparedFrom time.Time
	packed       func() ([]byte, error)
}

// comparisonTime is how long a daemon waits for the versions of its peers: three beacons of each,
// of which one may be lost and one answers the daemon's own first one.
const comparisonTime = 750 * time.Millisecond

// comparedFrom returns ComparedFrom of a configuration that replaces another one.
//
// Load pattern: the store comes back from a copy that lacks the version by which a key was taken
// away. A daemon that starts, or that was frozen or cut off when that version was written, reads the
// one of the copy and takes it for the newest.
func comparedFrom(old, next *Configuration, r Receipt) time.Time {
	switch {
	case next.Revision.Era == 0:
		return time.Time{}
	case old == nil, next.Revision.Era > old.Revision.Era && r.At.Sub(old.ConfirmedAt) > outageAge:
		return r.Received.Add(comparisonTime)
	default:
		return old.ComparedFrom
	}
}

// IsCompared reports whether peers that know a later version would have stated it.
func (c *Configuration) IsCompared(now time.Time) bool { return !now.Before(c.ComparedFrom) }

// RecordCompared records that the configuration was compared with that of a daemon in touch.
func (d *Directory) RecordCompared() {
	d.mu.Lock()
	defer d.mu.Unlock()
	conf := d.configuration.Load()
	if conf == nil || conf.ComparedFrom.IsZero() {
		return
	}
	n := *conf
	n.ComparedFrom = time.Time{}
	d.configuration.Store(&n)
}

// Packed returns the configuration as the store holds it, compressed for peers. The
// first call compresses it, later calls return the same result.
func (c *Configuration) Packed() ([]byte, error) { return c.packed() }

// Version returns the version of the configuration, or the zero value for nil.
func (c *Configuration) Version() ConfigurationVersion {
	if c == nil {
		return ConfigurationVersion{}
	}
	return ConfigurationVersion{Number: c.Table.Configuration.Version, Revision: c.Revision}
}

// Configuration returns the configuration, or nil if none is known.
func (d *Directory) Configuration() *Configuration { return d.configuration.Load() }

// Revision returns the revision of the configuration, or an unknown one if none is known.
func (d *Directory) Revision() unit.Revision {
	if conf := d.configuration.Load(); conf != nil {
		return conf.Revision
	}
	return unit.Revision{}
}

// Configured returns a channel that is closed once a configuration is known.
func (d *Directory) Configured() <-chan struct{} { return d.configured }

// Table returns the look-up tables of the configuration, or nil if none is known.
func (d *Directory) Table() *routing.Table {
	if conf := d.configuration.Load(); conf != nil {
		return conf.Table
	}
	return nil
}

// maxConfiguration is the largest decompressed configuration from a peer, in bytes.
const maxConfiguration = 16 << 20

// InstallPacked decompresses a configuration that a peer has sent and installs it.
func (d *Directory) InstallPacked(revision unit.Revision, packed []byte, r Receipt) error {
	raw, err := packer.Unpack(packed, maxConfiguration)
	if err != nil {
		d.log.Error("configuration from a peer can't be decompressed", "revision", revision, "err", err)
		return err
	}
	return d.Install(revision, raw, r)
}

// Install puts a configuration in force unless a newer one is known. It returns an error if
// raw can't be decoded.
func (d *Directory) Install(revision unit.Revision, raw json.RawMessage, r Receipt) error {
	if d.Revision() == revision {
		d.Confirm(revision, r.At)
		return nil
	}
	// Decoding a long configuration takes a while, in which requests must go on.
	c, err := platform.DecodeConfiguration(raw)
	if err != nil {
		d.log.Error("configuration can't be decoded", "revision", revision, "err", err)
		return err
	}
	packed := sync.OnceValues(func() ([]byte, error) { return packer.Pack(raw) })
	d.replaceConfiguration(&Configuration{Table: c.Table(), Revision: revision, ConfirmedAt: r.At, packed: packed}, r)
	return nil
}

// replaceConfiguration puts a configuration in force unless a newer one is known.
func (d *Directory) replaceConfiguration(next *Configuration, r Receipt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, c := d.configuration.Load(), next.Table.Configuration
	switch {
	case old == nil:
		defer close(d.configured)
	case next.Revision == old.Revision:
		d.confirm(old, next.Revision, r.At)
		return
	case !next.Version().IsNewer(old.Version()):
		d.log.Warn("older configuration ignored", "version", c.Version, "revision", next.Revision,
			"known", old.Table.Configuration.Version, "known_revision", old.Revision, "source", r.source())
		return
	}
	next.ComparedFrom = comparedFrom(old, next, r)
	d.configuration.Store(next)
	d.times.setConfiguration(next.Version())
	d.history.notify()
	d.log.Info("configuration in force", "version", c.Version, "revision", next.Revision, "routes", len(c.Routes),
		"source", r.source(), "age", r.age(), "took", r.transferTime())
}

// Confirm records that the store held the revision at a time.
func (d *Directory) Confirm(revision unit.Revision, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conf := d.configuration.Load(); conf != nil {
		d.confirm(conf, revision, at)
	}
}

func (d *Directory) confirm(conf *Configuration, revision unit.Revision, at time.Time) {
	if revision != conf.Revision || !at.After(conf.ConfirmedAt) {
		return
	}
	n := *conf
	n.ConfirmedAt = at
	d.configuration.Store(&n)
}
