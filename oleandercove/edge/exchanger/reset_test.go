package exchanger

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
)

// earlyAnswer has neither a length nor chunks, so that it ends with its connection.
const earlyAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nanswer"

// earlyServer starts a server that answers each request before it has read the body, and then
// lets end finish the connection.
func earlyServer(t *testing.T, end func(*net.TCPConn)) backend.Address {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer c.Close()
		_, _ = io.WriteString(c, earlyAnswer)
		end(c.(*net.TCPConn))
	}))
	t.Cleanup(s.Close)
	return backend.Address(s.Listener.Addr().String())
}

// reset makes the kernel reset the connection when it is closed.
func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// endInOrder ends the sending side and reads the rest of the upload, or resets the connection
// after that if the rest is not wanted.
func endInOrder(readRest bool) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_ = c.CloseWrite()
		if readRest {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		reset(c)
	}
}

// Guards against a part of an answer that counts as the whole one. It happens when a server
// resets the connection during a long upload: the system reports a reset once only, and the
// write may take the report, so that the read ends as if the server had closed in order.
func TestResetDuringUpload(t *testing.T) {
	const uploads, size = 200, 4 << 20
	tests := []struct {
		name  string
		end   func(*net.TCPConn)
		whole bool
	}{
		{"a reset counts as the end", reset, false},
		{"an answer that ends in order is lost while the upload is read", endInOrder(true), true},
		{"an answer that ends in order is lost with the rest of the upload", endInOrder(false), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := earlyServer(t, tt.end)
			r := get("1")
			r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("u", size))
			wrong := 0
			for range uploads {
				e, err := newExchanger().Send(t.Context(), a, r)
				if err == nil {
					var data []byte
					data, err = io.ReadAll(e.Response.Body)
					e.Close()
					is.Equal(string(data), strings.TrimPrefix(earlyAnswer, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"))
				}
				if (err == nil) != tt.whole {
					wrong++
				}
				if !tt.whole && err != nil {
					is.True(errors.Is(err, syscall.ECONNRESET)) // shows the loss of the connection
				}
			}
			is.Equal(wrong, 0) // answers with another end than their server made
		})
	}
}
