// Package unit holds the named types for identifiers and units that all
// programs share.
//
// Usage:
//
//	var a unit.AccountID = "depot-7"
//	var p unit.Position = 12
package unit

import "strconv"

// AccountID identifies a client account.
type AccountID string

// RequestID identifies a request of a caller.
type RequestID string

// HostID identifies an entry host.
type HostID string

// BackendID identifies a backend server: an engine or a service worker.
type BackendID string

// DataCentre names a data centre.
type DataCentre string

// Region names a region.
type Region string

// EntryName names a catalogue entry.
type EntryName string

// StreamID identifies a model stream on the engines.
type StreamID string

// Epoch is the number of an attempt of a stream; engines refuse older epochs.
type Epoch uint64

// PartID identifies a part of a prompt that several requests may share.
type PartID uint64

// String returns the id in hexadecimal, as callers write it.
func (p PartID) String() string { return strconv.FormatUint(uint64(p), 16) }

// Layer is the index of a model layer.
type Layer int

// Position is the index of a token in prompt plus answer.
type Position int

// TokenLayers is an amount of request memory: a number of tokens multiplied by the layers
// that hold them.
type TokenLayers int64

// Token is the id of a token in the model's vocabulary.
type Token uint32

// Version is the version of a platform object; 0 means that none exists.
type Version uint64

// Fence is the fencing number of a lease.
type Fence uint64

// TokensPerSecond is a rate of generated tokens.
type TokensPerSecond float64

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// BytesPerSecond is a link rate.
type BytesPerSecond float64
