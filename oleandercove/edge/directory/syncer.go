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
	// watchWait is how long a watch waits. A connection that has gone silent is
	// noticed after it, and removals of servers must be known within two seconds.
	watchWait = 600 * time.Millisecond
	// serversRest lets changes of servers gather. Each call to the store is paid,
	// and a repair of layers changes some dozen entries within a second. It is far
	// below the two seconds within which a leaving server must be known.
	serversRest = 100 * time.Millisecond
	// retryPause is the time before a failed call is repeated, with up to as
	// much again so that hosts don't call together. It doubles with each failure up
	// to longestPause, because calls that fail are paid too.
	retryPause   = 150 * time.Millisecond
	longestPause = 600 * time.Millisecond
)

// Syncer keeps a Directory up to date from the store.
type Syncer struct {
	store     objects.Client
	directory *Directory
	timer     timer.Service
	log       *log.Logger
}

// NewSyncer returns a Syncer.
func NewSyncer(store objects.Client, d *Directory, t timer.Service, l *log.Logger) *Syncer {
	return &Syncer{store: store, directory: d, timer: t, log: l}
}

// dependency notes when the store is lost and regained, for one kind of call.
type dependency struct {
	name string
	log  *log.Logger
	lost bool
	// pause is the time before the next call if the last one failed.
	pause time.Duration
}

func (p *dependency) failed(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if !p.lost {
		p.log.Warn("store lost", "call", p.name, "err", err)
	}
	p.lost = true
	p.pause = min(max(retryPause, 2*p.pause), longestPause)
}

func (p *dependency) answered() {
	if p.lost {
		p.log.Info("store regained", "call", p.name)
	}
	p.lost, p.pause = false, retryPause
}

func (s *Syncer) pause(ctx context.Context, p *dependency) {
	d := max(retryPause, p.pause)
	_ = s.timer.Sleep(ctx, d+rand.N(d))
}

// feed is one kind of objects that is followed.
type feed struct {
	kind objects.Kind
	dep  *dependency
	// whole takes over a list, changes what a watch returned.
	whole, changes func(l objects.List, sent, answered time.Time)
	// rest is the time between an answer with changes and the next watch, so that
	// changes that follow each other come in one answer.
	rest time.Duration
}

// Read reads the configuration and the registry once, each of them at most once. It is
// the quickest way to knowledge for a daemon that has just started.
func (s *Syncer) Read(ctx context.Context) {
	var wg conc.WaitGroup
	for _, f := range []feed{s.configuration(), s.servers()} {
		wg.Go(func() {
			if _, err := s.list(ctx, f); err != nil {
				f.dep.failed(err)
			}
		})
	}
	wg.Wait()
}

// RunConfiguration follows the configuration until ctx is done.
func (s *Syncer) RunConfiguration(ctx context.Context) { s.run(ctx, s.configuration()) }

// RunServers follows the registry until ctx is done.
func (s *Syncer) RunServers(ctx context.Context) { s.run(ctx, s.servers()) }

func (s *Syncer) configuration() feed {
	var current unit.Revision
	install := func(l objects.List, sent, _ time.Time) {
		for _, o := range l.Objects {
			if o.Name == platform.ConfigurationName && !o.Deleted && s.directory.Install(o.Revision, o.Value, sent) == nil {
				current = o.Revision
			}
		}
	}
	return feed{
		kind: platform.KindConfiguration, dep: &dependency{name: "configuration", log: s.log}, whole: install,
		changes: func(l objects.List, sent, answered time.Time) {
			install(l, sent, answered)
			if len(l.Objects) == 0 {
				s.directory.Confirm(current, confirmedAt(sent, answered))
			}
		},
	}
}

func (s *Syncer) servers() feed {
	return feed{
		kind: platform.KindServers, dep: &dependency{name: "servers", log: s.log},
		whole: func(l objects.List, sent, answered time.Time) { s.directory.Replace(l.Objects, sent, answered) },
		changes: func(l objects.List, sent, answered time.Time) {
			s.directory.Apply(l.Objects, confirmedAt(sent, answered), answered)
		},
		rest: serversRest,
	}
}

// run lists the objects and watches from the revision of the list, and lists them
// again once the history of the watch is gone. The revision of an object itself
// may be older than the history.
func (s *Syncer) run(ctx context.Context, f feed) {
	for ctx.Err() == nil {
		from, err := s.list(ctx, f)
		if err != nil {
			f.dep.failed(err)
			s.pause(ctx, f.dep)
			continue
		}
		f.dep.answered()
		s.watch(ctx, from, f)
	}
}

// list takes over all objects and returns the revision to watch from.
func (s *Syncer) list(ctx context.Context, f feed) (unit.Revision, error) {
	sent := s.timer.Now()
	l, err := s.store.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	f.whole(l, sent, s.timer.Now())
	return l.Revision, nil
}

func (s *Syncer) watch(ctx context.Context, from unit.Revision, f feed) {
	heard := false
	for ctx.Err() == nil {
		sent := s.timer.Now()
		l, err := s.store.Watch(ctx, f.kind, from, watchWait)
		if errors.Is(err, objects.ErrHistoryGone) {
			if !heard {
				// The list lags behind the history that is gone.
				s.pause(ctx, f.dep)
			}
			return
		}
		if err != nil {
			f.dep.failed(err)
			s.pause(ctx, f.dep)
			continue
		}
		f.dep.answered()
		from, heard = max(from, l.Revision), true
		f.changes(l, sent, s.timer.Now())
		if f.rest > 0 && len(l.Objects) > 0 {
			_ = s.timer.Sleep(ctx, f.rest)
		}
	}
}

// confirmedAt returns the time up to which a watch without changes confirms what
// it was started with. The store answers after the wait, not before.
func confirmedAt(sent, answered time.Time) time.Time {
	if end := sent.Add(watchWait); !answered.Before(end) {
		return end
	}
	return sent
}
