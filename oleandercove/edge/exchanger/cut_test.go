package exchanger

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
)

// closingServer starts a server that answers the first request with some text and closes the
// connection.
func closingServer(t *testing.T, text string) backend.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}()
	return backend.Address(l.Addr().String())
}

// Guards against a response without a body, or with a short one, that counts as complete. It
// happens when a server stops in the middle of the head and closes the connection.
func TestCutHead(t *testing.T) {
	tests := []struct{ name, head string }{
		{"with a length", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: x\r\nContent-Length: 12\r\n\r\n"},
		{"with chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"ends with its connection", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: x\r\nConnection: close\r\n\r\n"},
		{"stream of events", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n"},
		{"interim response before it", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\n"},
		{"lines without carriage returns", "HTTP/1.1 200 OK\nId: 1\nConnection: close\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for n := range len(tt.head) {
				e, err := newExchanger().Send(t.Context(), closingServer(t, tt.head[:n]), get("1"))
				if err == nil {
					e.Close()
					t.Errorf("head that ends after %q is accepted", tt.head[max(0, n-12):n])
				}
			}
			is.True(strings.HasSuffix(tt.head, "\n\r\n") || strings.HasSuffix(tt.head, "\n\n"))
		})
	}
}
