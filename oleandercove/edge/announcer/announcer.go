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
//   - The passes of parts of prompts take the same way.
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

	"oleandercove.example/core/backend"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/budgeter"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/follower"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/edge/surveyor"
	"oleandercove.example/oleandercove/edge/throttler"
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
	// Capacity is what this host can carry for other daemons.
	Capacity follower.Capacity
	// Seeds are beacon addresses that may belong to daemons.
	Seeds     []string
	Registry  Registry
	Directory *directory.Directory
	Judge     *judge.Judge
	Ledger    *ledger.Ledger
	Budgeter  *budgeter.Budgeter
	Screener  *screener.Screener
	Throttler *throttler.Throttler
	Surveyor  *surveyor.Surveyor
	// Crossings counts the bytes of beacons to other data centres; nil counts none.
	Crossings *measurer.Measurer
	Timer     timer.Service
	Log       *log.Logger
	// HasServedModel reports whether this daemon has forwarded a model request.
	HasServedModel func() bool
	// EngineStates returns the engine states that this daemon read as holder of the
	// placement lease.
	EngineStates func() []EngineState
	// ProbeSuspect starts a probe of a backend server that a peer has reported down.
	ProbeSuspect func(unit.BackendID)
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
	// oddHosts are the odd registrations that have been logged. Only runRegistration uses it.
	oddHosts objects.OddObjects
	fetches  chan configurationFetch
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
		peers: map[string]*peerState{}, summaries: map[unit.DataCentre]*centreSummary{}, oddHosts: objects.OddObjects{}, fetches: make(chan configurationFetch, 1),
	}
	a.settleAfter(fleetStartSettleTime)
	for _, s := range o.Seeds {
		a.addSeed(s)
	}
	return a, nil
}

// IsSeed reports whether this daemon is one of the seeds, whose addresses all daemons of a
// fleet have from their start.
func (a *Announcer) IsSeed() bool { return slices.Contains(a.Seeds, a.Address) }

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
