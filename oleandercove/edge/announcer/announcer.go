// Package announcer exchanges beacons with the other daemons of the fleet. A beacon is
// a datagram with the sender's load, the backend servers that are down or leaving,
// crash records, and the revision and age of its configuration. What a daemon receives
// is merged into its own state.
//
// A daemon that the store refuses may rely on a peer that the store serves. The peer
// echoes the number of this daemon's last beacon and the time since its receipt. A
// configuration counts as confirmed at the time at which this daemon sent that beacon,
// plus the time since its receipt, minus the age that the peer states. So no clocks are
// compared between hosts, and a delayed datagram only makes the confirmation look older.
//
// Each daemon sends to a bounded number of peers in each interval. Bytes between data
// centres are paid, so load is exchanged as follows:
//   - The load of a single daemon stays within its data centre.
//   - Two daemons of each data centre, its aggregators, send the aggregate load of the
//     data centre to the aggregators of the others, and pass the summaries that they
//     receive on to the daemons of their own data centre.
//
// Usage:
//
//	a := announcer.New(announcer.Options{Host: "entry-1", Address: "10.1.0.40:7340", ...})
//	go a.Run(ctx)
package announcer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/budgeter"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/follower"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/wire/peer"
)

const (
	// beaconInterval is the time between two beacons.
	beaconInterval = 250 * time.Millisecond
	// fanOut bounds the peers of this data centre, and those of all others, that get a
	// beacon in each interval.
	fanOut = 16
	// minLivenessTimeout is how long a peer counts as live without a beacon, and
	// maxMissedBeacons the number of beacons that may be missed where that takes
	// longer. Each daemon sends to fanOut peers at a time, so in a large fleet the
	// beacons of one peer are rare.
	minLivenessTimeout = 3 * time.Second
	maxMissedBeacons   = 4
	// peerExpiry is the time without a beacon after which a peer is removed and no
	// longer sent beacons.
	peerExpiry = 60 * time.Second
	// maxDatagram bounds a received beacon, in bytes.
	maxDatagram = 64 << 10
)

// EngineState is what the holder of the placement lease has read from an engine.
type EngineState struct {
	Server unit.BackendID
	// Slowdown is the factor by which the engine is slower than usual; zero if unknown.
	Slowdown float64
	// Held is a range of which the engine will keep only the range Kept. Held is empty
	// if the engine keeps all its layers.
	Held, Kept backend.Layers
}

// Options configures an Announcer.
type Options struct {
	Host       unit.HostID
	DataCentre unit.DataCentre
	// Address is where this daemon receives beacons.
	Address string
	// PeerAddress is where this daemon answers requests of peers.
	PeerAddress string
	// Seeds are beacon addresses that may belong to daemons.
	Seeds     []string
	Registry  Registry
	Directory *directory.Directory
	Judge     *judge.Judge
	Ledger    *ledger.Ledger
	Budgeter  *budgeter.Budgeter
	Screener  *screener.Screener
	Timer     timer.Service
	Log       *log.Logger
	// HasServedModel reports whether this daemon has forwarded a model request.
	HasServedModel func() bool
	// EngineStates returns the engine states that this daemon read as holder of the
	// placement lease.
	EngineStates func() []EngineState
	// ProbeReported starts a probe of a backend server that a peer has reported down.
	ProbeReported func(unit.BackendID)
	// FetchConfiguration returns the revision and the compressed configuration of a peer.
	FetchConfiguration func(ctx context.Context, address string) (unit.Revision, []byte, error)
}

// Announcer exchanges beacons with peers.
type Announcer struct {
	Options
	incarnation uint64
	started     time.Time
	conn        *net.UDPConn

	mu sync.Mutex
	// settledAt is the time from which the peers count as discovered.
	settledAt time.Time
	// lastNumber is the number of the last beacon that was sent.
	lastNumber uint64
	// sentAt holds the times at which the last beacons were sent, by number.
	sentAt [64]time.Time
	peers  map[string]*peerState
	// summaries holds the load summaries of other data centres.
	summaries map[unit.DataCentre]*centreSummary
	leaving   bool
	fetches   chan configurationFetch
}

// New returns an Announcer that listens on its address. It fails if the address is
// invalid or in use.
func New(o Options) (*Announcer, error) {
	addr, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	a := &Announcer{
		Options: o, incarnation: rand.Uint64() | 1, started: o.Timer.Now(), conn: conn,
		peers: map[string]*peerState{}, summaries: map[unit.DataCentre]*centreSummary{}, fetches: make(chan configurationFetch, 1),
	}
	a.settleAfter(fleetStartSettleTime)
	for _, s := range o.Seeds {
		a.addPeer(s)
	}
	return a, nil
}

// IsSeed reports whether this daemon is one of the seeds, whose addresses all daemons of a
// fleet have from their start.
func (a *Announcer) IsSeed() bool { return slices.Contains(a.Seeds, a.Address) }

// LiveHostCount returns the number of live daemons, this one included.
func (a *Announcer) LiveHostCount() int { return len(a.LiveHosts()) }

// LiveHosts returns the live daemons, this one included.
func (a *Announcer) LiveHosts() []unit.HostID {
	out := []unit.HostID{a.Host}
	for _, p := range a.LivePeers() {
		out = append(out, p.Host)
	}
	return out
}

// LivePeers returns the live daemons other than this one.
func (a *Announcer) LivePeers() []follower.Peer {
	now := a.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []follower.Peer
	for _, p := range a.peers {
		if p.isLive(now) {
			out = append(out, follower.Peer{Host: p.host, Address: p.address})
		}
	}
	return out
}

// knownPeers returns the number of peers that have not announced that they leave. Peers
// that are not live count too, because right after the start no beacon has arrived yet.
func (a *Announcer) knownPeers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.peers {
		if !p.leaving {
			n++
		}
	}
	return n
}

// AnyServedModel reports whether any daemon has forwarded a model request.
func (a *Announcer) AnyServedModel() bool {
	if a.Options.HasServedModel() {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.servedModel {
			return true
		}
	}
	return false
}

// AnnounceLeaving notifies all peers that this daemon shuts down.
func (a *Announcer) AnnounceLeaving() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.FlushNow()
}

// Run sends and receives beacons. It blocks until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	stop := a.Timer.Subscribe(beaconInterval, func(time.Time) { a.sendRound(a.Timer.Now()) })
	defer stop()
	go a.runRegistration(ctx)
	go a.runFetches(ctx)
	context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := a.conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// A datagram to a peer that no longer listens comes back as an error here.
			a.Log.Debug("beacon receive failed", "err", err)
			_ = a.Timer.Sleep(ctx, time.Millisecond)
			continue
		}
		a.receive(buf[:n], from)
	}
}

// NotifyDown sends beacons to all peers at once after this daemon has found a server to
// be down, unless a live peer has reported that already.
//
// Load pattern: some engines of one copy stop answering together. Each daemon
// detects them only by its own streams, and meanwhile chooses chains over those that it
// has not detected; regular beacons take up to a second to reach a large fleet.
func (a *Announcer) NotifyDown(id unit.BackendID) {
	if !a.reportedDown(id) {
		a.FlushNow()
	}
}

// reportedDown reports whether the last beacon of a live peer listed the server as
// down.
func (a *Announcer) reportedDown(id unit.BackendID) bool {
	now := a.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.down[id] && p.isLive(now) {
			return true
		}
	}
	return false
}

// FlushNow sends a beacon to all peers at once, in addition to the regular beacons.
func (a *Announcer) FlushNow() {
	now := a.Timer.Now()
	a.mu.Lock()
	all := make([]peerState, 0, len(a.peers))
	for _, p := range a.peers {
		all = append(all, *p)
	}
	a.mu.Unlock()
	a.sendTo(all, now)
}

// sendRound sends the regular beacon to a bounded number of peers and expires old
// entries of the ledger.
func (a *Announcer) sendRound(now time.Time) {
	a.Ledger.Expire(now)
	a.Ledger.SetOtherDaemons(a.knownPeers())
	a.Ledger.NextRound()
	a.sendTo(a.targets(now), now)
}

func (a *Announcer) sendTo(peers []peerState, now time.Time) {
	data, err := proto.Marshal(a.newBeacon(now))
	if err != nil {
		a.Log.Error("beacon encoding failed", "err", err)
		return
	}
	report := a.collectLoads(now)
	for _, p := range peers {
		part := report.partFor(p)
		part.Echo, part.EchoIncarnation, part.EchoMs = p.lastNumber, p.incarnation, uint64(now.Sub(p.lastHeard).Milliseconds())
		// Concatenated encodings of a message are decoded as one message.
		datagram, err := proto.MarshalOptions{}.MarshalAppend(data[:len(data):len(data)], part)
		if err != nil {
			a.Log.Error("beacon encoding failed", "err", err)
			return
		}
		if _, err := a.conn.WriteToUDP(datagram, p.udp); err != nil {
			a.Log.Debug("beacon send failed", "peer", p.host, "err", err)
		}
	}
}

// targets returns copies of the peers that get the next beacon: a bounded number of
// those in this data centre and of those in all others. It removes peers that have
// been silent for longer than peerExpiry.
func (a *Announcer) targets(now time.Time) []peerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sameCentre, otherCentres []*peerState
	for address, p := range a.peers {
		switch {
		case now.Sub(p.lastHeard) > peerExpiry:
			delete(a.peers, address)
		case p.dataCentre == a.DataCentre:
			sameCentre = append(sameCentre, p)
		default:
			otherCentres = append(otherCentres, p)
		}
	}
	return append(sample(sameCentre), sample(otherCentres)...)
}

// sample returns copies of up to fanOut random peers of a list. It sets the liveness
// timeout of all peers of the list according to its length.
func sample(list []*peerState) []peerState {
	for _, p := range list {
		p.livenessTimeout = livenessTimeoutFor(len(list))
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	out := make([]peerState, 0, fanOut)
	for _, p := range list[:min(fanOut, len(list))] {
		out = append(out, *p)
	}
	return out
}

// newBeacon returns the part of a beacon that is the same for all receivers, with the
// next number.
func (a *Announcer) newBeacon(now time.Time) *peer.Beacon {
	b := &peer.Beacon{Host: string(a.Host), DataCentre: string(a.DataCentre), Address: a.PeerAddress, Incarnation: a.incarnation, Served: a.Options.HasServedModel()}
	if conf := a.Directory.Configuration(); conf != nil {
		b.Revision, b.ConfirmedMs = uint64(conf.Revision), uint64(max(0, now.Sub(conf.ConfirmedAt).Milliseconds())+1)
	}
	for _, x := range a.Judge.Exclusions(now) {
		b.Marks = append(b.Marks, &peer.DownMark{Server: string(x.Server), LeftMs: uint32(x.Remaining.Milliseconds())})
	}
	for _, e := range a.EngineStates() {
		b.Engines = append(b.Engines, &peer.EngineState{
			Server: string(e.Server), Slowdown: uint32(e.Slowdown * 100),
			From: int32(e.Held.From), To: int32(e.Held.To), KeepFrom: int32(e.Kept.From), KeepTo: int32(e.Kept.To),
		})
	}
	for _, notice := range a.Directory.LeavingNotices(now) {
		b.LeavingServers = append(b.LeavingServers, &peer.LeavingMark{
			Server: string(notice.Server), Born: int64(notice.Born), AgeMs: uint32(max(0, now.Sub(notice.At).Milliseconds())),
		})
	}
	b.Crashes = encodeCrashes(a.Screener.Records(now), now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	a.sentAt[a.lastNumber%uint64(len(a.sentAt))] = now
	b.Number, b.Leaving = a.lastNumber, a.leaving
	return b
}
