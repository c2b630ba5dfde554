package connector

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/unit"
)

const (
	// dialLimit bounds one attempt to connect, with the handshake.
	dialLimit = 1500 * time.Millisecond
	// minDialBackoff and maxDialBackoff bound the backoff between attempts.
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 5 * time.Second
	// yieldDelay delays the first dial of the daemon with the greater host name, so
	// that two daemons that both want the link rarely open two connections.
	yieldDelay = 250 * time.Millisecond
)

// link is the state of the link to one peer.
type link struct {
	address string
	// overlay is set by SetPeers, extra by SetExtraPeers.
	overlay   bool
	extra     bool
	lastHeard time.Time
	// conns holds the open connections; messages are sent on the last one.
	conns       []*conn
	dialling    bool
	nextDial    time.Time
	failures    int
	dialBackoff *backoff.ExponentialBackOff
}

func newLink(now time.Time) *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minDialBackoff, maxDialBackoff
	return &link{lastHeard: now, dialBackoff: b}
}

// wanted reports whether the link is to be kept open.
func (l *link) wanted() bool { return l.overlay || l.extra }

// SetPeers replaces the set of peers to keep links with.
func (c *TLSConnector) SetPeers(peers []Peer) {
	c.replaceWanted(peers, func(l *link, wanted bool) { l.overlay = wanted })
}

// SetExtraPeers replaces the set of peers to keep links with besides those of SetPeers.
func (c *TLSConnector) SetExtraPeers(peers []Peer) {
	c.replaceWanted(peers, func(l *link, wanted bool) { l.extra = wanted })
}

func (c *TLSConnector) replaceWanted(peers []Peer, setWanted func(l *link, wanted bool)) {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.peers {
		setWanted(l, false)
	}
	for _, p := range peers {
		l := c.peers[p.Host]
		if l == nil {
			l = newLink(now)
			if c.options.Host > p.Host {
				l.nextDial = now.Add(yieldDelay)
			}
			c.peers[p.Host] = l
		}
		if l.address != p.Address {
			l.address, l.failures, l.nextDial = p.Address, 0, now
			l.dialBackoff.Reset()
		}
		setWanted(l, true)
	}
}

// tick dials the missing and silent links and closes stale connections.
func (c *TLSConnector) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	paused := !c.lastTick.IsZero() && now.Sub(c.lastTick) > pauseLimit
	c.lastTick = now
	for host, l := range c.peers {
		if paused {
			l.lastHeard = now
			for _, n := range l.conns {
				n.lastHeard = now
			}
		}
		c.closeStale(l, now)
		if !l.wanted() && len(l.conns) == 0 {
			delete(c.peers, host)
			continue
		}
		silent := len(l.conns) == 0 || now.Sub(l.lastHeard) > silenceLimit
		if l.wanted() && silent && !l.dialling && !now.Before(l.nextDial) {
			l.dialling = true
			c.wg.Add(1)
			go c.dial(c.ctx, host, l)
		}
	}
}

// closeStale closes silent connections, and those that this daemon dialled for a
// link that is not wanted.
func (c *TLSConnector) closeStale(l *link, now time.Time) {
	for _, n := range l.conns {
		unwanted := n.dialled && !l.wanted() && now.Sub(n.opened) > unwantedLimit
		if unwanted || now.Sub(n.lastHeard) > staleLimit {
			go n.session.Close()
		}
	}
}

func (c *TLSConnector) dial(ctx context.Context, host unit.HostID, l *link) {
	defer c.wg.Done()
	c.mu.Lock()
	address := l.address
	c.mu.Unlock()
	n, err := c.openConn(ctx, address, false)
	c.mu.Lock()
	l.dialling = false
	if err != nil {
		l.failures++
		l.nextDial = c.options.Timer.Now().Add(l.dialBackoff.NextBackOff())
		c.mu.Unlock()
		c.options.Log.Debug("could not open a link", "peer", host, "address", address, "err", err)
		return
	}
	c.mu.Unlock()
	c.addConn(n)
}

func (c *TLSConnector) openConn(ctx context.Context, address string, probe bool) (*conn, error) {
	c.traffic.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	raw, err := c.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.establish(ctx, raw, true, probe)
}

// Join opens a link to an address whose daemon is not known yet, and returns its host.
func (c *TLSConnector) Join(ctx context.Context, address string) (unit.HostID, error) {
	n, err := c.openConn(ctx, address, false)
	if err != nil {
		return "", err
	}
	c.addConn(n)
	return n.host, nil
}

// Probe completes a handshake, closes the connection and returns the host.
func (c *TLSConnector) Probe(ctx context.Context, address string) (unit.HostID, error) {
	n, err := c.openConn(ctx, address, true)
	if err != nil {
		return "", err
	}
	n.session.Close()
	return n.host, nil
}

// addConn adds a connection, which from now on carries the messages to its peer.
// Older connections to the same peer stay open until they are silent.
func (c *TLSConnector) addConn(n *conn) {
	now := c.options.Timer.Now()
	n.queue, n.lastHeard = make(chan []byte, queueLength), now
	c.mu.Lock()
	ctx := c.ctx
	if ctx.Err() != nil {
		c.mu.Unlock()
		n.session.Close()
		return
	}
	l := c.peers[n.host]
	if l == nil {
		l = newLink(now)
		c.peers[n.host] = l
	}
	first := len(l.conns) == 0
	l.conns = append(l.conns, n)
	l.lastHeard, l.failures, l.nextDial = now, 0, now
	l.dialBackoff.Reset()
	c.wg.Add(3)
	c.mu.Unlock()
	go func() { defer c.wg.Done(); c.writeLoop(ctx, n) }()
	go func() { defer c.wg.Done(); c.serveRequests(ctx, n) }()
	go func() { defer c.wg.Done(); c.readLoop(ctx, n); c.removeConn(n) }()
	if first {
		for _, fn := range c.onLink {
			fn(n.host)
		}
	}
}

func (c *TLSConnector) removeConn(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.peers[n.host]; l != nil {
		l.conns = slices.DeleteFunc(l.conns, func(o *conn) bool { return o == n })
	}
}

// markHeard records that a message arrived on a connection now.
func (c *TLSConnector) markHeard(n *conn) {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n.lastHeard = now
	if l := c.peers[n.host]; l != nil {
		l.lastHeard = now
	}
}

// conn returns the connection that messages to a peer are sent on; nil if none.
func (c *TLSConnector) conn(host unit.HostID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.peers[host]
	if l == nil || len(l.conns) == 0 {
		return nil
	}
	return l.conns[len(l.conns)-1]
}

func (c *TLSConnector) isCurrent(n *conn) bool { return c.conn(n.host) == n }

func (c *TLSConnector) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.peers {
		for _, n := range l.conns {
			go n.session.Close()
		}
	}
}

// RequestWithDial sends a request; if there is no link to the peer, it opens one first.
func (c *TLSConnector) RequestWithDial(ctx context.Context, to Peer, kind uint32, m, reply proto.Message) error {
	if c.conn(to.Host) == nil {
		if _, err := c.Join(ctx, to.Address); err != nil {
			return err
		}
	}
	return c.Request(ctx, to.Host, kind, m, reply)
}
