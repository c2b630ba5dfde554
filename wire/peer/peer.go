// Package peer defines the messages between daemons: the schema in peer.proto and the Go
// types that `make generate` derives from it.
//
// Usage:
//
//	f := &peer.Frame{Type: peer.TypeProbe, Body: body}
package peer

// Types of messages. A replicated table uses three consecutive types: items, digest and
// synchronisation.
const (
	// TypeHeartbeat keeps a link alive; its body is empty.
	TypeHeartbeat uint32 = 0
	// TypeProbe asks a peer to check whether a third daemon is reachable.
	TypeProbe uint32 = 1
	// TypeLimits requests slices of limits from the coordinator of the entries.
	TypeLimits uint32 = 2
	// TypeSlots requests the slot of a backend server from its coordinator, or returns it.
	TypeSlots uint32 = 3
	// TypeMembers is the first type of the membership table.
	TypeMembers uint32 = 10
	// TypeCatalogue is the first type of the catalogue table.
	TypeCatalogue uint32 = 20
	// TypeBackends is the first type of the table of backend servers.
	TypeBackends uint32 = 30
	// TypeMarks is the first type of the table of crash records.
	TypeMarks uint32 = 40
)
