// Package catalogue holds the typed entries that operators edit: how they are
// encoded, validated, edited and merged.
//
// Usage:
//
//	e, err := catalogue.Decode(object.Value, object.Version)
//	faults := catalogue.Check(e)
package catalogue

import (
	"time"

	"oleandercove.example/core/unit"
)

// Kind is the kind of an entry.
type Kind string

const (
	// KindModel describes a model that engines serve.
	KindModel Kind = "Model"
	// KindService describes a plain service.
	KindService Kind = "Service"
	// KindAccount describes a client account.
	KindAccount Kind = "Account"
)

// Class is the priority class of an entry's traffic.
type Class string

const (
	// ClassInteractive is served first.
	ClassInteractive Class = "Interactive"
	// ClassStandard is the default.
	ClassStandard Class = "Standard"
	// ClassBatch is shed first.
	ClassBatch Class = "Batch"
)

// Limits bounds the use of an entry or client account; zero means no limit. QueueShare is
// a share between 0 and 1.
type Limits struct {
	RequestsPerSecond float64 `json:",omitempty"`
	TokensPerSecond   float64 `json:",omitempty"`
	ConcurrentStreams int     `json:",omitempty"`
	QueueShare        float64 `json:",omitempty"`
}

// Model is the part of an entry that describes a model.
type Model struct {
	Layers          unit.Layer
	Version         string   `json:",omitempty"`
	Adapters        []string `json:",omitempty"`
	Replicas        int      `json:",omitempty"`
	MaxTokens       int
	ActivationBytes int `json:",omitempty"`
}

// Service is the part of an entry that describes a plain service.
type Service struct {
	// IdempotentMethods lists the methods whose requests may be retried.
	IdempotentMethods []string
	// IdempotentPaths lists the path prefixes under which requests of any method may be
	// retried.
	IdempotentPaths []string `json:",omitempty"`
	TimeoutMs       int      `json:",omitempty"`
}

// Account is the part of an entry that describes a client account.
type Account struct {
	// TokenHash is the hexadecimal SHA-256 of the bearer token.
	TokenHash string
}

// Entry is one catalogue entry.
type Entry struct {
	Kind    Kind
	Name    unit.EntryName
	Owner   string
	Class   Class
	Limits  Limits
	DrainMs int      `json:",omitempty"`
	Model   *Model   `json:",omitempty"`
	Service *Service `json:",omitempty"`
	Account *Account `json:",omitempty"`

	// Deleted marks a tombstone, which keeps the version from restarting.
	Deleted bool `json:",omitempty"`
	// ChangedBy and ChangedAt are the operator and the time of the last edit.
	ChangedBy string    `json:",omitempty"`
	ChangedAt time.Time `json:",omitzero"`
	// History keeps the most recent edits, newest last.
	History []Change `json:",omitempty"`

	// Version is the version of the platform object, not part of the value.
	Version unit.Version `json:"-"`
}

// Change is one edit in the history of an entry.
type Change struct {
	// ID identifies the edit, so that a write whose response was lost can be found in
	// the history.
	ID      string `json:",omitempty"`
	By      string
	At      time.Time
	Version unit.Version
	Fields  []string
}

// maxHistory is the number of changes that an entry keeps; older ones are dropped.
const maxHistory = 20

// AppendChange returns a copy of the history with c added, trimmed to the latest
// maxHistory changes.
func AppendChange(history []Change, c Change) []Change {
	all := append(append([]Change{}, history...), c)
	return all[max(0, len(all)-maxHistory):]
}

// Tombstone returns the deleted form of an entry. It keeps the key, owner, class, history
// and version, so that versions never restart.
func (e *Entry) Tombstone() *Entry {
	return &Entry{Kind: e.Kind, Name: e.Name, Owner: e.Owner, Class: e.Class, Deleted: true, History: e.History, Version: e.Version}
}

// Key identifies an entry.
type Key struct {
	Kind Kind
	Name unit.EntryName
}

// Key returns the key of the entry.
func (e *Entry) Key() Key { return Key{Kind: e.Kind, Name: e.Name} }

// ObjectName returns the name of the platform object that holds the entry.
func (k Key) ObjectName() string { return string(k.Kind) + "." + string(k.Name) }
