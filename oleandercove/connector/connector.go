// Package connector keeps links between daemons open and carries messages and
// requests over them.
//
// A link is a TLS 1.3 connection with mutual certificates that is multiplexed
// by yamux: one long-lived stream carries messages and heartbeats, and each
// request has a stream of its own, so that a large reply delays no heartbeat.
// A link that goes silent is replaced by a new connection.
//
// Usage:
//
//	c := connector.New(connector.Options{Host: "entry-1", Listener: ln, TLS: t, Timer: s, Log: l})
//	connector.Subscribe(c, peer.TypeMembers, func(from unit.HostID, m *peer.Items) {})
//	go c.Run(ctx)
//	c.SetPeers([]connector.Peer{{Host: "entry-2", Address: b}})
package connector

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

const (
	// HeartbeatInterval is the longest time between two writes on a link. With
	// heartbeats of about 40 bytes, seven links cost 1 KB/s in each direction.
	HeartbeatInterval = 300 * time.Millisecond
	// silenceLimit is the silence after which a new connection is opened: two
	// lost heartbeats. With the tick added, detection takes less than 1 s.
	silenceLimit = 650 * time.Millisecond
	// tickInterval is the time between two checks of all links.
	tickInterval = 100 * time.Millisecond
	// pauseLimit is the gap between two ticks that shows that this process was
	// paused, so that the silence of its peers proves nothing.
	pauseLimit = 500 * time.Millisecond
	// staleLimit is the silence after which a replaced or dead connection is closed.
	staleLimit = 2 * time.Second
	// unwantedLimit is the time for which a connection that this daemon dialled
	// stays open although its link is not wanted, so that a joining daemon can read
	// the tables of its first peer.
	unwantedLimit = 5 * time.Second
)

var (
	// ErrNoLink is returned if there is no connection to the peer; nothing was sent.
	ErrNoLink = errors.New("no link to peer")
	// ErrQueueFull is returned if the peer receives messages too slowly; the message
	// was not sent.
	ErrQueueFull = errors.New("send queue to peer is full")
	// ErrMalformed is returned by a handler for a message that breaks the protocol.
	// The peer whose request it was receives only the text.
	ErrMalformed = errors.New("malformed message")
)

// Peer is a daemon and the address of its peer listener.
type Peer struct {
	Host    unit.HostID
	Address string
}

// Link is a snapshot of the link to one peer.
type Link struct {
	Host unit.HostID
	// LastHeard is the time of the last message; for a wanted peer that never
	// answered, it is the time from which the link was wanted.
	LastHeard time.Time
	Connected bool
	// Failures counts the failed dials since the last connection.
	Failures int
}

// Handler handles messages of one type; the reply to a message that is not a
// request is dropped. It runs on the reading goroutine of a connection, and for a
// request on a goroutine of its own.
type Handler func(ctx context.Context, from unit.HostID, body []byte) (proto.Message, error)

// Connector carries messages between daemons.
type Connector interface {
	// Handle registers the handler of a message type; call it before Run.
	Handle(kind uint32, h Handler)
	// OnLink registers fn, called when a peer without a connection gets one.
	OnLink(fn func(host unit.HostID))
	// Publish queues a message without waiting. It returns ErrNoLink without a
	// connection, and ErrQueueFull if it drops the message for a full queue.
	Publish(to unit.HostID, kind uint32, m proto.Message) error
	// Request sends a message and blocks until the reply arrives, ctx ends or 10 s
	// have passed. After an error other than ErrNoLink, the peer may have handled it.
	Request(ctx context.Context, to unit.HostID, kind uint32, m, reply proto.Message) error
	// SetPeers replaces the set of peers to keep links with.
	SetPeers(peers []Peer)
	// Join opens a link to an address whose daemon is not known yet, and returns its
	// host. It blocks until the handshake is complete, 1.5 s have passed or ctx is done.
	Join(ctx context.Context, address string) (unit.HostID, error)
	// Probe opens a connection, completes the handshake, closes the connection and
	// returns the host. It blocks as long as Join.
	Probe(ctx context.Context, address string) (unit.HostID, error)
	// Links returns a snapshot of all links.
	Links() []Link
	// Traffic returns the traffic of all connections so far.
	Traffic() Traffic
}

// Options configures a TLSConnector.
type Options struct {
	Host unit.HostID
	// Listener accepts the connections of peers.
	Listener net.Listener
	TLS      *Credentials
	Timer    timer.Service
	Log      *log.Logger
	// MinVersion and MaxVersion override the protocol versions, for tests.
	MinVersion, MaxVersion uint32
	// Dial overrides the TCP dialer, for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// TLSConnector is the Connector over TLS and yamux.
type TLSConnector struct {
	options  Options
	traffic  counters
	handlers map[uint32]Handler
	onLink   []func(unit.HostID)

	mu       sync.Mutex
	ctx      context.Context
	peers    map[unit.HostID]*link
	lastTick time.Time
	wg       sync.WaitGroup
}

// New returns a connector; Run starts it.
func New(o Options) *TLSConnector {
	if o.MaxVersion == 0 {
		o.MinVersion, o.MaxVersion = minVersion, maxVersion
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return &TLSConnector{
		options: o, handlers: map[uint32]Handler{}, peers: map[unit.HostID]*link{}, ctx: context.Background(),
	}
}

// Handle registers the handler of a message type.
func (c *TLSConnector) Handle(kind uint32, h Handler) { c.handlers[kind] = h }

// OnLink registers a function that is called when a peer without a connection gets
// one.
func (c *TLSConnector) OnLink(fn func(host unit.HostID)) { c.onLink = append(c.onLink, fn) }

// Subscribe registers a typed handler for messages without a reply.
func Subscribe[T any, P interface {
	*T
	proto.Message
}](c Connector, kind uint32, fn func(from unit.HostID, m P),
) {
	Serve(c, kind, func(_ context.Context, from unit.HostID, m P) (proto.Message, error) {
		fn(from, m)
		return nil, nil
	})
}

// Serve registers a typed handler that replies to requests.
func Serve[T any, P interface {
	*T
	proto.Message
}](c Connector, kind uint32, fn func(ctx context.Context, from unit.HostID, m P) (proto.Message, error),
) {
	c.Handle(kind, func(ctx context.Context, from unit.HostID, body []byte) (proto.Message, error) {
		m := P(new(T))
		if err := proto.Unmarshal(body, m); err != nil {
			return nil, trace.Wrap(err)
		}
		return fn(ctx, from, m)
	})
}

// Run accepts and opens links. It blocks until ctx is done and the loops of all
// connections have ended.
func (c *TLSConnector) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	c.wg.Add(1)
	go c.accept(ctx)
	for ctx.Err() == nil {
		c.tick(c.options.Timer.Now())
		_ = c.options.Timer.Sleep(ctx, tickInterval)
	}
	cancel()
	c.options.Listener.Close()
	c.closeAll()
	c.wg.Wait()
}

func (c *TLSConnector) accept(ctx context.Context) {
	defer c.wg.Done()
	for ctx.Err() == nil {
		raw, err := c.options.Listener.Accept()
		if err != nil {
			_ = c.options.Timer.Sleep(ctx, tickInterval)
			continue
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			n, err := c.establish(ctx, raw, false, false)
			if err != nil {
				c.options.Log.Debug("rejected an incoming link", "err", err)
				return
			}
			if n.probe {
				<-n.session.CloseChan()
				return
			}
			c.addConn(n)
		}()
	}
}

// Links returns a snapshot of all links.
func (c *TLSConnector) Links() []Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Link, 0, len(c.peers))
	for h, l := range c.peers {
		out = append(out, Link{Host: h, LastHeard: l.lastHeard, Connected: len(l.conns) > 0, Failures: l.failures})
	}
	return out
}

// Traffic returns the traffic of all connections so far.
func (c *TLSConnector) Traffic() Traffic { return c.traffic.snapshot() }
