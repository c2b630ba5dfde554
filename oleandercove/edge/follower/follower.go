// Package follower decides whether a daemon follows the store directly or through
// peers, and keeps its Directory up to date from that source.
//
// Load pattern: each call to the store is paid, and each change of a server is sent to
// each daemon that watches the store. The rule is therefore:
//   - A few daemons, those with the most capacity and among equals by rendezvous hashing,
//     watch the store. The others query one of them and wait for its answer.
//   - While the configuration or the server list is old on all daemons, and some seconds
//     longer, a few more daemons call the store. The others query one of these.
//   - A daemon calls the store itself if no peer answers, and queries its peers if the
//     store rejects it.
//
// Usage:
//
//	f := follower.New(follower.Options{Host: "entry-1", Directory: d, Syncer: s, Peers: peers, ...})
//	go f.Run(ctx)
//	mux.Handler("GET", follower.Path, f)
package follower

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/fetcher"
	"oleandercove.example/wire/peer"
)

const (
	// Path is the path at which daemons answer followers.
	Path = "/changes"
	// maxHold bounds how long a peer holds a query while it has no changes to send.
	maxHold = 400 * time.Millisecond
	// answerValidity is how long after an answer of any peer the peers count as
	// reachable.
	answerValidity = time.Second
	// answerSlack is how long the first byte of an answer may take beyond maxHold.
	answerSlack = 200 * time.Millisecond
	// dialTimeout bounds the time to connect to a peer, stallTimeout the time without any
	// byte of an answer.
	dialTimeout  = 300 * time.Millisecond
	stallTimeout = 300 * time.Millisecond
	// maxTransferTime bounds the time for a whole answer. A configuration that takes longer
	// is not in force in time.
	maxTransferTime = 4 * time.Second
	// decisionInterval is the time between two checks of which source to use.
	decisionInterval = 100 * time.Millisecond
	// retryDelay is the time before the next query after a failed one. It doubles from the
	// failure quickRetries on, up to maxRetryDelay: while the store is away no peer has
	// anything, and the few that are queried have little processor time.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	quickRetries  = 4
	// maxReply bounds the answer of a peer, in bytes.
	maxReply = 32 << 20
)

// Options configures a Follower.
type Options struct {
	Host     unit.HostID
	Capacity Capacity
	// Seed is set for a daemon whose address all others have from their start.
	Seed bool
	// Settled reports whether the daemon has run long enough to have discovered its peers.
	Settled   func() bool
	Directory *directory.Directory
	Syncer    *directory.Syncer
	// Peers returns the live peers.
	Peers func() []Peer
	Timer timer.Service
	Log   *log.Logger
}

// Follower keeps a Directory up to date, and answers the followers among its peers.
type Follower struct {
	Options
	fetcher *fetcher.Fetcher
	started time.Time
	// lastAnswer is when a peer last answered, and lastQuery when one last queried this
	// daemon, in nanoseconds of the timer's clock.
	lastAnswer, lastQuery atomic.Int64
	// watching is set while this daemon calls the store.
	watching atomic.Bool

	answers answerCounts
	packed  packedServers

	mu        sync.Mutex
	staleness staleness
}

// New returns a Follower.
func New(o Options) *Follower {
	return &Follower{Options: o, started: o.Timer.Now(), fetcher: fetcher.New(fetcher.Options{
		Dial: dialTimeout, FirstByte: maxHold + answerSlack, Stall: stallTimeout, Total: maxTransferTime, MaxBytes: maxReply,
	})}
}

// currentSource returns the source to use now.
func (f *Follower) currentSource() Source {
	now := f.Timer.Now()
	v := View{
		Self: f.Host, Capacity: f.Capacity, Peers: f.Peers(), Seed: f.Seed, Settled: f.Settled(),
		Age: min(now.Sub(f.started), f.Directory.Views(now).Age()),
	}
	v.PeerAnswered = now.Sub(time.Unix(0, f.lastAnswer.Load())) < answerValidity
	v.Demanded = f.watching.Load() && now.Sub(time.Unix(0, f.lastQuery.Load())) < demandTime
	f.mu.Lock()
	v.Recovering = f.staleness.isRecovering(v.Age, now)
	f.mu.Unlock()
	return ChooseSource(v)
}

// Run keeps the Directory up to date. It blocks until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	stop := f.Timer.Subscribe(answersLogInterval, func(time.Time) { f.answers.log(f.Log) })
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { f.followStore(ctx) })
	wg.Go(func() { f.followPeers(ctx) })
	wg.Wait()
}

// followStore reads the store once, and watches it while the source is the store, until
// ctx is done.
func (f *Follower) followStore(ctx context.Context) {
	f.Syncer.ReadOnce(ctx)
	for ctx.Err() == nil {
		if !f.currentSource().Store {
			f.awaitDecision(ctx)
			continue
		}
		f.Log.Info("following the store", "peers", len(f.Peers()))
		f.watchStore(ctx)
	}
}

// watchStore watches the store until the source changes or ctx is done.
func (f *Follower) watchStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.watching.Store(true)
	defer f.watching.Store(false)
	var wg conc.WaitGroup
	wg.Go(func() { f.Syncer.RunConfiguration(ctx) })
	wg.Go(func() { f.Syncer.RunServers(ctx) })
	for ctx.Err() == nil && f.currentSource().Store {
		f.awaitDecision(ctx)
	}
	cancel()
	wg.Wait()
}

// awaitDecision blocks until the next check of which source to use, or until ctx is done.
func (f *Follower) awaitDecision(ctx context.Context) {
	_ = f.Timer.Sleep(ctx, decisionInterval)
	f.Directory.ExpireServers(f.Timer.Now())
}

// followPeers queries peers while the source includes any, until ctx is done.
func (f *Follower) followPeers(ctx context.Context) {
	var current, logged unit.HostID
	var cursor directory.Cursor
	silent := silentPeers{}
	failures := 0
	for ctx.Err() == nil {
		candidates := f.currentSource().Peers
		if len(candidates) == 0 {
			_ = f.Timer.Sleep(ctx, decisionInterval)
			continue
		}
		p := pickPeer(silent.exclude(candidates, f.Timer.Now()), current, rand.IntN)
		if p.Host != current {
			current, cursor = p.Host, directory.Cursor{}
		}
		asked := f.Timer.Now()
		next, err := f.queryPeer(ctx, p, cursor)
		if err != nil {
			f.logFailure(p, err, asked)
			current, logged = "", ""
			if !errors.Is(err, errStale) {
				silent[p.Host] = f.Timer.Now()
			}
			failures++
			_ = f.Timer.Sleep(ctx, retryPause(failures))
			continue
		}
		cursor, failures = next, 0
		if logged != p.Host {
			logged = p.Host
			f.Log.Info("following a peer", "peer", p.Host)
		}
	}
}

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
	url := fmt.Sprintf("http://%s%s?incarnation=%d&position=%d&revision=%d", p.Address, Path, cursor.Incarnation, cursor.Position, f.Directory.Revision())
	reply, err := f.fetchChanges(ctx, url)
	if err != nil {
		return cursor, err
	}
	answered := f.Timer.Now()
	f.lastAnswer.Store(answered.UnixNano())
	u := decode(reply)
	u.Waited = min(u.Waited, answered.Sub(sent))
	view := directory.View{Revision: u.ServersRevision, At: sent.Add(u.Waited - u.ServersAge), Since: answered.Add(-u.CoveredFor), Peer: p.Host}
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

// fetchChanges requests the changes at a URL and decodes the answer.
func (f *Follower) fetchChanges(ctx context.Context, url string) (*peer.ChangesReply, error) {
	a, err := f.fetcher.Get(ctx, url)
	if err != nil {
		return nil, err
	}
	var reply peer.ChangesReply
	return &reply, proto.Unmarshal(a.Body, &reply)
}

// ServeHTTP answers the query of a follower. It blocks until there are changes, for
// maxHold at most, or until the request ends.
func (f *Follower) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.lastQuery.Store(f.Timer.Now().UnixNano())
	q := r.URL.Query()
	number := func(name string) uint64 {
		// An invalid number counts as 0, which stands for a follower without any state.
		n, err := strconv.ParseUint(q.Get(name), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	c := directory.Cursor{Incarnation: number("incarnation"), Position: number("position"), Revision: unit.Revision(number("revision"))}
	u := f.Directory.WaitForUpdate(r.Context(), c, maxHold, staleAge, f.Timer.Now)
	data, err := f.encodeAnswer(c, u)
	if err != nil {
		f.Log.Error("encoding changes for a follower failed", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if isPacked(u) {
		// The HTTP client of the follower decompresses it.
		w.Header().Set("Content-Encoding", "gzip")
	}
	f.answers.add(u, len(data))
	if _, err := w.Write(data); err != nil {
		f.Log.Debug("sending changes to a follower failed", "err", err)
	}
}
