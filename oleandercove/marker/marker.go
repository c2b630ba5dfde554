// Package marker reads, writes and applies the operators' drain marks.
//
// A mark is a platform object, so that every daemon applies it, whatever the
// catalogue contains:
//
//   - A marked backend server gets no new work.
//   - A daemon whose host is marked while it runs starts its graceful shutdown.
//   - Marks on a host from before its daemon's start are ignored, so that a
//     restarted daemon stays up.
//
// Usage:
//
//	m := marker.New(marker.Options{Platform: p, Timer: t, Log: l, Self: "entry-1", Stop: stop})
//	go m.Run(ctx)
//	backends := m.WithMarks(w)
//	err := m.Set(ctx, marker.Mark{Target: "engine-3", Role: platform.RoleEngine, Draining: true, By: "ann"})
package marker

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/watcher"
)

const (
	// watchTimeout is how long a watch call waits for changes on the platform.
	watchTimeout = 10 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 500 * time.Millisecond
)

// Mark is an operator's order to drain one backend server or host, or with
// Draining false, to cancel the drain.
type Mark struct {
	Target string
	// Role is the role of the target.
	Role     platform.Role
	Draining bool
	By       string
	At       time.Time
	Version  unit.Version `json:",omitempty"`
}

// Marks stores drain marks.
type Marks interface {
	// Set writes a mark and blocks until the platform is known to hold it.
	Set(ctx context.Context, m Mark) error
}

// Options configures a Marker.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Log      *log.Logger
	// Self is the id of this host.
	Self unit.HostID
	// Stop starts the graceful shutdown of this daemon.
	Stop func()
}

// Marker is the default Marks.
type Marker struct {
	options Options

	mu    sync.RWMutex
	marks map[string]Mark
}

// New returns a Marker without marks.
func New(o Options) *Marker { return &Marker{options: o, marks: map[string]Mark{}} }

// Draining reports whether a target is marked as draining.
func (m *Marker) Draining(target string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.marks[target].Draining
}

// List returns all marks, ordered by target.
func (m *Marker) List() []Mark {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]Mark, 0, len(m.marks))
	for _, mark := range m.marks {
		out = append(out, mark)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}

// Run keeps the marks up to date with the platform until ctx is done.
func (m *Marker) Run(ctx context.Context) {
	var after unit.Revision
	listed := false
	for ctx.Err() == nil {
		l, err := m.fetch(ctx, listed, after)
		if err != nil {
			m.options.Log.Warn("cannot read drain marks from the platform; keeping the last known marks", "err", err)
			_ = m.options.Timer.Sleep(ctx, retryDelay)
			continue
		}
		m.merge(l.Objects, listed)
		after, listed = unit.LaterRevision(after, l.Revision), true
	}
}

func (m *Marker) fetch(ctx context.Context, listed bool, after unit.Revision) (platform.List, error) {
	if !listed {
		return m.options.Platform.List(ctx, platform.KindDrain)
	}
	return m.options.Platform.Watch(ctx, platform.KindDrain, after, watchTimeout)
}

// merge installs newer marks. A new mark on this host stops the daemon if
// mayStop is set. It is unset for the first list, whose marks may be older than
// the process.
func (m *Marker) merge(objects []platform.Object, mayStop bool) {
	for _, o := range objects {
		mark, err := decode(o)
		if err != nil {
			m.options.Log.Error("skipped an invalid drain mark", "name", o.Name, "err", err)
			continue
		}
		if !m.install(mark) {
			continue
		}
		m.options.Log.Info("drain mark changed", "target", mark.Target, "draining", mark.Draining, "by", mark.By)
		if mayStop && mark.Draining && mark.Target == string(m.options.Self) {
			m.options.Stop()
		}
	}
}

func decode(o platform.Object) (Mark, error) {
	var mark Mark
	err := json.Unmarshal(o.Value, &mark)
	mark.Target, mark.Version = o.Name, o.Version
	return mark, err
}

// install stores a mark and reports whether it is newer than the known one.
func (m *Marker) install(mark Mark) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.marks[mark.Target].Version >= mark.Version {
		return false
	}
	m.marks[mark.Target] = mark
	return true
}

// backends gives the embedded field a name that differs from its method.
type backends = watcher.Backends

// view is a list of backend servers with the drain marks applied.
type view struct {
	backends
	marker *Marker
}

// WithMarks returns the backend servers of b, with Draining set for the marked ones.
func (m *Marker) WithMarks(b watcher.Backends) watcher.Backends { return &view{backends: b, marker: m} }

// Backends returns a snapshot of the backend servers, ordered by id.
func (v *view) Backends() []watcher.Backend {
	all := v.backends.Backends()
	v.marker.mu.RLock()
	defer v.marker.mu.RUnlock()
	if len(v.marker.marks) == 0 {
		return all
	}
	for i := range all {
		all[i].Draining = all[i].Draining || v.marker.marks[string(all[i].ID)].Draining
	}
	return all
}
