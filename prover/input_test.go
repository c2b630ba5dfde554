package prover_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/prover/launcher"
)

// sendTrickling writes raw, then one byte each 100 ms until the daemon answers or closes the
// connection, for at most 30 s. It returns the status, or 0 without an answer.
func sendTrickling(t *testing.T, address, raw string) int {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(30 * time.Second)))
	_, err = io.WriteString(c, raw)
	is.NoErr(err)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
			case <-stop:
				return
			}
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against callers that hold connections or disturb other callers, which happens when
// they send slowly or send malformed input.
func TestBadInputHoldsNoConnection(t *testing.T) {
	r := newRig(t, 1)
	d := r.daemons[0]
	head := "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + launcher.Token(account) + "\r\n"
	t.Run("callers", func(t *testing.T) {
		for _, row := range []struct {
			name, raw string
			status    int
		}{
			{"trickled headers hold a connection", head + "X-Pad: ", 0},
			{"trickled body holds a connection", head + "Content-Length: 1000\r\n\r\n{", http.StatusRequestTimeout},
			{"trickled chunk holds a connection", head + "Transfer-Encoding: chunked\r\n\r\nffff\r\n{", http.StatusRequestTimeout},
			{"daemon waits for the body of an unknown caller", "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n", http.StatusUnauthorized},
			{"huge headers are buffered", head + "X-Pad: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
			{"binary input crashes the daemon", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", http.StatusBadRequest},
		} {
			t.Run(row.name, func(t *testing.T) {
				t.Parallel()
				is, start := is.New(t), time.Now()
				is.Equal(sendTrickling(t, d.Address, row.raw), row.status)
				// The daemon waits 10 s for a body; every other answer must come before that.
				is.True(row.status == http.StatusRequestTimeout || time.Since(start) < 8*time.Second)
			})
		}
	})
	is := is.New(t)
	a, err := r.complete(t.Context(), 0, "after bad input", 5, nil)
	is.NoErr(err)
	is.True(a.Done)
	stopGracefully(t, d)
	log, err := os.ReadFile(filepath.Join(r.Dir, d.Name+".log"))
	is.NoErr(err)
	is.True(strings.Contains(string(log), "shut down"))
	is.True(!strings.Contains(string(log), "did not end")) // a connection was still open at the shutdown
}
