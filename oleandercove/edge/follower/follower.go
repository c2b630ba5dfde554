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
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/fetcher"
	"oleandercove.example/oleandercove/edge/measurer"
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
	// maxTransferTime bounds the time for a whole answer: other peers may send faster.
	maxTransferTime = 4 * time.Second
	// decisionInterval is the time between two checks of which source to use.
	decisionInterval = 100 * time.Millisecond
	// maxReply bounds the answer of a peer, in bytes.
	maxReply = 32 << 20
)

// Options configures a Follower.
type Options struct {
	Host       unit.HostID
	DataCentre unit.DataCentre
	Capacity   Capacity
	// Seed is set for a daemon whose address all others have from their start.
	Seed bool
	// Settled reports whether the daemon has run long enough to have discovered its peers.
	Settled   func() bool
	Directory *directory.Directory
	Syncer    *directory.Syncer
	// Peers returns the live peers.
	Peers func() []Peer
	// Crossings counts the bytes of answers from other data centres; nil counts none.
	Crossings *measurer.Measurer
	Timer     timer.Service
	Log       *log.Logger
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
		Self: f.Host, Capacity: f.Capacity, Seed: f.Seed, Settled: f.Settled(),
		Peers: withoutEarlierBuilds(f.Peers(), f.Directory.ServersRevision().Era),
		Age:   min(now.Sub(f.started), f.Directory.Views(now).Age()),
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
	c := directory.Cursor{Incarnation: number("incarnation"), Position: number("position"), Configuration: directory.ConfigurationVersion{
		Number: routing.Version(number("version")), Revision: unit.Revision{Era: unit.Era(number("era")), Number: number("revision")},
	}}
	if !q.Has("era") {
		// An earlier build compares numbers alone.
		c.Configuration.Revision.Era = f.Directory.Revision().Era
	}
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
