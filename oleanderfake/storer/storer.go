// Package storer simulates the platform's object API.
//
// It offers versions, conditional updates, long-poll watches, a host list that lags, rate
// limits, and injected faults: outage, hanging or slow calls, a stale host list, and writes
// whose connection closes before or after they take effect.
//
// Usage:
//
//	s := storer.New(storer.Options{HostLag: 2 * time.Second})
//	http.ListenAndServe(address, s.Handler())
package storer

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/journaler"
)

// Options configures a Store.
type Options struct {
	// HostLag is the time until the host list shows a change of a host.
	HostLag time.Duration
	// HostTimeout is the time after which a host that didn't refresh its row is dropped,
	// in addition to HostLag; 0 drops none.
	HostTimeout time.Duration
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

type key struct {
	kind platform.Kind
	name string
}

// Record is one write that took effect.
type Record struct {
	Kind     platform.Kind
	Name     string
	Version  unit.Version
	Revision unit.Revision
	WriteID  string
	At       time.Time
}

// Store keeps the objects and the host list in memory.
type Store struct {
	options Options
	journal *journaler.Journal[Record]
	faults  *injector
	calls   *callCounter

	mu       sync.Mutex
	revision unit.Revision
	objects  map[key]platform.Object
	changed  chan struct{}

	hosts *hostList
}

// New returns an empty Store.
func New(o Options) *Store {
	return &Store{
		options: o,
		journal: journaler.InMemory[Record](),
		faults:  newInjector(o),
		calls:   &callCounter{},
		objects: map[key]platform.Object{},
		changed: make(chan struct{}),
		hosts:   newHostList(o),
	}
}

func (s *Store) get(kind platform.Kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key{kind, name}]
	return o, ok
}

// put writes an object if its version is the expected one. It returns the object and true,
// or the stored object and false on a conflict.
func (s *Store) put(kind platform.Kind, name string, expected unit.Version, writeID string, value json.RawMessage, deleted bool) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	old := s.objects[k]
	if old.Version != expected {
		return old, false
	}
	s.revision.Number++
	o := platform.Object{
		Kind: kind, Name: name, Version: old.Version + 1, Revision: s.revision,
		WriteID: writeID, Value: value, Deleted: deleted,
	}
	s.objects[k] = o
	s.journal.Append(Record{Kind: kind, Name: name, Version: o.Version, Revision: o.Revision, WriteID: writeID, At: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return o, true
}

// list returns the objects of a kind that changed after a revision, in order of revision,
// and a channel that is closed at the next write.
func (s *Store) list(kind platform.Kind, after unit.Revision) (platform.List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.List{Revision: s.revision, Objects: []platform.Object{}}
	for k, o := range s.objects {
		if k.kind == kind && o.Revision.After(after) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Revision.Before(l.Objects[j].Revision) })
	return l, s.changed
}

// watch blocks until objects of a kind have changed after a revision and returns them. It
// returns an empty list when wait is over or ctx is done.
func (s *Store) watch(ctx context.Context, kind platform.Kind, after unit.Revision, wait time.Duration) platform.List {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		l, changed := s.list(kind, after)
		if len(l.Objects) > 0 {
			return l
		}
		select {
		case <-changed:
		case <-t.C:
			return l
		case <-ctx.Done():
			return l
		}
	}
}
