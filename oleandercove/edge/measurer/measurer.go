// Package measurer counts the bytes that a daemon exchanges with other data centres, by
// purpose. Such bytes are paid, so operators need to know what they are for.
//
// Usage:
//
//	m := measurer.New(scope)
//	m.Add(measurer.Beacons, len(datagram))
//	totals := m.Totals()
package measurer

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Purpose is what bytes between data centres are for.
type Purpose int

const (
	// Beacons are the datagrams that daemons send to each other.
	Beacons Purpose = iota
	// Views are the configuration and the list of servers, as received from other daemons.
	Views
	// Requests are requests of callers to backend servers.
	Requests
	// Responses are the responses of backend servers.
	Responses
	// Activations are what the engines of a chain send to each other, as the chain's size
	// implies.
	Activations

	purposes
)

// String returns the name of the purpose in metrics and dumps.
func (p Purpose) String() string {
	return [purposes]string{"Beacons", "Views", "Requests", "Responses", "Activations"}[p]
}

// Total is the number of bytes for a purpose since the start of the daemon.
type Total struct {
	Purpose string
	Bytes   int64
}

// Measurer counts bytes. It is safe for concurrent use. A nil Measurer counts nothing.
type Measurer struct {
	totals   [purposes]atomic.Int64
	counters [purposes]tally.Counter
}

// New returns a Measurer that also reports to a scope.
func New(s tally.Scope) *Measurer {
	m := &Measurer{}
	for p := range purposes {
		m.counters[p] = s.Tagged(map[string]string{"purpose": p.String()}).Counter("crossing_bytes_total")
	}
	return m
}

// Add counts bytes for a purpose.
func (m *Measurer) Add(p Purpose, bytes int) {
	if m == nil {
		return
	}
	m.totals[p].Add(int64(bytes))
	m.counters[p].Inc(int64(bytes))
}

// Totals returns the number of bytes for each purpose.
func (m *Measurer) Totals() []Total {
	out := make([]Total, 0, purposes)
	for p := range purposes {
		out = append(out, Total{Purpose: p.String(), Bytes: m.totals[p].Load()})
	}
	return out
}
