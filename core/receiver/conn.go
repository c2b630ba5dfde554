package receiver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection on which a reset can't be read as the end. It allows one Write beside
// one Read.
//
// The kernel reports a reset once only. If a server resets the connection while a long request
// is being written, the write may take that report, and the read ends with io.EOF, as if the
// server had closed the connection in order. A response without a length would seem complete.
type Conn struct {
	net.Conn
	// writing is held during a write. writeErr is the error of the first one that failed; the
	// kernel gives EPIPE to later ones.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write writes p. It fails once the server has ended or reset the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads into p. It returns io.EOF only if the server ended the connection in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = readError(c.endWrite())
	}
	return n, err
}

// endWrite ends a write under way, which nobody waits for after the end of the response, and
// returns the error of the first write that failed.
func (c *Conn) endWrite() error {
	// The call fails only on a closed connection, on which a write ends anyway.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// readError returns the error of a read that ended with io.EOF beside a write with an error.
// The write took no report meant for the read if this side ended it, or if its error is EPIPE:
// that is how the kernel reports a reset after an end in order.
func readError(writeErr error) error {
	for _, harmless := range []error{nil, syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(writeErr, harmless) {
			return io.EOF
		}
	}
	return writeErr
}
