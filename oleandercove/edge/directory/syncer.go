package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/platform"
)

const (
	// watchWait is how long the store holds a watch without changes. A silent
	// connection is detected after this time, and removals of servers must be known
	// within two seconds.
	watchWait = 600 * time.Millisecond
	// serversBatchDelay is the pause after changes of servers, so that the next watch
	// returns several changes. Each call to the store is paid, and a repair of layers
	// changes some dozen entries within a second. The pause is far below the two seconds
	// within which a leaving server must be known.
	serversBatchDelay = 100 * time.Millisecond
	// minRetryPause is the pause before a failed call is retried, plus a random jitter
	// of up to as much again so that hosts don't call together. It doubles with each
	// failure up to maxRetryPause, because failed calls are paid too.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
)

// Syncer keeps a Directory up to date from the store.
type Syncer struct {
	store     objects.Client
	directory *Directory
	timer     timer.Service
	log       *log.Logger
}

// NewSyncer returns a Syncer that reads from store into d.
func NewSyncer(store objects.Client, d *Directory, t timer.Service, l *log.Logger) *Syncer {
	return &Syncer{store: store, directory: d, timer: t, log: l}
}

// storeState tracks whether the store answers one kind of call and logs changes.
type storeState struct {
	name string
	log  *log.Logger
	lost bool
	// pause is the backoff before the next call if the last one failed.
	pause time.Duration
}

func (s *storeState) recordFailure(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if !s.lost {
		s.log.Warn("store lost", "call", s.name, "err", err)
	}
	s.lost = true
	s.pause = min(max(minRetryPause, 2*s.pause), maxRetryPause)
}

func (s *storeState) recordAnswer() {
	if s.lost {
		s.log.Info("store regained", "call", s.name)
	}
	s.lost, s.pause = false, minRetryPause
}

func (s *Syncer) waitToRetry(ctx context.Context, state *storeState) {
	d := max(minRetryPause, state.pause)
	_ = s.timer.Sleep(ctx, d+rand.N(d))
}

// feed is a kind of objects that a Syncer watches.
type feed struct {
	kind  objects.Kind
	state *storeState
	// applyList applies a list, applyChanges the changes that a watch returned.
	applyList, applyChanges func(l objects.List, sent, answered time.Time) error
	// batchDelay is the pause between an answer with changes and the next watch, so
	// that successive changes arrive in one answer.
	batchDelay time.Duration
}

// ReadOnce reads the configuration and the registry with one call each, without retries,
// and blocks until both calls return. It is the fastest source of state for a daemon
// that has just started.
func (s *Syncer) ReadOnce(ctx context.Context) {
	var wg conc.WaitGroup
	for _, f := range []feed{s.configurationFeed(), s.serversFeed()} {
		wg.Go(func() {
			if _, err := s.list(ctx, f); err != nil {
				f.state.recordFailure(err)
			}
		})
	}
	wg.Wait()
}

// RunConfiguration keeps the configuration up to date. It blocks until ctx is done.
func (s *Syncer) RunConfiguration(ctx context.Context) { s.run(ctx, s.configurationFeed()) }

// RunServers keeps the backend servers up to date. It blocks until ctx is done.
func (s *Syncer) RunServers(ctx context.Context) { s.run(ctx, s.serversFeed()) }

func (s *Syncer) configurationFeed() feed {
	var current unit.Revision
	install := func(l objects.List, sent, answered time.Time) error {
		r := Receipt{At: sent, Requested: sent, Received: answered}
		for _, o := range l.Objects {
			if o.Name == platform.ConfigurationName && !o.Deleted && s.directory.Install(o.Revision, o.Value, r) == nil {
				current = o.Revision
			}
		}
		return nil
	}
	return feed{
		kind: platform.KindConfiguration, state: &storeState{name: "configuration", log: s.log}, applyList: install,
		applyChanges: func(l objects.List, sent, answered time.Time) error {
			if len(l.Objects) == 0 {
				s.directory.Confirm(current, confirmedAt(sent, answered))
			}
			return install(l, sent, answered)
		},
	}
}

func (s *Syncer) serversFeed() feed {
	return feed{
		kind: platform.KindServers, state: &storeState{name: "servers", log: s.log},
		applyList: func(l objects.List, sent, answered time.Time) error {
			return s.directory.Replace(l.Objects, View{Revision: l.Revision, At: sent}, answered)
		},
		applyChanges: func(l objects.List, sent, answered time.Time) error {
			return s.directory.Apply(l.Objects, View{Revision: l.Revision, At: confirmedAt(sent, answered)}, answered)
		},
		batchDelay: serversBatchDelay,
	}
}

// run lists the objects, watches from the revision of the list, and lists them again
// once the store no longer has the history to watch from, or has come back from a copy. It doesn't
// watch from the revision of an object, because that may be older than the history.
func (s *Syncer) run(ctx context.Context, f feed) {
	for ctx.Err() == nil {
		from, err := s.list(ctx, f)
		if err != nil {
			f.state.recordFailure(err)
			s.waitToRetry(ctx, f.state)
			continue
		}
		f.state.recordAnswer()
		s.watch(ctx, from, f)
	}
}

// list applies all objects and returns the revision to watch from.
func (s *Syncer) list(ctx context.Context, f feed) (unit.Revision, error) {
	sent := s.timer.Now()
	l, err := s.store.List(ctx, f.kind)
	if err != nil {
		return unit.Revision{}, err
	}
	return l.Revision, f.applyList(l, sent, s.timer.Now())
}

func (s *Syncer) watch(ctx context.Context, from unit.Revision, f feed) {
	received := false
	for ctx.Err() == nil {
		sent := s.timer.Now()
		l, err := s.store.Watch(ctx, f.kind, from, watchWait)
		if errors.Is(err, objects.ErrHistoryExpired) {
			if !received {
				// The list lags behind the start of the history.
				s.waitToRetry(ctx, f.state)
			}
			return
		}
		if err != nil {
			f.state.recordFailure(err)
			s.waitToRetry(ctx, f.state)
			continue
		}
		f.state.recordAnswer()
		if l.Revision.Era != from.Era {
			s.log.Warn("watch answered in another era of the store", "kind", f.kind, "from", from, "revision", l.Revision)
			if !received {
				s.waitToRetry(ctx, f.state)
			}
			return
		}
		from, received = unit.LaterRevision(from, l.Revision), true
		if err := f.applyChanges(l, sent, s.timer.Now()); err != nil {
			s.log.Info("watch ended", "kind", f.kind, "revision", l.Revision, "err", err)
			return
		}
		if f.batchDelay > 0 && len(l.Objects) > 0 {
			_ = s.timer.Sleep(ctx, f.batchDelay)
		}
	}
}

// confirmedAt returns the time up to which a watch without changes confirms the state
// from which it started. The store answers such a watch after the wait, not before.
func confirmedAt(sent, answered time.Time) time.Time {
	if end := sent.Add(watchWait); !answered.Before(end) {
		return end
	}
	return sent
}
