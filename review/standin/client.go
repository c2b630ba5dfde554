package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// call is a request of a client.
type call struct {
	id, method, path, key string
	deadline              time.Duration
	body                  []byte
	// header holds further header lines.
	header string
}

// answer is what the client saw.
type answer struct {
	status  int
	stamp   string
	body    int
	err     error
	started time.Time
	took    time.Duration
	closed  bool
	// connected is set once the connection was established, headed once the head of an answer was read.
	connected, headed bool
}

// kept is a connection that a client keeps open.
type kept struct {
	conn net.Conn
	r    *bufio.Reader
	// answers is the number of requests so far.
	answers int
}

// clientPatience is how long a client waits for a new connection.
const clientPatience = time.Second

func dial(address string) (*kept, error) {
	c, err := net.DialTimeout("tcp", address, clientPatience)
	if err != nil {
		return nil, err
	}
	return &kept{conn: c, r: bufio.NewReader(c)}, nil
}

const host = "ficu95.example"

// do sends a request and reads its answer until the deadline of the client.
func (k *kept) do(c call) answer {
	a := answer{started: time.Now(), connected: true}
	defer func() { a.took = time.Since(a.started) }()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n%s",
		c.method, c.path, host, headerID, c.id, headerDeadline, c.deadline.Milliseconds(), c.key, c.header)
	if c.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	_ = k.conn.SetDeadline(a.started.Add(c.deadline))
	if _, err := k.conn.Write(append([]byte(head+"\r\n"), c.body...)); err != nil {
		a.err, a.closed = err, true
		return a
	}
	resp, err := http.ReadResponse(k.r, &http.Request{Method: c.method})
	if err != nil {
		a.err, a.closed = err, !isTimeout(err)
		a.took = time.Since(a.started)
		return a
	}
	a.headed = true
	n, err := io.Copy(io.Discard, resp.Body)
	a.status, a.stamp, a.body, a.err = resp.StatusCode, resp.Header.Get(headerStamp), int(n), err
	a.closed = resp.Close || (err != nil && !isTimeout(err))
	a.took = time.Since(a.started)
	return a
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// once sends a request on a new connection.
func once(address string, c call) answer {
	k, err := dial(address)
	if err != nil {
		return answer{started: time.Now(), err: err}
	}
	defer func() { _ = k.conn.Close() }()
	return k.do(c)
}
