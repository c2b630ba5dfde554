package api

import (
	"encoding/json"
	"time"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/clock"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

const (
	// HeaderIfVersion carries the version that an edit expects; 0 means that
	// the entry must not exist.
	HeaderIfVersion = "If-Version"
	// HeaderOperator names the operator in the history of an entry.
	HeaderOperator = "X-Operator"
	// HeaderHost carries the id of the entry host that answered.
	HeaderHost = "X-Host"
)

// EntryView is an entry with its version.
type EntryView struct {
	Version unit.Version
	Entry   catalogue.Entry
}

// EntryList is the answer to GET /v1/entries: the entries that this daemon applies now.
type EntryList struct{ Entries []EntryView }

// EntryHistory is the answer to GET /v1/entries/KIND/NAME/history.
type EntryHistory struct {
	Kind    catalogue.Kind
	Name    unit.EntryName
	Version unit.Version
	Deleted bool
	// Changes are the latest changes, newest last.
	Changes []catalogue.Change
}

// EntryPatch is the body of PATCH /v1/entries/KIND/NAME.
type EntryPatch struct{ Set []catalogue.FieldEdit }

// EditAccepted is the answer to an edit that is known to be stored.
type EditAccepted struct {
	// ID is the id of the change in the history; it is empty if the entry already had
	// the requested values, so that nothing was written.
	ID      string
	Version unit.Version
	Fields  []string
}

// EditRefused is the body of an edit that was not accepted. The verdict
// MayHaveRun means that the edit may still take effect.
type EditRefused struct {
	Refusal
	// Version is the current version of the entry; 0 if it is unknown.
	Version unit.Version `json:",omitempty"`
	// Faults lists all invalid fields of the entry.
	Faults []catalogue.Fault `json:",omitempty"`
	// Conflicts lists the fields that a concurrent edit set to another value.
	Conflicts []catalogue.FieldConflict `json:",omitempty"`
	// Changes lists the edits that were stored before this one.
	Changes []catalogue.Change `json:",omitempty"`
}

// HostList is the answer to GET /v1/hosts.
type HostList struct{ Hosts []platform.Host }

// Backend is one row of GET /v1/backends.
type Backend struct {
	ID         unit.BackendID
	Role       platform.Role
	Address    string
	DataCentre unit.DataCentre
	Serves     unit.EntryName
	Healthy    bool
	Draining   bool
	// InFlight is the number of this daemon's requests on the backend server.
	InFlight int
	Seen     time.Time
}

// BackendList is the answer to GET /v1/backends.
type BackendList struct{ Backends []Backend }

// Event is one recorded decision about a request.
type Event struct {
	At time.Time
	// Stamp orders the events of several daemons: a cause comes before its effect where
	// daemons exchange stamps.
	Stamp    clock.Stamp
	Host     unit.HostID
	Request  unit.RequestID
	Part     string
	Decision string
	Cause    string
}

// Explanation is the answer to GET /v1/explain/ID.
type Explanation struct {
	Request unit.RequestID
	Host    unit.HostID
	Events  []Event
}

// DrainRequest is the body of POST /v1/drain.
type DrainRequest struct {
	// Target is the id of a backend server or entry host.
	Target string
	// Cancel ends the drain, so that the backend server gets new work again.
	Cancel bool `json:",omitempty"`
}

// DrainAccepted is the answer to POST /v1/drain.
type DrainAccepted struct {
	Target string
	Role   platform.Role
}

// Dump is the answer to GET /v1/dump.
type Dump struct {
	Host     unit.HostID
	At       time.Time
	Sections []DumpSection
}

// DumpSection is the state of one part of the daemon.
type DumpSection struct {
	Name  string
	State json.RawMessage `json:",omitempty"`
	// Error is the reason for which the state is missing.
	Error string `json:",omitempty"`
}
