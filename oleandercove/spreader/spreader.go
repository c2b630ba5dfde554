// Package spreader keeps the daemon's copy of the catalogue current.
//
// Entries are merged by their highest version, so that an older version is
// never installed, whatever a lagging platform or peer answers.
//
// Usage:
//
//	s := spreader.New(spreader.Options{Platform: p, Timer: t, Log: l})
//	go s.Run(ctx)
//	e, ok := s.Get(catalogue.KindModel, "report")
package spreader

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

const (
	// watchWait is how long a watch waits on the platform.
	watchWait = 10 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 500 * time.Millisecond
)

// Catalogue answers questions about entries.
type Catalogue interface {
	// Get returns the entry, unless it is unknown or deleted.
	Get(kind catalogue.Kind, name unit.EntryName) (*catalogue.Entry, bool)
	// AccountByToken returns the account entry with the given bearer token.
	AccountByToken(token string) (*catalogue.Entry, bool)
	// List returns all entries of a kind, without deleted ones.
	List(kind catalogue.Kind) []*catalogue.Entry
	// Ready tells whether the daemon has a catalogue at all.
	Ready() bool
}

// Options configures a Spreader.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Log      *log.Logger
}

// Spreader is the default Catalogue.
type Spreader struct {
	options Options

	mu      sync.RWMutex
	entries map[catalogue.Key]*catalogue.Entry
	tokens  map[string]catalogue.Key
	ready   bool
}

// New returns an empty Spreader.
func New(o Options) *Spreader {
	return &Spreader{
		options: o,
		entries: map[catalogue.Key]*catalogue.Entry{},
		tokens:  map[string]catalogue.Key{},
	}
}

// Get returns the entry, unless it is unknown or deleted.
func (s *Spreader) Get(kind catalogue.Kind, name unit.EntryName) (*catalogue.Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[catalogue.Key{Kind: kind, Name: name}]
	if !ok || e.Deleted {
		return nil, false
	}
	return e, true
}

// AccountByToken returns the account entry with the given bearer token.
func (s *Spreader) AccountByToken(token string) (*catalogue.Entry, bool) {
	sum := sha256.Sum256([]byte(token))
	s.mu.RLock()
	k, ok := s.tokens[hex.EncodeToString(sum[:])]
	s.mu.RUnlock()
	if !ok {
		return nil, false
	}
	return s.Get(k.Kind, k.Name)
}

// List returns all entries of a kind, without deleted ones.
func (s *Spreader) List(kind catalogue.Kind) []*catalogue.Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []*catalogue.Entry
	for k, e := range s.entries {
		if k.Kind == kind && !e.Deleted {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Ready tells whether the daemon has a catalogue at all.
func (s *Spreader) Ready() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ready
}

// Merge installs entries that are newer than the installed ones and returns
// how many it installed.
func (s *Spreader) Merge(entries []*catalogue.Entry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range entries {
		old, ok := s.entries[e.Key()]
		if ok && old.Version >= e.Version {
			continue
		}
		s.install(old, e)
		n++
	}
	s.ready = true
	return n
}

func (s *Spreader) install(old, e *catalogue.Entry) {
	if old != nil && old.Account != nil {
		delete(s.tokens, old.Account.TokenHash)
	}
	s.entries[e.Key()] = e
	if e.Account != nil && !e.Deleted {
		s.tokens[e.Account.TokenHash] = e.Key()
	}
}

// Run watches the platform until ctx is done.
func (s *Spreader) Run(ctx context.Context) {
	var after unit.Revision
	for ctx.Err() == nil {
		l, err := s.read(ctx, after)
		if err != nil {
			s.options.Log.Warn("platform did not answer", "err", err)
			_ = s.options.Timer.Sleep(ctx, retryDelay)
			continue
		}
		if n := s.Merge(s.decode(l.Objects)); n > 0 {
			s.options.Log.Info("installed catalogue entries", "entries", n, "revision", l.Revision)
		}
		after = max(after, l.Revision)
	}
}

func (s *Spreader) read(ctx context.Context, after unit.Revision) (platform.List, error) {
	if after == 0 {
		return s.options.Platform.List(ctx, platform.KindEntry)
	}
	return s.options.Platform.Watch(ctx, platform.KindEntry, after, watchWait)
}

func (s *Spreader) decode(objects []platform.Object) []*catalogue.Entry {
	var out []*catalogue.Entry
	for _, o := range objects {
		e, err := catalogue.Decode(o.Value, o.Version)
		if err != nil {
			s.options.Log.Error("skipped a broken catalogue object", "name", o.Name, "err", err)
			continue
		}
		out = append(out, e)
	}
	return out
}
