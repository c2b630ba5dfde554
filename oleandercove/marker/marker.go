// Package marker keeps the operators' drain marks current.
//
// A mark is a platform object, so that every daemon honours it, whatever the
// catalogue says. A marked backend server gets no new work. A daemon that is
// marked while it runs begins its graceful shutdown; marks from before its
// start are ignored, so that a restarted daemon stays up.
//
// Usage:
//
//	m := marker.New(marker.Options{Platform: p, Timer: t, Log: l, Self: "entry-1", Stop: stop})
//	go m.Run(ctx)
//	backends := m.Over(w)
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
	// watchWait is how long a watch waits on the platform.
	watchWait = 10 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 500 * time.Millisecond
)

// Mark is the operators' wish for one backend server or host.
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
	// Set writes a mark and returns once it is known to stand.
	Set(ctx context.Context, m Mark) error
}

// Options configures a Marker.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Log      *log.Logger
	// Self is the id of this host.
	Self unit.HostID
	// Stop begins the graceful shutdown of this daemon.
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

// Draining tells whether a target is marked.
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
	for _, k := range m.marks {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}

// Run watches the platform until ctx is done.
func (m *Marker) Run(ctx context.Context) {
	var after unit.Revision
	listed := false
	for ctx.Err() == nil {
		l, err := m.read(ctx, listed, after)
		if err != nil {
			m.options.Log.Warn("platform did not answer; keeping the drain marks", "err", err)
			_ = m.options.Timer.Sleep(ctx, retryDelay)
			continue
		}
		m.merge(l.Objects, listed)
		after, listed = max(after, l.Revision), true
	}
}

func (m *Marker) read(ctx context.Context, listed bool, after unit.Revision) (platform.List, error) {
	if !listed {
		return m.options.Platform.List(ctx, platform.KindDrain)
	}
	return m.options.Platform.Watch(ctx, platform.KindDrain, after, watchWait)
}

// merge installs newer marks. A new mark on this host stops the daemon, unless
// it comes from the first list and may be older than the process.
func (m *Marker) merge(objects []platform.Object, stop bool) {
	for _, o := range objects {
		k, err := decode(o)
		if err != nil {
			m.options.Log.Error("skipped a broken drain mark", "name", o.Name, "err", err)
			continue
		}
		if !m.install(k) {
			continue
		}
		m.options.Log.Info("drain mark changed", "target", k.Target, "draining", k.Draining, "by", k.By)
		if stop && k.Draining && k.Target == string(m.options.Self) {
			m.options.Stop()
		}
	}
}

func decode(o platform.Object) (Mark, error) {
	var k Mark
	err := json.Unmarshal(o.Value, &k)
	k.Target, k.Version = o.Name, o.Version
	return k, err
}

func (m *Marker) install(k Mark) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.marks[k.Target].Version >= k.Version {
		return false
	}
	m.marks[k.Target] = k
	return true
}

// backends gives the embedded field a name that differs from its method.
type backends = watcher.Backends

type view struct {
	backends
	marker *Marker
}

// Over returns the same backend servers with the marked ones draining.
func (m *Marker) Over(b watcher.Backends) watcher.Backends { return &view{backends: b, marker: m} }

// Backends returns a snapshot, ordered by id.
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
