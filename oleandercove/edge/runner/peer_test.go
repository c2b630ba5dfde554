package runner

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a peer, or another program at its address, whose answer has a head without
// end, which this daemon would keep.
func TestEndlessPeer(t *testing.T) {
	const headLimit = 4 << 20 // with the buffers of the connection
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	var sent atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nX: ")
		for piece := []byte(strings.Repeat("x", 8<<10)); err == nil; sent.Add(int64(len(piece))) {
			_, err = c.Write(piece)
		}
	}()
	_, _, err = fetchConfiguration(t.Context(), l.Addr().String())
	is.True(err != nil)
	<-done
	is.True(sent.Load() < headLimit)
}
