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
	// defaultIdle is how long an idle connection is kept if the server states no
	// timeout.
	defaultIdle = 4 * time.Second
	// idlePercent is the part of a stated timeout after which a connection is no
	// longer used, so that a request does not cross the server's close.
	idlePercent = 75
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	receiver *receiver.Receiver
	// until is when the server may close the idle connection.
	until time.Time
}

// abort closes the connection. Nothing can be done about a failed close.
func (c *conn) abort() { _ = c.Close() }

// keep sets how long the connection may stay idle from the server's header,
// such as "timeout=5, max=100".
func (c *conn) keep(header string, now time.Time) {
	idle := defaultIdle
	for _, part := range strings.Split(header, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				idle = time.Duration(n) * time.Second
			}
		}
	}
	c.until = now.Add(idle * idlePercent / 100)
}

// clean tells whether the peer has neither closed the connection nor sent bytes
// that nobody asked for.
func (c *conn) clean() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && clean
}

// setSilenceTimeout lets the kernel end a connection whose peer stopped to
// acknowledge; a connection without the option only ends later.
func setSilenceTimeout(nc net.Conn, d time.Duration) {
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
	max  int
	mu   sync.Mutex
	idle map[backend.Address][]*conn
}

func newPool(maxIdle int) *pool {
	return &pool{max: maxIdle, idle: map[backend.Address][]*conn{}}
}

// take returns the connection that was used last, if it is still usable.
func (p *pool) take(a backend.Address, now time.Time) *conn {
	for {
		c := p.pop(a)
		if c == nil {
			return nil
		}
		if now.Before(c.until) && c.clean() {
			return c
		}
		c.abort()
	}
}

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

func (p *pool) put(a backend.Address, c *conn) {
	p.mu.Lock()
	list := p.idle[a]
	if len(list) < p.max {
		p.idle[a] = append(list, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.abort()
}
