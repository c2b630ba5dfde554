package exchanger

import (
	"hash/maphash"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/receiver"
	"oleandercove.example/core/unit"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server states no
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the timeout that a server states.
	maxIdleTimeout = time.Minute
	// idleTimeoutPercent is the share of a timeout after which a connection is no
	// longer used, so that no request is sent while the server closes the connection.
	idleTimeoutPercent = 75
	// maxUnsuccessful is the number of unsuccessful requests after which a connection is
	// closed, because it remembers each of them. An overloaded server refuses hundreds of
	// requests a second, and a new connection for each of them would cost more than the
	// refusals.
	maxUnsuccessful = 64
)

var idSeed = maphash.MakeSeed()

// conn is a connection to a backend server.
type conn struct {
	*receiver.Conn
	receiver *receiver.Receiver
	// idleDeadline is when the idle connection is no longer used, before the server
	// closes it.
	idleDeadline time.Time
	// used is set once a request has been sent on the connection.
	used bool
	// unsuccessful holds hashes of the ids of the requests that received no success on the
	// connection and may therefore be sent again. Callers choose ids of any length.
	unsuccessful []uint64
}

func hashID(id unit.RequestID) uint64 { return maphash.String(idSeed, string(id)) }

// recordUnsuccessful records that a request received a response other than a success.
func (c *conn) recordUnsuccessful(id unit.RequestID) {
	c.unsuccessful = append(c.unsuccessful, hashID(id))
}

// isFull reports whether the connection has had maxUnsuccessful unsuccessful requests.
func (c *conn) isFull() bool { return len(c.unsuccessful) >= maxUnsuccessful }

// mayCarry reports whether a response on the connection could be matched to the request
// with the id. One without an id needs an unused connection.
func (c *conn) mayCarry(id unit.RequestID) bool {
	if id == "" {
		return !c.used
	}
	return !slices.Contains(c.unsuccessful, hashID(id))
}

// abort closes the connection. A failed close is ignored, because nothing can be done
// about it.
func (c *conn) abort() { _ = c.Close() }

// setIdleDeadline sets how long the connection may stay idle, from the server's
// Keep-Alive header such as "timeout=5, max=100".
func (c *conn) setIdleDeadline(header string, now time.Time) {
	idle := defaultIdleTimeout
	for _, part := range strings.Split(header, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				idle = time.Duration(min(n, int(maxIdleTimeout.Seconds()))) * time.Second
			}
		}
	}
	c.idleDeadline = now.Add(idle * idleTimeoutPercent / 100)
}

// isClean reports whether the server has neither closed the connection nor sent
// unrequested bytes.
func (c *conn) isClean() bool {
	sc, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// isUsable reports whether a request may be sent on the idle connection.
func (c *conn) isUsable(now time.Time) bool { return now.Before(c.idleDeadline) && c.isClean() }

// setUnackedTimeout lets the kernel close a connection whose peer no longer
// acknowledges sent bytes. Failures are ignored: a connection without the option only
// ends later.
func setUnackedTimeout(nc net.Conn, d time.Duration) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// pool holds idle connections by server.
type pool struct {
	maxPerServer int
	mu           sync.Mutex
	idle         map[backend.Address][]*conn
}

func newPool(maxIdle int) *pool {
	return &pool{maxPerServer: maxIdle, idle: map[backend.Address][]*conn{}}
}

// takeUsable returns the most recently used usable connection that may carry the request
// with the id, or nil. It closes those that are no longer usable.
func (p *pool) takeUsable(a backend.Address, id unit.RequestID, now time.Time) *conn {
	for {
		c := p.pop(a, id)
		if c == nil {
			return nil
		}
		if c.isUsable(now) {
			return c
		}
		c.abort()
	}
}

// pop removes and returns the most recently used connection that may carry the request with
// the id, or nil.
func (p *pool) pop(a backend.Address, id unit.RequestID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[a]
	for i, c := range slices.Backward(list) {
		if c.mayCarry(id) {
			p.idle[a] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection, or closes it if the server has maxPerServer of them.
func (p *pool) put(a backend.Address, c *conn) {
	p.mu.Lock()
	list := p.idle[a]
	if len(list) < p.maxPerServer {
		p.idle[a] = append(list, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.abort()
}

// closeUnusable closes the connections that are no longer usable.
func (p *pool) closeUnusable(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			if c.isUsable(now) {
				return false
			}
			c.abort()
			return true
		})
		p.idle[a] = list
		if len(list) == 0 {
			delete(p.idle, a)
		}
	}
}
