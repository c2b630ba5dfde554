package quarantiner

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/replicator"
	"oleandercove.example/wire/peer"
)

// A withdrawal has the higher version, so that it replaces its crash record in whatever
// order they arrive.
const (
	recordVersion     = 1
	withdrawalVersion = 2
)

// ForgetInterval is the time between two calls of Forget.
const ForgetInterval = time.Minute

// Sharer sends crash records to all peers and merges those received from them.
type Sharer struct {
	table *replicator.Table
	log   *log.Logger
}

// NewSharer connects a Quarantiner to the peers.
func NewSharer(c connector.Connector, t timer.Service, l *log.Logger, q *Quarantiner) *Sharer {
	s := &Sharer{log: l}
	s.table = replicator.New(replicator.Options{
		Connector: c, Kind: peer.TypeMarks, Timer: t,
		OnChanged: func(_ unit.HostID, items []replicator.Item) { s.receive(q, items) },
	})
	q.options.Share = s.share
	return s
}

func (s *Sharer) share(rec CrashRecord) {
	v, err := proto.Marshal(&peer.Mark{
		Fingerprint: uint64(rec.Fingerprint), Crash: string(rec.Crash), Position: uint32(rec.Position),
		Progressed: rec.Progressed, Isolated: rec.Isolated, At: rec.At.UnixMilli(), Cleared: rec.Cleared,
	})
	if err != nil {
		s.log.Error("could not encode a crash record", "err", err)
		return
	}
	version := uint64(recordVersion)
	if rec.Cleared {
		version = withdrawalVersion
	}
	s.table.Set(replicator.Item{Key: fmt.Sprintf("%s/%s", rec.Fingerprint, rec.Crash), Version: version, Value: v})
}

func (s *Sharer) receive(q *Quarantiner, items []replicator.Item) {
	for _, i := range items {
		var m peer.Mark
		if err := proto.Unmarshal(i.Value, &m); err != nil {
			s.log.Warn("ignored a malformed crash record from a peer", "err", err)
			continue
		}
		q.Merge(CrashRecord{
			Fingerprint: Fingerprint(m.GetFingerprint()), Crash: CrashID(m.GetCrash()), Position: int(m.GetPosition()),
			Progressed: m.GetProgressed(), Isolated: m.GetIsolated(), At: time.UnixMilli(m.GetAt()), Cleared: m.GetCleared(),
		})
	}
}

// Forget removes the records that are older than recordTTL. A peer that removes a record
// later may send it again; the next call removes it.
func (s *Sharer) Forget(now time.Time) {
	for _, i := range s.table.Items() {
		var m peer.Mark
		if proto.Unmarshal(i.Value, &m) != nil || now.Sub(time.UnixMilli(m.GetAt())) >= recordTTL {
			s.table.Forget(i.Key)
		}
	}
}

// Run exchanges digests with the peers until ctx is done.
func (s *Sharer) Run(ctx context.Context) { s.table.Run(ctx) }
