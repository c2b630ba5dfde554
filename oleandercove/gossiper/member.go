package gossiper

import (
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/replicator"
	"oleandercove.example/wire/peer"
)

// State is the state of a daemon that all daemons agree on.
type State uint8

// States in order of precedence within one incarnation.
const (
	// Alive means that the daemon responds.
	Alive State = iota
	// Suspect means that its neighbours can't reach it; it still counts as live.
	Suspect
	// Dead means that it did not refute the suspicion in time.
	Dead
	// Left means that it stopped after a graceful shutdown.
	Left
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s&stateMask] }

const (
	// stateBits are the low bits of a version that hold the state; the others
	// hold the incarnation.
	stateBits = 2
	stateMask = 1<<stateBits - 1
)

// Member is one daemon.
type Member struct {
	Host       unit.HostID
	Address    string
	DataCentre unit.DataCentre
	Region     unit.Region
	Draining   bool
	State      State
	// Incarnation is raised only by the member itself, to refute a suspicion
	// or to change its data.
	Incarnation uint64
}

// Live reports whether the member counts for routing and selection.
func (m Member) Live() bool { return m.State <= Suspect }

func version(incarnation uint64, s State) uint64 { return incarnation<<stateBits | uint64(s) }

func (m Member) item() (replicator.Item, error) {
	v, err := proto.MarshalOptions{Deterministic: true}.Marshal(&peer.Member{
		Address: m.Address, DataCentre: string(m.DataCentre), Region: string(m.Region), Draining: m.Draining,
	})
	return replicator.Item{Key: string(m.Host), Version: version(m.Incarnation, m.State), Value: v}, err
}

func decode(i replicator.Item) (Member, error) {
	var p peer.Member
	err := proto.Unmarshal(i.Value, &p)
	return Member{
		Host: unit.HostID(i.Key), Address: p.Address, DataCentre: unit.DataCentre(p.DataCentre),
		Region: unit.Region(p.Region), Draining: p.Draining,
		State: state(i), Incarnation: i.Version >> stateBits,
	}, err
}

func state(i replicator.Item) State { return State(i.Version & stateMask) }

// inDigest reports whether an item counts in digests. Dead members and those that
// left don't, because daemons forget them at different times.
func inDigest(i replicator.Item) bool { return state(i) <= Suspect }
