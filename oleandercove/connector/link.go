package connector

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/unit"
	"oleandercove.example/wire/peer"
)

const (
	// queueLength bounds the messages queued for one connection.
	queueLength = 512
	// queueBytes bounds the bytes of these messages.
	queueBytes = 8 << 20
	// batchBytes is the size from which no more queued messages are added to a write.
	batchBytes = 64 << 10
	// maxRequests bounds the requests of one connection that are handled at a time.
	maxRequests = 16
	// requestLimit bounds the time of one request.
	requestLimit = 10 * time.Second
)

// heartbeat is the encoding of an empty Frame.
var heartbeat = []byte{0}

// conn is one connection to a peer.
type conn struct {
	host      unit.HostID
	version   uint32
	session   *yamux.Session
	control   net.Conn
	reader    *bufio.Reader
	dialled   bool
	probe     bool
	opened    time.Time
	lastHeard time.Time

	queue        chan []byte
	pendingBytes atomic.Int64
}

// send queues an encoded message, or returns ErrQueueFull.
func (n *conn) send(b []byte) error {
	if n.pendingBytes.Add(int64(len(b))) > queueBytes {
		n.pendingBytes.Add(-int64(len(b)))
		return ErrQueueFull
	}
	select {
	case n.queue <- b:
		return nil
	default:
		n.pendingBytes.Add(-int64(len(b)))
		return ErrQueueFull
	}
}

// writeLoop sends queued messages until the connection closes or ctx is done. If
// none is queued for HeartbeatInterval, it sends a heartbeat, except on a connection
// that a newer one has replaced.
func (c *TLSConnector) writeLoop(ctx context.Context, n *conn) {
	defer n.session.Close()
	for {
		var b []byte
		select {
		case b = <-n.queue:
			n.pendingBytes.Add(-int64(len(b)))
			b = n.coalesce(b, &c.traffic)
		case <-c.options.Timer.After(HeartbeatInterval):
			if !c.isCurrent(n) {
				continue
			}
			b = heartbeat
		case <-n.session.CloseChan():
			return
		case <-ctx.Done():
			return
		}
		c.traffic.messagesSent.Add(1)
		if _, err := n.control.Write(b); err != nil {
			return
		}
	}
}

// coalesce appends queued messages to b for one write, up to about batchBytes.
func (n *conn) coalesce(b []byte, t *counters) []byte {
	b = b[:len(b):len(b)] // a published message may be shared
	for len(b) < batchBytes {
		select {
		case more := <-n.queue:
			n.pendingBytes.Add(-int64(len(more)))
			t.messagesSent.Add(1)
			b = append(b, more...)
		default:
			return b
		}
	}
	return b
}

// readLoop handles messages until the connection closes.
func (c *TLSConnector) readLoop(ctx context.Context, n *conn) {
	defer n.session.Close()
	for {
		body, err := readMessage(n.reader)
		if err != nil {
			return
		}
		c.traffic.messagesReceived.Add(1)
		c.markHeard(n)
		var f peer.Frame
		if proto.Unmarshal(body, &f) != nil {
			return
		}
		h, ok := c.handlers[f.Type]
		if !ok {
			// A heartbeat, or a message type of a newer release.
			continue
		}
		if _, err := h(ctx, n.host, f.Body); err != nil {
			c.options.Log.Debug("could not handle a peer's message", "peer", n.host, "type", f.Type, "err", err)
		}
	}
}

// serveRequests handles requests, each on its own stream, until the session closes.
func (c *TLSConnector) serveRequests(ctx context.Context, n *conn) {
	slots := make(chan struct{}, maxRequests)
	for {
		s, err := n.session.Accept()
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			defer s.Close()
			_ = s.SetDeadline(time.Now().Add(requestLimit))
			c.answerRequest(ctx, n, s)
		}()
	}
}

func (c *TLSConnector) answerRequest(ctx context.Context, n *conn, s net.Conn) {
	body, err := readMessage(newReader(s))
	if err != nil {
		return
	}
	c.traffic.messagesReceived.Add(1)
	var f peer.Frame
	if proto.Unmarshal(body, &f) != nil {
		return
	}
	reply := &peer.Frame{Type: f.Type}
	if h, ok := c.handlers[f.Type]; !ok {
		reply.Fault = "unknown message type"
	} else if m, err := h(ctx, n.host, f.Body); err != nil {
		reply.Fault = err.Error()
	} else if m != nil {
		reply.Body, _ = proto.Marshal(m)
	}
	c.traffic.messagesSent.Add(1)
	_ = writeMessage(s, reply)
}

// Publish queues a message.
func (c *TLSConnector) Publish(to unit.HostID, kind uint32, m proto.Message) error {
	n := c.conn(to)
	if n == nil {
		return ErrNoLink
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	b, err := encode(&peer.Frame{Type: kind, Body: body})
	if err != nil {
		return err
	}
	return n.send(b)
}

// Request sends a message and waits for the reply.
func (c *TLSConnector) Request(ctx context.Context, to unit.HostID, kind uint32, m, reply proto.Message) error {
	n := c.conn(to)
	if n == nil {
		return ErrNoLink
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	s, err := n.session.Open()
	if err != nil {
		return err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	_ = s.SetDeadline(time.Now().Add(requestLimit))
	if err := writeMessage(s, &peer.Frame{Type: kind, Body: body}); err != nil {
		return err
	}
	c.traffic.messagesSent.Add(1)
	return c.readReply(s, reply)
}

func (c *TLSConnector) readReply(s net.Conn, reply proto.Message) error {
	body, err := readMessage(newReader(s))
	if err != nil {
		return err
	}
	c.traffic.messagesReceived.Add(1)
	var f peer.Frame
	if err := proto.Unmarshal(body, &f); err != nil {
		return err
	}
	if f.Fault != "" {
		return errors.New(f.Fault)
	}
	return proto.Unmarshal(f.Body, reply)
}
