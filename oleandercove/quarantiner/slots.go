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
	// slotLimit frees the slot of a daemon that died while it held it. It is
	// longer than the start of a request takes.
	slotLimit = 10 * time.Second
	// slotTimeout bounds a call to the home of a slot.
	slotTimeout = 500 * time.Millisecond
)

// Slots lets at most one suspect start on a backend server at a time.
type Slots interface {
	// Take returns true if the slot is now held for the request.
	Take(ctx context.Context, b unit.BackendID, f Fingerprint) bool
	// Free gives the slot back.
	Free(b unit.BackendID, f Fingerprint)
}

// LocalSlots is the Slots of one daemon.
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

// Take returns true if the slot was free. Two requests with one fingerprint
// exclude each other too.
func (s *LocalSlots) Take(_ context.Context, b unit.BackendID, f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	if h, ok := s.held[b]; ok && now.Before(h.until) {
		return false
	}
	s.held[b] = holder{fingerprint: f, until: now.Add(slotLimit)}
	return true
}

// Free gives the slot back if the request holds it.
func (s *LocalSlots) Free(b unit.BackendID, f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[b].fingerprint == f {
		delete(s.held, b)
	}
}

// FleetSlots asks the home daemon of each backend server, so that suspects of
// different daemons exclude each other.
type FleetSlots struct {
	local     *LocalSlots
	members   gossiper.Members
	connector Links
}

// Links carries requests to peers that this daemon may have no link with yet.
type Links interface {
	connector.Connector
	// RequestVia sends a request over a link that is opened if needed.
	RequestVia(ctx context.Context, to connector.Peer, kind uint32, m, reply proto.Message) error
}

// NewFleetSlots returns Slots for the whole fleet.
func NewFleetSlots(c Links, m gossiper.Members, t timer.Service) *FleetSlots {
	s := &FleetSlots{local: NewLocalSlots(t), members: m, connector: c}
	connector.Serve(c, peer.TypeSlots, func(ctx context.Context, _ unit.HostID, r *peer.SlotRequest) (proto.Message, error) {
		b, f := unit.BackendID(r.GetBackend()), Fingerprint(r.GetFingerprint())
		if r.GetFree() {
			s.local.Free(b, f)
			return &peer.SlotReply{}, nil
		}
		return &peer.SlotReply{Held: s.local.Take(ctx, b, f)}, nil
	})
	return s
}

// Take returns true if the home daemon holds the slot for the request. Without
// an answer the suspect waits; membership chooses another home within seconds.
func (s *FleetSlots) Take(ctx context.Context, b unit.BackendID, f Fingerprint) bool {
	home, remote := s.home(b)
	if !remote {
		return s.local.Take(ctx, b, f)
	}
	var reply peer.SlotReply
	return s.ask(ctx, home, &peer.SlotRequest{Backend: string(b), Fingerprint: uint64(f)}, &reply) == nil && reply.GetHeld()
}

// Free gives the slot back; a lost message costs at most slotLimit.
func (s *FleetSlots) Free(b unit.BackendID, f Fingerprint) {
	home, remote := s.home(b)
	if !remote {
		s.local.Free(b, f)
		return
	}
	go func() {
		_ = s.ask(context.Background(), home, &peer.SlotRequest{Backend: string(b), Fingerprint: uint64(f), Free: true}, &peer.SlotReply{})
	}()
}

func (s *FleetSlots) ask(ctx context.Context, home gossiper.Member, m *peer.SlotRequest, reply *peer.SlotReply) error {
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	return s.connector.RequestVia(ctx, connector.Peer{Host: home.Host, Address: home.Address}, peer.TypeSlots, m, reply)
}

// home returns the home daemon of a backend server's slot and whether it is
// another daemon.
func (s *FleetSlots) home(b unit.BackendID) (gossiper.Member, bool) {
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
