// Package announcer tells peers by datagrams what a daemon believes, and takes
// over what they tell: load, backend servers that are down, and up to which time
// the configuration is confirmed.
//
// A daemon that the store refuses may rely on a peer that the store serves. The
// age of what a peer confirms is counted from before the beacon that the peer
// has answered was sent, so that no clocks are compared between hosts and a
// delayed datagram only makes knowledge look older.
//
// Each daemon sends to a bounded number of peers at each interval. Loads of single
// daemons stay within a data centre; two daemons of each one exchange the sums
// with those of the others and pass them on at home, because bytes between data
// centres are paid.
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
	// interval is the time between two beacons.
	interval = 250 * time.Millisecond
	// fanOut bounds the peers that get a beacon at each interval.
	fanOut = 16
	// silence is how long a peer counts as live without a beacon, and beaconsMissed
	// the number of beacons that may be missed where that takes longer. With fanOut
	// peers out of a large fleet, beacons of one peer come seldom.
	silence       = 3 * time.Second
	beaconsMissed = 4
	// forgetAfter is when a silent peer is no longer sent beacons.
	forgetAfter = 60 * time.Second
	// maxDatagram bounds a beacon that is read, in bytes.
	maxDatagram = 64 << 10
)

// EngineState is what the holder of the placement lease read from an engine.
type EngineState struct {
	Server unit.BackendID
	// Slowdown is zero if it says nothing.
	Slowdown float64
	// Held is a range of which the engine will keep only the range Kept; it is
	// empty if the engine keeps all its layers.
	Held, Kept backend.Layers
}

// Options configures an Announcer.
type Options struct {
	Host       unit.HostID
	DataCentre unit.DataCentre
	// Address is where beacons are received.
	Address string
	// PeerAddress is where the daemon answers requests of peers.
	PeerAddress string
	// Seeds are beacon addresses that may belong to daemons.
	Seeds     []string
	Store     Registry
	Directory *directory.Directory
	Judge     *judge.Judge
	Ledger    *ledger.Ledger
	Budgeter  *budgeter.Budgeter
	Screener  *screener.Screener
	Timer     timer.Service
	Log       *log.Logger
	// Served tells whether this daemon has passed on a model request.
	Served func() bool
	// Engines returns what this daemon read as holder of the placement lease.
	Engines func() []EngineState
	// Suspect checks a backend server that a peer holds to be down.
	Suspect func(unit.BackendID)
	// Fetch reads the compressed configuration of a peer.
	Fetch func(ctx context.Context, address string) (unit.Revision, []byte, error)
}

// Announcer exchanges beacons with peers.
type Announcer struct {
	Options
	incarnation uint64
	began       time.Time
	conn        *net.UDPConn

	mu sync.Mutex
	// settled is when the peers count as known.
	settled time.Time
	number  uint64
	// sent holds when the last beacons were sent, by number.
	sent    [64]time.Time
	peers   map[string]*remote
	foreign map[unit.DataCentre]*foreign
	leaving bool
	fetches chan fetch
}

// New returns an Announcer that listens on its address.
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
		Options: o, incarnation: rand.Uint64() | 1, began: o.Timer.Now(), conn: conn,
		peers: map[string]*remote{}, foreign: map[unit.DataCentre]*foreign{}, fetches: make(chan fetch, 1),
	}
	a.settleAfter(startTime)
	for _, s := range o.Seeds {
		a.know(s)
	}
	return a, nil
}

// Seed tells whether this daemon is one of the seeds, which all daemons of a fleet
// know from their start.
func (a *Announcer) Seed() bool { return slices.Contains(a.Seeds, a.Address) }

// Hosts returns the number of live daemons, this one included.
func (a *Announcer) Hosts() int { return len(a.Live()) }

// Live returns the live daemons, this one included.
func (a *Announcer) Live() []unit.HostID {
	out := []unit.HostID{a.Host}
	for _, p := range a.Peers() {
		out = append(out, p.Host)
	}
	return out
}

// Peers returns the live daemons other than this one.
func (a *Announcer) Peers() []follower.Peer {
	now := a.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []follower.Peer
	for _, p := range a.peers {
		if p.live(now) {
			out = append(out, follower.Peer{Host: p.host, Address: p.address})
		}
	}
	return out
}

// known returns the number of peers that are not known to have left, live or not: in
// the moment of a start none has been heard of.
func (a *Announcer) known() int {
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

// AnyServed tells whether any daemon has passed on a model request.
func (a *Announcer) AnyServed() bool {
	if a.Options.Served() {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.served {
			return true
		}
	}
	return false
}

// Leave tells all peers that this daemon shuts down.
func (a *Announcer) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.Urge()
}

// Run sends and receives beacons until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	stop := a.Timer.Subscribe(interval, func(time.Time) { a.send(a.Timer.Now()) })
	defer stop()
	go a.register(ctx)
	go a.fetchAll(ctx)
	context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := a.conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// A datagram to a peer that is gone comes back as an error here.
			a.Log.Debug("no beacon received", "err", err)
			_ = a.Timer.Sleep(ctx, time.Millisecond)
			continue
		}
		a.receive(buf[:n], from)
	}
}

// Found tells all peers at once that a server is down, unless one of them has told
// that already.
//
// Load pattern: some engines of one copy fall silent together. Each daemon finds out
// by its own streams and chooses chains over the others meanwhile; regular beacons
// reach a large fleet within a second only.
func (a *Announcer) Found(id unit.BackendID) {
	if !a.marked(id) {
		a.Urge()
	}
}

// marked tells whether a live peer holds a server to be down.
func (a *Announcer) marked(id unit.BackendID) bool {
	now := a.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.marks[id] && p.live(now) {
			return true
		}
	}
	return false
}

// Urge tells all peers at once, beside the regular beacons.
func (a *Announcer) Urge() {
	now := a.Timer.Now()
	a.mu.Lock()
	all := make([]remote, 0, len(a.peers))
	for _, p := range a.peers {
		all = append(all, *p)
	}
	a.mu.Unlock()
	a.sendTo(all, now)
}

// send tells a bounded number of peers what this daemon believes.
func (a *Announcer) send(now time.Time) {
	a.Ledger.Expire(now)
	a.Ledger.Round(a.known())
	a.sendTo(a.targets(now), now)
}

func (a *Announcer) sendTo(peers []remote, now time.Time) {
	data, err := proto.Marshal(a.beacon(now))
	if err != nil {
		a.Log.Error("beacon can't be encoded", "err", err)
		return
	}
	loads := a.loads(now)
	for _, p := range peers {
		extra := loads.of(p)
		extra.Echo, extra.EchoIncarnation, extra.EchoMs = p.number, p.incarnation, uint64(now.Sub(p.heard).Milliseconds())
		// Encoded messages that follow each other are read as one.
		full, err := proto.MarshalOptions{}.MarshalAppend(data[:len(data):len(data)], extra)
		if err != nil {
			a.Log.Error("beacon can't be encoded", "err", err)
			return
		}
		if _, err := a.conn.WriteToUDP(full, p.udp); err != nil {
			a.Log.Debug("beacon not sent", "peer", p.host, "err", err)
		}
	}
}

// targets returns copies of the peers that get the next beacon: a bounded
// number of those in the own data centre and of those elsewhere.
func (a *Announcer) targets(now time.Time) []remote {
	a.mu.Lock()
	defer a.mu.Unlock()
	var near, far []*remote
	for address, p := range a.peers {
		switch {
		case now.Sub(p.heard) > forgetAfter:
			delete(a.peers, address)
		case p.dataCentre == a.DataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return append(sample(near), sample(far)...)
}

// sample returns copies of a random part of a list, and notes how often peers of such
// a list are heard of.
func sample(list []*remote) []remote {
	for _, p := range list {
		p.silence = silenceOf(len(list))
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	out := make([]remote, 0, fanOut)
	for _, p := range list[:min(fanOut, len(list))] {
		out = append(out, *p)
	}
	return out
}

func (a *Announcer) beacon(now time.Time) *peer.Beacon {
	b := &peer.Beacon{Host: string(a.Host), DataCentre: string(a.DataCentre), Address: a.PeerAddress, Incarnation: a.incarnation, Served: a.Options.Served()}
	if k := a.Directory.Knowledge(); k != nil {
		b.Revision, b.ConfirmedMs = uint64(k.Revision), uint64(max(0, now.Sub(k.Confirmed).Milliseconds())+1)
	}
	for _, m := range a.Judge.Marks(now) {
		b.Marks = append(b.Marks, &peer.DownMark{Server: string(m.Server), LeftMs: uint32(m.Left.Milliseconds())})
	}
	for _, e := range a.Engines() {
		b.Engines = append(b.Engines, &peer.EngineState{
			Server: string(e.Server), Slowdown: uint32(e.Slowdown * 100),
			From: int32(e.Held.From), To: int32(e.Held.To), KeepFrom: int32(e.Kept.From), KeepTo: int32(e.Kept.To),
		})
	}
	for _, w := range a.Directory.LeavingNotices(now) {
		b.LeavingServers = append(b.LeavingServers, &peer.LeavingMark{
			Server: string(w.Server), Born: int64(w.Born), AgeMs: uint32(max(0, now.Sub(w.At).Milliseconds())),
		})
	}
	b.Crashes = encodeCrashes(a.Screener.Marks(now), now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.number++
	a.sent[a.number%uint64(len(a.sent))] = now
	b.Number, b.Leaving = a.number, a.leaving
	return b
}
