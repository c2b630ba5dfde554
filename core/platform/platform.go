// Package platform is the client of the platform's object API. All access to the API
// goes through it.
//
// A Client adds deadlines, a call budget, retries with backoff and a circuit breaker.
// A write has one of three outcomes: done, refused or unknown. If the response to a
// write was lost, the Client reads the object back and compares its write id.
//
// Usage:
//
//	c := platform.NewClient(platform.Options{Address: "127.0.0.1:7000"})
//	o, err := c.Put(ctx, "Entry", "report", 0, value)
package platform

import (
	"encoding/json"
	"errors"

	"oleandercove.example/core/unit"
)

// Kind is a kind of object.
type Kind string

const (
	// KindEntry holds catalogue entries.
	KindEntry Kind = "Entry"
	// KindClaim holds buckets of claims for non-idempotent calls.
	KindClaim Kind = "Claim"
	// KindLease holds leases of controllers.
	KindLease Kind = "Lease"
	// KindDrain holds the operators' drain marks for backend servers and hosts.
	KindDrain Kind = "Drain"
)

// Object is a versioned object of the platform.
type Object struct {
	Kind     Kind
	Name     string
	Version  unit.Version
	Revision unit.Revision
	WriteID  string
	Value    json.RawMessage
	Deleted  bool `json:",omitempty"`
}

// List is the answer to a list or watch call.
type List struct {
	Revision unit.Revision
	Objects  []Object
}

// Host is a row of the platform's host list, which lags.
type Host struct {
	ID         string
	Role       Role
	Address    string
	DataCentre unit.DataCentre
	State      HostState
	// Serves is the catalogue entry that a backend server serves.
	Serves unit.EntryName `json:",omitempty"`
}

// Role is the type of program that runs on a host.
type Role string

const (
	// RoleEntry is an entry host.
	RoleEntry Role = "Entry"
	// RoleEngine is a model engine.
	RoleEngine Role = "Engine"
	// RoleService is a service worker.
	RoleService Role = "Service"
)

// HostState is the state of a host in the list.
type HostState string

const (
	// HostLive means that the host is expected to serve.
	HostLive HostState = "Live"
	// HostLeaving means that the host is shutting down.
	HostLeaving HostState = "Leaving"
)

var (
	// ErrConflict means that the platform refused a write because the object's version
	// is not the expected one.
	ErrConflict = errors.New("platform object has another version")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform object not found")
	// ErrHistoryExpired means that the platform no longer has the changes after the
	// revision of a watch; the objects must be listed again.
	ErrHistoryExpired = errors.New("platform history gone")
	// ErrUnavailable means that the platform did not accept the call or that a read got
	// no usable response.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that a write was sent and may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of platform write unknown")
	// ErrBreakerOpen means that the call was not sent because the circuit breaker is
	// open. The error also matches ErrUnavailable.
	ErrBreakerOpen = errors.New("circuit breaker is open")
	// ErrBudget means that the call was not sent because ctx ends before the call budget
	// allows it.
	ErrBudget = errors.New("platform call budget used up")
)
