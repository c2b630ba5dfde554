package spreader

import (
	"context"
	"time"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/replicator"
)

const (
	// watchTimeout is how long the platform may hold a watch call open.
	watchTimeout = 10 * time.Second
	// retryDelay is the delay after a failed call to the platform.
	retryDelay = 500 * time.Millisecond
	// roleCheckInterval is the time between two checks of whether this daemon watches the
	// platform.
	roleCheckInterval = 200 * time.Millisecond
	// peerGrace is how long a daemon with peers but without a catalogue waits for its peers
	// before it reads the platform itself.
	peerGrace = 2 * time.Second
	// joinGrace is how long a starting daemon waits for its first peer.
	joinGrace = 700 * time.Millisecond
	// watchersPerDataCentre is the number of daemons of a data centre that watch the
	// platform.
	watchersPerDataCentre = 2
)

// WatchesPlatform reports whether a daemon is chosen to watch the platform.
func WatchesPlatform(self gossiper.Member, live []gossiper.Member) bool {
	return chooser.InTop("catalogue", self.Host, gossiper.Hosts(live, self.DataCentre), watchersPerDataCentre)
}

// Run replicates the catalogue with peers, and watches the platform while this daemon is
// chosen for it, until ctx is done.
func (s *Spreader) Run(ctx context.Context) {
	go s.table.Run(ctx)
	var after unit.Revision
	start := s.options.Timer.Now()
	for ctx.Err() == nil {
		if !s.shouldWatch(s.options.Timer.Now().Sub(start)) {
			_ = s.options.Timer.Sleep(ctx, roleCheckInterval)
			continue
		}
		l, err := s.fetch(ctx, after)
		if err != nil {
			s.options.Log.Warn("could not read the catalogue from the platform", "err", err)
			_ = s.options.Timer.Sleep(ctx, retryDelay)
			continue
		}
		if n := s.Merge(s.decodeEntries(l.Objects)); n > 0 {
			s.options.Log.Info("installed catalogue entries", "entries", n, "revision", l.Revision)
		}
		after = unit.LaterRevision(after, l.Revision)
	}
}

// shouldWatch reports whether this daemon reads the platform now; uptime is the time since
// its start. A starting daemon first waits for its peers, so that a fleet that starts at
// once does not read the whole catalogue once for each daemon.
func (s *Spreader) shouldWatch(uptime time.Duration) bool {
	self, live := s.options.Members.Self(), s.options.Members.Live()
	if s.options.Connector != nil && len(live) <= 1 && uptime < joinGrace {
		return false
	}
	return WatchesPlatform(self, live) || (!s.Ready() && uptime > peerGrace)
}

// fetch returns all entries if after is 0, else the changes after that revision; it blocks
// until the platform responds or ctx is done.
func (s *Spreader) fetch(ctx context.Context, after unit.Revision) (platform.List, error) {
	if after.IsUnknown() {
		return s.options.Platform.List(ctx, platform.KindEntry)
	}
	return s.options.Platform.Watch(ctx, platform.KindEntry, after, watchTimeout)
}

// decodeEntries returns the decoded entries and skips invalid objects.
func (s *Spreader) decodeEntries(objects []platform.Object) []*catalogue.Entry {
	var out []*catalogue.Entry
	for _, o := range objects {
		e, err := catalogue.DecodeStored(o.Value, o.Version)
		if err != nil {
			s.options.Log.Error("skipped an invalid catalogue object", "name", o.Name, "err", err)
			continue
		}
		out = append(out, e)
	}
	return out
}

// publish puts entries into the table that is replicated to peers.
func (s *Spreader) publish(entries []*catalogue.Entry) {
	items := make([]replicator.Item, 0, len(entries))
	for _, e := range entries {
		v, err := catalogue.Encode(e)
		if err != nil {
			s.options.Log.Error("could not encode a catalogue entry for peers", "entry", e.Key().ObjectName(), "err", err)
			continue
		}
		items = append(items, replicator.Item{Key: e.Key().ObjectName(), Version: uint64(e.Version), Value: v})
	}
	s.table.Set(items...)
}

// mergeItems installs entries received from a peer; the table has already forwarded them.
func (s *Spreader) mergeItems(from unit.HostID, items []replicator.Item) {
	var entries []*catalogue.Entry
	for _, i := range items {
		e, err := catalogue.DecodeStored(i.Value, unit.Version(i.Version))
		if err != nil {
			s.options.Log.Error("skipped an invalid catalogue entry received from a peer", "name", i.Key, "peer", from, "err", err)
			continue
		}
		entries = append(entries, e)
	}
	if n := s.merge(entries); n > 0 {
		s.options.Log.Info("installed catalogue entries", "entries", n, "peer", from)
	}
}
