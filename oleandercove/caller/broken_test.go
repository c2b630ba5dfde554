package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/verdict"
)

// newRawServer starts a backend server that reads the head of each request, writes text and lets
// end finish the connection. It returns the address.
func newRawServer(t *testing.T, text string, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
					end(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of an answer that counts as the whole one, which happens when a server
// resets the connection during a long upload.
func TestResetDuringUpload(t *testing.T) {
	const calls, size = 100, 4 << 20
	is := is.New(t)
	c := newCaller(newRawServer(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) { _ = c.SetLinger(0) }))
	for range calls {
		r := newCall(http.MethodPost, 30*time.Second)
		r.Call.Body = []byte(strings.Repeat("u", size))
		v, failed := verdict.FromError(c.Serve(t.Context(), r))
		is.True(failed) // a part is no answer
		is.True(v.Verdict != verdict.NotRun)
	}
}
