package receiver

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endedConn is a connection whose reads find the end, and whose writes fail.
type endedConn struct {
	net.Conn
	writeErrs []error
}

func (*endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	err := c.writeErrs[0]
	c.writeErrs = c.writeErrs[1:]
	return 0, err
}

func (*endedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against the loss of a connection that is read as its end, and against an end in order
// that is read as a loss.
func TestEndBesideWrite(t *testing.T) {
	tests := []struct {
		name      string
		writeErrs []error
		want      error
	}{
		{"an end without a write", nil, io.EOF},
		{"an end beside a write", []error{nil}, io.EOF},
		{"an end before a reset", []error{&net.OpError{Err: os.NewSyscallError("write", syscall.EPIPE)}}, io.EOF},
		{"an end beside a write that this side ended", []error{os.ErrDeadlineExceeded}, io.EOF},
		{"an end after this side closed", []error{net.ErrClosed}, io.EOF},
		{"a reset", []error{&net.OpError{Err: os.NewSyscallError("write", syscall.ECONNRESET)}}, syscall.ECONNRESET},
		{"a reset before other writes", []error{syscall.ECONNRESET, syscall.EPIPE}, syscall.ECONNRESET},
		{"a lost link", []error{syscall.ETIMEDOUT}, syscall.ETIMEDOUT},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewConn(&endedConn{writeErrs: tt.writeErrs})
			for range tt.writeErrs {
				_, _ = c.Write(nil)
			}
			_, err := c.Read(nil)
			is.New(t).True(errors.Is(err, tt.want))
		})
	}
}
