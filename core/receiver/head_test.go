package receiver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// rawServer starts a server that answers each request with text and closes the connection. It
// returns the URL.
func rawServer(t *testing.T, text string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// readRaw reads a response from text with a Receiver, and returns its body.
func readRaw(text string) (string, error) {
	resp, err := New(strings.NewReader(text), 64).Next(http.MethodGet)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// fetchRaw does the same with a client of the standard library.
func fetchRaw(t *testing.T, text string) (string, error) {
	c := http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true})}
	resp, err := c.Get(rawServer(t, text))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against responses without a body that are rejected for what their heads may hold.
func TestResponsesWithoutBody(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		is := is.New(t)
		body, err := readRaw(text)
		is.NoErr(err)
		is.Equal(body, "")
		body, err = fetchRaw(t, text)
		is.NoErr(err)
		is.Equal(body, "")
	}
}

// Guards against responses that reach a caller although they are not proper ones, and against
// proper ones that don't. RFC 9112 says what a proper response is.
func TestProperResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, text string
		proper     bool
	}{
		{"length", ok + "Content-Length: 4\r\n\r\nbody", true},
		{"equal lengths", ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", true},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nT: 1\r\n\r\n", true},
		{"end of the connection", ok + "\r\nbody", true},
		{"version 1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		{"later minor version", "HTTP/1.2 200 OK\r\n\r\nbody", true},
		{"empty reason", "HTTP/1.1 200 \r\n\r\nbody", true},
		{"no reason", "HTTP/1.1 200\r\n\r\nbody", true},
		{"other bytes in reason and value", "HTTP/1.1 200 d'accord \xe9\t!\r\nX: \xe9\t\"\r\n\r\nbody", true},
		{"lines without carriage returns", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", true},
		{"continued line", ok + "X: 1,\r\n 2:3 4\r\n\r\nbody", true},
		{"all bytes of names", ok + "!#$%&'*+-.^_`|~09azAZ:\r\n\r\nbody", true},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "\r\nbody", true},
		{"failure", "HTTP/1.1 599 Own\r\n\r\nbody", true},

		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody", false},
		{"status 000 before a response", "HTTP/1.1 000 None\r\n\r\n" + ok + "\r\nbody", false},
		{"status 099", "HTTP/1.1 099 None\r\n\r\nbody", false},
		{"status 600", "HTTP/1.1 600 None\r\n\r\nbody", false},
		{"status 999", "HTTP/1.1 999 None\r\n\r\nbody", false},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n\r\nbody", false},
		{"negative status", "HTTP/1.1 -00 OK\r\n\r\nbody", false},
		{"status with a letter", "HTTP/1.1 2x0 OK\r\n\r\nbody", false},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\nbody", false},
		{"status of two digits", "HTTP/1.1 20 OK\r\n\r\nbody", false},
		{"no status", "HTTP/1.1 OK\r\n\r\nbody", false},
		{"another protocol that nobody asked for", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nbody", false},
		{"another protocol before a response", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + "\r\nbody", false},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\n\r\nbody", false},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n\r\nbody", false},
		{"carriage return in the reason", "HTTP/1.1 200 O\rK\r\n\r\nbody", false},
		{"version 0.9", "HTTP/0.9 200 OK\r\n\r\nbody", false},
		{"version 2.0", "HTTP/2.0 200 OK\r\n\r\nbody", false},
		{"version in lower case", "http/1.1 200 OK\r\n\r\nbody", false},
		{"version with two digits", "HTTP/1.10 200 OK\r\n\r\nbody", false},
		{"bytes before the status line", "\r\nHTTP/1.1 200 OK\r\n\r\nbody", false},

		{"blank in a name", ok + "Some Name: 1\r\n\r\nbody", false},
		{"blank after a name", ok + "Content-Length : 2\r\n\r\nbody", false},
		{"blank after the name of chunks", ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n" + ok + "\r\nbody", false},
		{"tab after a name", ok + "Content-Length\t: 2\r\n\r\nbody", false},
		{"control byte in a name", ok + "Na\x01me: 1\r\n\r\nbody", false},
		{"zero byte in a name", ok + "Name\x00: 1\r\n\r\nbody", false},
		{"carriage return in a name", ok + "Na\rme: 1\r\n\r\nbody", false},
		{"delimiter in a name", ok + "Na(me: 1\r\n\r\nbody", false},
		{"byte beyond ASCII in a name", ok + "N\xe9: 1\r\n\r\nbody", false},
		{"empty name", ok + ": 1\r\n\r\nbody", false},
		{"no name", ok + "line\r\n\r\nbody", false},
		{"blank before the first name", ok + " X: 1\r\n\r\nbody", false},
		{"control byte in a value", ok + "X: a\x01b\r\n\r\nbody", false},
		{"carriage return in a value", ok + "X: a\rb\r\n\r\nbody", false},
		{"head of another response", ok + "X: 1" + ok + "\r\nbody", false},
		{"blank in a name of a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSome Name: 1\r\n\r\n", false},

		{"different lengths", ok + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody", false},
		{"list of different lengths", ok + "Content-Length: 4, 2\r\n\r\nbody", false},
		{"length with a sign", ok + "Content-Length: +4\r\n\r\nbody", false},
		{"empty length", ok + "Content-Length:\r\n\r\nbody", false},
		{"length beyond all numbers", ok + "Content-Length: 99999999999999999999\r\n\r\nbody", false},
		{"length and chunks", ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"length on a line of its own and chunks", ok + "Content-Length:\r\n 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"unknown encoding", ok + "Transfer-Encoding: x\r\n\r\nbody", false},
		{"chunks within another encoding", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"chunks twice", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"length of an interim response", "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n" + ok + "\r\nbody", false},
		{"chunks of a response without a body", "HTTP/1.1 204 None\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"length of a response without a body", "HTTP/1.1 204 None\r\nContent-Length: 4\r\n\r\nbody", false},

		{"body shorter than its length", ok + "Content-Length: 8\r\n\r\nbody", false},
		{"no last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
		{"no end of the trailer", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", false},
		{"chunk longer than its size", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n", false},
		{"size that is no number", ok + "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n", false},
		{"size line without a carriage return", ok + "Transfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			read, readErr := readRaw(tt.text)
			fetched, fetchErr := fetchRaw(t, tt.text)
			t.Logf("read %q, %v; fetched %q, %v", read, readErr, fetched, fetchErr)
			is.Equal(readErr == nil, tt.proper)
			is.Equal(fetchErr == nil, tt.proper)
			is.True(!tt.proper || (read == "body" && fetched == "body"))
		})
	}
}
