package exchanger

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
)

// Guards against idle connections that stay open although no request may be sent on them,
// and with them the bytes that a faulty server sends unasked.
func TestIdleConnections(t *testing.T) {
	tests := []struct {
		name   string
		header string
		// after is what the server does after its response.
		after func(net.Conn)
		idle  time.Duration
		want  int
	}{
		{"a usable connection is closed", "", func(net.Conn) {}, 0, 1},
		{"a connection that the server closed stays open", "", func(c net.Conn) { _ = c.Close() }, 0, 0},
		{"unrequested bytes stay in its buffer", "", func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n")) }, 0, 0},
		{"it outlasts the server's timeout", "Keep-Alive: timeout=20\r\n", func(net.Conn) {}, 15 * time.Second, 0},
		{"the server states a timeout of days", "Keep-Alive: timeout=999999\r\n", func(net.Conn) {}, 45 * time.Second, 0},
		{"the server states an overflowing timeout", "Keep-Alive: timeout=9223372036\r\n", func(net.Conn) {}, time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			idle, done := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, readBufferSize))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+tt.header+"Content-Length: 0\r\n\r\n")
				<-idle
				tt.after(c)
			}()
			x, a := newExchanger(), backend.Address(l.Addr().String())
			e, err := x.Send(t.Context(), a, get("1"))
			is.NoErr(err)
			e.Close()
			is.Equal(len(x.pool.idle[a]), 1)
			close(idle)
			<-done
			// What the server has sent or closed arrives some time later.
			for end := time.Now().Add(5 * time.Second); len(x.pool.idle[a]) != tt.want && time.Now().Before(end); time.Sleep(time.Millisecond) {
				x.pool.closeUnusable(time.Now().Add(tt.idle))
			}
			x.pool.closeUnusable(time.Now().Add(tt.idle))
			is.Equal(len(x.pool.idle[a]), tt.want)
		})
	}
}
