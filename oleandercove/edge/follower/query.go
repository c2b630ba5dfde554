package follower

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/wire/peer"
)

const (
	// retryDelay is the time before the next query after a failed one. It doubles from the
	// failure quickRetries on, up to maxRetryDelay: while the store is away no peer has
	// anything, and the few that are queried have little processor time.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	quickRetries  = 4
)

// retryPause returns the time before the next query after a number of failed ones.
func retryPause(failures int) time.Duration {
	d := retryDelay
	for n := quickRetries; n < failures && d < maxRetryDelay; n++ {
		d *= 2
	}
	return min(d, maxRetryDelay)
}

// logFailure logs a failed query with its cause and the ages of the views that it leaves.
func (f *Follower) logFailure(p Peer, err error, asked time.Time) {
	now := f.Timer.Now()
	v := f.Directory.Views(now)
	f.Log.Warn("peer lost", "peer", p.Host, "err", err, "took", now.Sub(asked), "configuration_age", v.Configuration.Age, "servers_age", v.Servers.Age)
}

// silentTime is how long a peer that did not answer is queried only if no other is left. A
// daemon that has ended no longer counts as live after that time.
const silentTime = 3 * time.Second

// silentPeers holds when peers last failed to answer.
//
// Load pattern: one of the daemons that watch the store freezes. Each query of it takes a third
// of the time within which removals of servers must be known.
type silentPeers map[unit.HostID]time.Time

// exclude returns the candidates that have not failed to answer within silentTime, or all of
// them if there are none.
func (s silentPeers) exclude(candidates []Peer, now time.Time) []Peer {
	maps.DeleteFunc(s, func(_ unit.HostID, at time.Time) bool { return now.Sub(at) >= silentTime })
	out := slices.DeleteFunc(slices.Clone(candidates), func(p Peer) bool { return s.has(p.Host) })
	if len(out) == 0 {
		return candidates
	}
	return out
}

func (s silentPeers) has(host unit.HostID) bool {
	_, ok := s[host]
	return ok
}

// pickPeer returns the peer that was queried last if it is still a candidate, or else a
// random candidate. The function random returns a number below its argument.
func pickPeer(candidates []Peer, last unit.HostID, random func(int) int) Peer {
	for _, p := range candidates {
		if p.Host == last {
			return p
		}
	}
	return candidates[random(len(candidates))]
}

// errStale is returned for an answer of a peer whose own views are older than staleAge. What is
// newer in it has been applied.
var errStale = errors.New("views of the peer are too old")

// queryPeer queries one peer for changes after the cursor and applies its answer. It
// blocks until the answer, as long as bytes arrive and at most for maxTransferTime, and returns
// the cursor for the next query.
//
// Load pattern: the store is slow or serves one kind of call only. A peer then has one new view
// and an old one, because the two are read by separate calls.
func (f *Follower) queryPeer(ctx context.Context, p Peer, cursor directory.Cursor) (directory.Cursor, error) {
	sent := f.Timer.Now()
	known := f.Directory.Configuration().Version()
	url := fmt.Sprintf("http://%s%s?incarnation=%d&position=%d&revision=%d&era=%d&version=%d", p.Address, Path, cursor.Incarnation, cursor.Position,
		known.Revision.Number, known.Revision.Era, known.Number)
	reply, err := f.fetchChanges(ctx, p, url)
	if err != nil {
		return cursor, err
	}
	answered := f.Timer.Now()
	u := decode(reply)
	if u.ServersRevision.Era >= f.Directory.ServersRevision().Era {
		// A peer that is behind by an era is no source.
		f.lastAnswer.Store(answered.UnixNano())
	}
	u.Waited = min(u.Waited, answered.Sub(sent))
	view := directory.View{Revision: u.ServersRevision, At: sent.Add(u.Waited - u.ServersAge), Since: answered.Add(-u.CoveredFor), EraSince: answered.Add(-u.EraFor), Peer: p.Host}
	receipt := directory.Receipt{Peer: p.Host, At: sent.Add(u.Waited - u.ConfirmedAge), Requested: sent, Received: answered}
	if u.ServersAge > staleAge {
		return cursor, errors.Join(errStale, f.Directory.ApplyConfiguration(u, receipt))
	}
	err = f.Directory.ApplyUpdate(u, view, receipt)
	if u.ConfirmedAge > staleAge {
		return cursor, errors.Join(errStale, err)
	}
	return u.Cursor, err
}

// fetchChanges requests the changes at a URL of a peer and decodes the answer.
func (f *Follower) fetchChanges(ctx context.Context, p Peer, url string) (*peer.ChangesReply, error) {
	a, err := f.fetcher.Get(ctx, url)
	if err != nil {
		return nil, err
	}
	if p.DataCentre != f.DataCentre {
		f.Crossings.Add(measurer.Views, len(a.Body))
	}
	var reply peer.ChangesReply
	return &reply, proto.Unmarshal(a.Body, &reply)
}
