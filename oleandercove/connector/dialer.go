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
	// dialLimit bounds one attempt.
	dialLimit = 1500 * time.Millisecond
	// firstDelay and lastDelay bound the backoff between attempts.
	firstDelay = 100 * time.Millisecond
	lastDelay  = 5 * time.Second
	// yieldDelay lets the daemon with the smaller name dial first, so that two
	// daemons that want each other rarely open two connections.
	yieldDelay = 250 * time.Millisecond
)

// link is what the connector knows of one peer.
type link struct {
	address string
	// overlay and extra say who wants the link.
	overlay bool
	extra   bool
	heard   time.Time
	// conns holds the open connections; messages go to the last one.
	conns    []*conn
	dialling bool
	next     time.Time
	failures int
	delay    *backoff.ExponentialBackOff
}

func newLink(now time.Time) *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstDelay, lastDelay
	return &link{heard: now, delay: b}
}

// wanted tells whether the link is to be kept open.
func (l *link) wanted() bool { return l.overlay || l.extra }

// Want replaces the set of peers to keep links with.
func (c *Default) Want(peers []Peer) {
	c.replace(peers, func(l *link, wanted bool) { l.overlay = wanted })
}

// WantExtra replaces the set of peers to keep links with besides those of Want.
func (c *Default) WantExtra(peers []Peer) {
	c.replace(peers, func(l *link, wanted bool) { l.extra = wanted })
}

func (c *Default) replace(peers []Peer, mark func(l *link, wanted bool)) {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.peers {
		mark(l, false)
	}
	for _, p := range peers {
		l := c.peers[p.Host]
		if l == nil {
			l = newLink(now)
			if c.options.Host > p.Host {
				l.next = now.Add(yieldDelay)
			}
			c.peers[p.Host] = l
		}
		if l.address != p.Address {
			l.address, l.failures, l.next = p.Address, 0, now
			l.delay.Reset()
		}
		mark(l, true)
	}
}

// tick dials what is missing or silent and closes what is stale.
func (c *Default) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	paused := !c.ticked.IsZero() && now.Sub(c.ticked) > pauseLimit
	c.ticked = now
	for host, l := range c.peers {
		if paused {
			l.heard = now
			for _, n := range l.conns {
				n.heard = now
			}
		}
		c.prune(l, now)
		if !l.wanted() && len(l.conns) == 0 {
			delete(c.peers, host)
			continue
		}
		silent := len(l.conns) == 0 || now.Sub(l.heard) > silenceLimit
		if l.wanted() && silent && !l.dialling && !now.Before(l.next) {
			l.dialling = true
			c.wg.Add(1)
			go c.dial(c.ctx, host, l)
		}
	}
}

// prune closes connections that nothing was received on, and links that this
// daemon opened and no longer wants.
func (c *Default) prune(l *link, now time.Time) {
	for _, n := range l.conns {
		unwanted := n.dialled && !l.wanted() && now.Sub(n.opened) > unwantedLimit
		if unwanted || now.Sub(n.heard) > staleLimit {
			go n.session.Close()
		}
	}
}

func (c *Default) dial(ctx context.Context, host unit.HostID, l *link) {
	defer c.wg.Done()
	c.mu.Lock()
	address := l.address
	c.mu.Unlock()
	n, err := c.open(ctx, address, false)
	c.mu.Lock()
	l.dialling = false
	if err != nil {
		l.failures++
		l.next = c.options.Timer.Now().Add(l.delay.NextBackOff())
		c.mu.Unlock()
		c.options.Log.Debug("could not open a link", "peer", host, "address", address, "err", err)
		return
	}
	c.mu.Unlock()
	c.adopt(n)
}

func (c *Default) open(ctx context.Context, address string, probe bool) (*conn, error) {
	c.traffic.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	raw, err := c.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.greet(ctx, raw, true, probe)
}

// Join opens a link to an address whose daemon is not known yet.
func (c *Default) Join(ctx context.Context, address string) (unit.HostID, error) {
	n, err := c.open(ctx, address, false)
	if err != nil {
		return "", err
	}
	c.adopt(n)
	return n.host, nil
}

// Probe completes a handshake and closes the connection.
func (c *Default) Probe(ctx context.Context, address string) (unit.HostID, error) {
	n, err := c.open(ctx, address, true)
	if err != nil {
		return "", err
	}
	n.session.Close()
	return n.host, nil
}

// adopt makes a new connection the one that messages go to. Older connections
// to the same peer stay until they are silent.
func (c *Default) adopt(n *conn) {
	now := c.options.Timer.Now()
	n.queue, n.heard = make(chan []byte, queueLength), now
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
	l.heard, l.failures, l.next = now, 0, now
	l.delay.Reset()
	c.wg.Add(3)
	c.mu.Unlock()
	go func() { defer c.wg.Done(); c.write(ctx, n) }()
	go func() { defer c.wg.Done(); c.serve(ctx, n) }()
	go func() { defer c.wg.Done(); c.read(ctx, n); c.drop(n) }()
	if first {
		for _, fn := range c.onLink {
			fn(n.host)
		}
	}
}

func (c *Default) drop(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.peers[n.host]; l != nil {
		l.conns = slices.DeleteFunc(l.conns, func(o *conn) bool { return o == n })
	}
}

// heard notes a sign of life.
func (c *Default) heard(n *conn) {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n.heard = now
	if l := c.peers[n.host]; l != nil {
		l.heard = now
	}
}

// conn returns the connection that messages to a peer go to.
func (c *Default) conn(host unit.HostID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.peers[host]
	if l == nil || len(l.conns) == 0 {
		return nil
	}
	return l.conns[len(l.conns)-1]
}

func (c *Default) current(n *conn) bool { return c.conn(n.host) == n }

func (c *Default) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.peers {
		for _, n := range l.conns {
			go n.session.Close()
		}
	}
}

// RequestVia sends a request and opens a link for it if there is none.
func (c *Default) RequestVia(ctx context.Context, to Peer, kind uint32, m, reply proto.Message) error {
	if c.conn(to.Host) == nil {
		if _, err := c.Join(ctx, to.Address); err != nil {
			return err
		}
	}
	return c.Request(ctx, to.Host, kind, m, reply)
}
