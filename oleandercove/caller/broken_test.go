package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/verdict"
)

// newRawServer starts a backend server that answers each call with text before it reads the
// body, and then resets the connection, or ends its side and reads the body. It returns the
// address.
func newRawServer(t *testing.T, text string, reset bool) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
		conn := c.(*net.TCPConn)
		if reset {
			_ = conn.SetLinger(0)
			return
		}
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against an answer that is no proper one and reaches the caller, which happens when a
// server in trouble sends it or resets the connection during a long upload, and against a proper
// answer that is lost because it comes before the end of the upload.
func TestBrokenAnswers(t *testing.T) {
	const calls, uploadBytes = 300, 4 << 20
	upload := strings.Repeat("u", uploadBytes)
	tests := []struct {
		name, text string
		upload     string
		reset, ok  bool
	}{
		{"a part before a reset", "HTTP/1.1 200 OK\r\n\r\nbody", upload, true, false},
		{"an early answer that ends in order", "HTTP/1.1 200 OK\r\n\r\nbody", upload, false, true},
		{"an early answer with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", upload, false, true},
		{"an early answer after an interim one", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody", upload, false, true},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody", "", false, false},
		{"blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbody", "", false, false},
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "", false, false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nSome\x01Name: 1\r\nContent-Length: 4\r\n\r\nbody", "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCaller(newRawServer(t, tt.text, tt.reset))
			for range calls {
				r := newCall(http.MethodPost, 30*time.Second)
				r.Call.Body = []byte(tt.upload)
				v, failed := verdict.FromError(c.Serve(t.Context(), r))
				is.Equal(failed, !tt.ok)
				if failed {
					is.True(v.Verdict != verdict.NotRun)
					continue
				}
				is.Equal(string(r.Call.Result.Body), "body")
			}
		})
	}
}
