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

// A withdrawal replaces its mark, in whatever order they arrive.
const (
	markVersion    = 1
	clearedVersion = 2
)

// ForgetInterval is the time between two calls of Forget.
const ForgetInterval = time.Minute

// Sharer sends marks to all daemons and takes over theirs.
type Sharer struct {
	table *replicator.Table
	log   *log.Logger
}

// NewSharer joins a Quarantiner to the peers.
func NewSharer(c connector.Connector, t timer.Service, l *log.Logger, q *Quarantiner) *Sharer {
	s := &Sharer{log: l}
	s.table = replicator.New(replicator.Options{
		Connector: c, Kind: peer.TypeMarks, Timer: t,
		Changed: func(_ unit.HostID, items []replicator.Item) { s.receive(q, items) },
	})
	q.options.Share = s.share
	return s
}

func (s *Sharer) share(m Mark) {
	v, err := proto.Marshal(&peer.Mark{
		Fingerprint: uint64(m.Fingerprint), Crash: string(m.Crash), Position: uint32(m.Position),
		Progressed: m.Progressed, Isolated: m.Isolated, At: m.At.UnixMilli(), Cleared: m.Cleared,
	})
	if err != nil {
		s.log.Error("could not encode a mark", "err", err)
		return
	}
	version := uint64(markVersion)
	if m.Cleared {
		version = clearedVersion
	}
	s.table.Set(replicator.Item{Key: fmt.Sprintf("%s/%s", m.Fingerprint, m.Crash), Version: version, Value: v})
}

func (s *Sharer) receive(q *Quarantiner, items []replicator.Item) {
	for _, i := range items {
		var m peer.Mark
		if err := proto.Unmarshal(i.Value, &m); err != nil {
			s.log.Warn("ignored a malformed mark of a peer", "err", err)
			continue
		}
		q.Merge(Mark{
			Fingerprint: Fingerprint(m.GetFingerprint()), Crash: CrashID(m.GetCrash()), Position: int(m.GetPosition()),
			Progressed: m.GetProgressed(), Isolated: m.GetIsolated(), At: time.UnixMilli(m.GetAt()), Cleared: m.GetCleared(),
		})
	}
}

// Forget drops the marks that are older than the memory of the quarantine. A
// peer that forgets later may send one again; the next call drops it.
func (s *Sharer) Forget(now time.Time) {
	for _, i := range s.table.Items() {
		var m peer.Mark
		if proto.Unmarshal(i.Value, &m) != nil || now.Sub(time.UnixMilli(m.GetAt())) >= memory {
			s.table.Forget(i.Key)
		}
	}
}

// Run exchanges digests with the peers until ctx is done.
func (s *Sharer) Run(ctx context.Context) { s.table.Run(ctx) }
