package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client with its answer.
type sent struct {
	attempt, daemon, path, kind string
	at, ended                   time.Time
	status                      int
	stamp                       string
	body                        int
	whole                       bool
	err                         error
}

// requests holds what all clients have sent.
type requests struct {
	mu  sync.Mutex
	all []sent
}

func (r *requests) add(x sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *requests) list() []sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]sent(nil), r.all...)
}

var attempts atomic.Int64

// call describes the requests of a client.
type call struct {
	kind, method, path, key, body string
	deadline                      time.Duration
}

// client sends requests to one daemon over a connection that it keeps.
type client struct {
	e    *env
	d    *daemon
	http *http.Client
}

func newClient(e *env, d *daemon) *client {
	return &client{e: e, d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// do sends one request and waits for its whole answer.
func (c *client) do(x call) sent {
	id := fmt.Sprintf("a%06x", attempts.Add(1))
	s := sent{attempt: id, daemon: c.d.name, path: x.path, kind: x.kind, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), x.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, x.method, "http://"+c.d.front+x.path, strings.NewReader(x.body))
	if err != nil {
		panic(err)
	}
	r.Host = hostName
	r.Header.Set(headerAttempt, id)
	r.Header.Set(headerDeadline, fmt.Sprint(x.deadline.Milliseconds()))
	if x.key != "" {
		r.Header.Set("Authorization", "Bearer "+x.key)
	}
	resp, err := c.http.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.status, s.stamp, s.body = resp.StatusCode, resp.Header.Get(headerStamp), len(data)
		s.whole = err == nil && (resp.ContentLength < 0 || int64(len(data)) == resp.ContentLength)
	}
	s.err, s.ended = err, time.Now()
	c.e.requests.add(s)
	return s
}

// load sends requests of the kinds in turn from a number of clients of each daemon until stop is
// closed, each client with the given pause.
func load(e *env, perDaemon int, pause time.Duration, kinds []call, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, d := range e.daemons {
		for i := range perDaemon {
			c := newClient(e, d)
			wg.Go(func() {
				for n := i; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(pause):
					}
					c.do(kinds[n%len(kinds)])
				}
			})
		}
	}
	return &wg
}
