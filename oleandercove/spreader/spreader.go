// Package spreader keeps the daemon's copy of the catalogue current, from the platform and
// from peers.
//
//   - Two daemons of each data centre watch the platform and push changed entries to their
//     peers; the others get the catalogue from peers only.
//   - A daemon without peers watches the platform itself, and so does one that has no
//     catalogue yet after waiting for its peers.
//   - The highest version of an entry wins, so that an older version is never installed,
//     even if a platform or peer is out of date.
//
// Usage:
//
//	s := spreader.New(spreader.Options{Platform: p, Timer: t, Log: l})
//	go s.Run(ctx)
//	e, ok := s.Get(catalogue.KindModel, "report")
package spreader

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"sync"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/replicator"
	"oleandercove.example/wire/peer"
)

// Catalogue reads the entries of the catalogue.
type Catalogue interface {
	// Get returns the entry, unless it is unknown or deleted.
	Get(kind catalogue.Kind, name unit.EntryName) (*catalogue.Entry, bool)
	// AccountByToken returns the account entry with the given bearer token.
	AccountByToken(token string) (*catalogue.Entry, bool)
	// List returns all entries of a kind, without deleted ones.
	List(kind catalogue.Kind) []*catalogue.Entry
	// Ready reports whether the daemon has the whole catalogue.
	Ready() bool
}

// Options configures a Spreader.
type Options struct {
	Platform platform.Client
	Timer    timer.Service
	Log      *log.Logger
	// Members lists the live daemons, from which those that watch the platform are chosen;
	// nil means this daemon alone.
	Members gossiper.Members
	// Connector carries entries to and from peers; nil means none.
	Connector connector.Connector
}

// Spreader is the default implementation of Catalogue.
type Spreader struct {
	options Options
	table   *replicator.Table

	mu                  sync.RWMutex
	entries             map[catalogue.Key]*catalogue.Entry
	accountsByTokenHash map[string]catalogue.Key
	ready               bool
}

// New returns an empty Spreader.
func New(o Options) *Spreader {
	if o.Members == nil {
		o.Members = gossiper.Standalone{}
	}
	s := &Spreader{
		options:             o,
		entries:             map[catalogue.Key]*catalogue.Entry{},
		accountsByTokenHash: map[string]catalogue.Key{},
	}
	s.table = replicator.New(replicator.Options{
		Connector: o.Connector, Kind: peer.TypeCatalogue, Timer: o.Timer, OnChanged: s.mergeItems, OnComplete: s.setReady,
	})
	return s
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
	k, ok := s.accountsByTokenHash[hex.EncodeToString(sum[:])]
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

// setReady records that the catalogue is complete: the platform's list or all entries of a
// peer are installed. Single entries that peers push before do not make it ready, because
// requests for the other entries would be refused as unknown.
func (s *Spreader) setReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// Ready reports whether the daemon has the whole catalogue.
func (s *Spreader) Ready() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ready
}

// Merge installs entries from the platform that are newer than the installed ones, marks the
// catalogue as complete, pushes the entries to peers and returns how many it installed.
func (s *Spreader) Merge(entries []*catalogue.Entry) int {
	n := s.merge(entries)
	s.setReady()
	s.publish(entries)
	return n
}

func (s *Spreader) merge(entries []*catalogue.Entry) int {
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
	return n
}

func (s *Spreader) install(old, e *catalogue.Entry) {
	if old != nil && old.Account != nil {
		delete(s.accountsByTokenHash, old.Account.TokenHash)
	}
	s.entries[e.Key()] = e
	if e.Account != nil && !e.Deleted {
		s.accountsByTokenHash[e.Account.TokenHash] = e.Key()
	}
}
