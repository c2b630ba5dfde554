package exchanger

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/receiver"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server states no
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutPercent is the share of a timeout after which a connection is no
	// longer used, so that no request is sent while the server closes the connection.
	idleTimeoutPercent = 75
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	receiver *receiver.Receiver
	// idleDeadline is when the idle connection is no longer used, before the server
	// closes it.
	idleDeadline time.Time
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
				idle = time.Duration(n) * time.Second
			}
		}
	}
	c.idleDeadline = now.Add(idle * idleTimeoutPercent / 100)
}

// isClean reports whether the server has neither closed the connection nor sent
// unrequested bytes.
func (c *conn) isClean() bool {
	sc, ok := c.Conn.(syscall.Conn)
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

// takeUsable returns the most recently used usable connection, or nil. It closes those
// that are no longer usable.
func (p *pool) takeUsable(a backend.Address, now time.Time) *conn {
	for {
		c := p.pop(a)
		if c == nil {
			return nil
		}
		if now.Before(c.idleDeadline) && c.isClean() {
			return c
		}
		c.abort()
	}
}

// pop removes and returns the most recently used connection, or nil.
func (p *pool) pop(a backend.Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[a]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[a] = list[:len(list)-1]
	return c
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
