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
	// watchWait is how long a watch waits on the platform.
	watchWait = 10 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 500 * time.Millisecond
	// roleInterval is the time between two checks whether to watch.
	roleInterval = 200 * time.Millisecond
	// peerGrace is how long a daemon with peers but without a catalogue waits
	// for them before it reads the platform itself.
	peerGrace = 2 * time.Second
	// joinGrace is how long a starting daemon waits for its first peer.
	joinGrace = 700 * time.Millisecond
	// observers is the number of daemons of a data centre that watch.
	observers = 2
)

// Observes tells whether a daemon watches the platform.
func Observes(self gossiper.Member, live []gossiper.Member) bool {
	return chooser.Chosen("catalogue", self.Host, gossiper.Hosts(live, self.DataCentre), observers)
}

// Run watches the platform while it is this daemon's turn, until ctx is done.
func (s *Spreader) Run(ctx context.Context) {
	go s.table.Run(ctx)
	var after unit.Revision
	start := s.options.Timer.Now()
	for ctx.Err() == nil {
		if !s.turn(s.options.Timer.Now().Sub(start)) {
			_ = s.options.Timer.Sleep(ctx, roleInterval)
			continue
		}
		l, err := s.read(ctx, after)
		if err != nil {
			s.options.Log.Warn("platform did not answer", "err", err)
			_ = s.options.Timer.Sleep(ctx, retryDelay)
			continue
		}
		if n := s.Merge(s.decode(l.Objects)); n > 0 {
			s.options.Log.Info("installed catalogue entries", "entries", n, "revision", l.Revision)
		}
		after = max(after, l.Revision)
	}
}

// turn tells whether this daemon reads the platform now. A starting daemon with
// peers first gives them a moment, so that a fleet that starts at once does
// not read the whole catalogue once for each daemon.
func (s *Spreader) turn(age time.Duration) bool {
	self, live := s.options.Members.Self(), s.options.Members.Live()
	if s.options.Connector != nil && len(live) <= 1 && age < joinGrace {
		return false
	}
	return Observes(self, live) || (!s.Ready() && age > peerGrace)
}

func (s *Spreader) read(ctx context.Context, after unit.Revision) (platform.List, error) {
	if after == 0 {
		return s.options.Platform.List(ctx, platform.KindEntry)
	}
	return s.options.Platform.Watch(ctx, platform.KindEntry, after, watchWait)
}

func (s *Spreader) decode(objects []platform.Object) []*catalogue.Entry {
	var out []*catalogue.Entry
	for _, o := range objects {
		e, err := catalogue.Decode(o.Value, o.Version)
		if err != nil {
			s.options.Log.Error("skipped a broken catalogue object", "name", o.Name, "err", err)
			continue
		}
		out = append(out, e)
	}
	return out
}

// push puts entries into the replicated table.
func (s *Spreader) push(entries []*catalogue.Entry) {
	items := make([]replicator.Item, 0, len(entries))
	for _, e := range entries {
		v, err := catalogue.Encode(e)
		if err != nil {
			s.options.Log.Error("could not encode an entry for peers", "entry", e.Key().ObjectName(), "err", err)
			continue
		}
		items = append(items, replicator.Item{Key: e.Key().ObjectName(), Version: uint64(e.Version), Value: v})
	}
	s.table.Set(items...)
}

// received installs entries that a peer sent; the table has forwarded them.
func (s *Spreader) received(from unit.HostID, items []replicator.Item) {
	var entries []*catalogue.Entry
	for _, i := range items {
		e, err := catalogue.Decode(i.Value, unit.Version(i.Version))
		if err != nil {
			s.options.Log.Error("skipped a broken entry of a peer", "name", i.Key, "peer", from, "err", err)
			continue
		}
		entries = append(entries, e)
	}
	if n := s.merge(entries); n > 0 {
		s.options.Log.Info("installed catalogue entries", "entries", n, "peer", from)
	}
}
