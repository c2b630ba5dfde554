package quarantiner

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/wire/peer"
)

const (
	// slotTTL is the time after which a slot is free again if its daemon has crashed. It
	// is longer than a request takes to start.
	slotTTL = 10 * time.Second
	// slotRequestTimeout bounds a request to the coordinator of a slot.
	slotRequestTimeout = 500 * time.Millisecond
)

// Slots lets at most one suspect start on a backend server at a time.
type Slots interface {
	// Acquire reserves the slot for the request. It reports whether the request holds it.
	Acquire(ctx context.Context, b unit.BackendID, f Fingerprint) bool
	// Release releases the slot.
	Release(b unit.BackendID, f Fingerprint)
}

// LocalSlots is the Slots of a single daemon. It is safe for concurrent use.
type LocalSlots struct {
	timer timer.Service
	mu    sync.Mutex
	held  map[unit.BackendID]holder
}

type holder struct {
	fingerprint Fingerprint
	until       time.Time
}

// NewLocalSlots returns Slots without holders.
func NewLocalSlots(t timer.Service) *LocalSlots {
	return &LocalSlots{timer: t, held: map[unit.BackendID]holder{}}
}

// Acquire reserves the slot and reports whether it was free. Two requests with the same
// fingerprint exclude each other too.
func (s *LocalSlots) Acquire(_ context.Context, b unit.BackendID, f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	if h, ok := s.held[b]; ok && now.Before(h.until) {
		return false
	}
	s.held[b] = holder{fingerprint: f, until: now.Add(slotTTL)}
	return true
}

// Release releases the slot if the request holds it.
func (s *LocalSlots) Release(b unit.BackendID, f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[b].fingerprint == f {
		delete(s.held, b)
	}
}

// FleetSlots reserves a slot at the coordinator of the backend server, a daemon that is
// the same for the whole fleet, so that suspects of different daemons exclude each other.
type FleetSlots struct {
	local     *LocalSlots
	members   gossiper.Members
	connector Links
}

// Links sends requests to peers, also to those without a link so far.
type Links interface {
	connector.Connector
	// RequestWithDial sends a request over the link to a peer, which is opened if needed.
	RequestWithDial(ctx context.Context, to connector.Peer, kind uint32, m, reply proto.Message) error
}

// NewFleetSlots returns Slots for the whole fleet.
func NewFleetSlots(c Links, m gossiper.Members, t timer.Service) *FleetSlots {
	s := &FleetSlots{local: NewLocalSlots(t), members: m, connector: c}
	connector.Serve(c, peer.TypeSlots, func(ctx context.Context, _ unit.HostID, r *peer.SlotRequest) (proto.Message, error) {
		b, f := unit.BackendID(r.GetBackend()), Fingerprint(r.GetFingerprint())
		if r.GetFree() {
			s.local.Release(b, f)
			return &peer.SlotReply{}, nil
		}
		return &peer.SlotReply{Held: s.local.Acquire(ctx, b, f)}, nil
	})
	return s
}

// Acquire reserves the slot at the coordinator. It reports whether the request holds it.
// Without an answer the suspect waits; within seconds membership chooses another
// coordinator.
func (s *FleetSlots) Acquire(ctx context.Context, b unit.BackendID, f Fingerprint) bool {
	coordinator, remote := s.coordinator(b)
	if !remote {
		return s.local.Acquire(ctx, b, f)
	}
	var reply peer.SlotReply
	return s.request(ctx, coordinator, &peer.SlotRequest{Backend: string(b), Fingerprint: uint64(f)}, &reply) == nil && reply.GetHeld()
}

// Release releases the slot in the background. If the message is lost, the slot stays
// reserved for at most slotTTL.
func (s *FleetSlots) Release(b unit.BackendID, f Fingerprint) {
	coordinator, remote := s.coordinator(b)
	if !remote {
		s.local.Release(b, f)
		return
	}
	go func() {
		_ = s.request(context.Background(), coordinator, &peer.SlotRequest{Backend: string(b), Fingerprint: uint64(f), Free: true}, &peer.SlotReply{})
	}()
}

func (s *FleetSlots) request(ctx context.Context, coordinator gossiper.Member, m *peer.SlotRequest, reply *peer.SlotReply) error {
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	defer cancel()
	return s.connector.RequestWithDial(ctx, connector.Peer{Host: coordinator.Host, Address: coordinator.Address}, peer.TypeSlots, m, reply)
}

// coordinator returns the daemon that coordinates the slot of a backend server, and
// whether it is another daemon.
func (s *FleetSlots) coordinator(b unit.BackendID) (gossiper.Member, bool) {
	live := s.members.Live()
	self := s.members.Self()
	top := chooser.Top("slot/"+string(b), gossiper.Hosts(live, ""), 1)
	for _, m := range live {
		if len(top) > 0 && m.Host == top[0] && m.Host != self.Host {
			return m, true
		}
	}
	return self, false
}
