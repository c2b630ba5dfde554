package receiver

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that the standard library sends again by itself after a malformed
// response on a kept connection, and against another use of that connection.
func TestMalformedOnKeptConnection(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	addresses := make(chan string, 3)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		addresses <- r.RemoteAddr
		if requests.Add(1) != 2 {
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		_, _ = io.WriteString(c, "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c) // until the client closes the connection
		_ = c.Close()
	}))
	defer s.Close()
	c := http.Client{Transport: NewTransport(&http.Transport{})}
	for _, malformed := range []bool{false, true, false} {
		resp, err := c.Get(s.URL)
		is.Equal(errors.Is(err, ErrMalformed), malformed)
		if err == nil {
			is.NoErr(resp.Body.Close())
		}
	}
	is.Equal(requests.Load(), int64(3))
	first, second, third := <-addresses, <-addresses, <-addresses
	is.Equal(first, second)
	is.True(second != third)
}

// Guards against a response that arrived before its request, and so belongs to none or to another.
func TestResponseBeforeRequest(t *testing.T) {
	is := is.New(t)
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	c := &checkedConn{}
	first := c.expectHead()
	c.readHeads([]byte(whole + whole))
	second := c.expectHead()
	is.NoErr(c.checkResponse(&http.Response{}, first))
	is.True(errors.Is(c.checkResponse(&http.Response{}, second), ErrMalformed))
	c.readHeads([]byte(whole))
	is.NoErr(c.checkResponse(&http.Response{}, second))
}

// Guards against a response that counts as one of another request. A connection may carry the
// next request before the client has the response to the last one, if that has no body.
func TestConnectionsInTurn(t *testing.T) {
	const clients, requests = 8, 500
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	c := http.Client{Transport: NewTransport(&http.Transport{MaxIdleConnsPerHost: 2})}
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range clients {
		wg.Go(func() {
			for range requests {
				resp, err := c.Get(s.URL)
				if err != nil {
					failed.Add(1)
					continue
				}
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	is.New(t).Equal(failed.Load(), int64(0))
}
