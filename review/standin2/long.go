package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// longPath begins the path of requests that workers answer with longPieces pieces.
	longPath   = safePath + "long/"
	longPieces = 25
	longPause  = 18 * time.Millisecond
	// longWait is the deadline that clients state, and shortTimeout the time limit of the route after
	// the change, in milliseconds. The answer takes 450 ms.
	longWait     = 1500 * time.Millisecond
	shortTimeout = 800
	// calmTime is how long requests are sent before the change, and planned how long after it: the
	// acknowledgement plus config_apply_ms and a second.
	calmTime = 6 * time.Second
	planned  = 3 * time.Second
)

var longPiece = strings.Repeat("p", 8<<10)

// cuts counts the requests that ended without a complete answer.
type cuts struct {
	sent, cut int
}

// longAnswer sends safe requests with long answers, and a configuration that shortens the time limit
// of their route to more than the answers take.
func longAnswer(root, dir string, r *record, trouble bool) (bool, error) {
	t, err := startSite(root, dir, r, options{daemons: 3, workers: 3, zones: []string{"a", "b", "c"}, engines: 6})
	defer t.stop()
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	before := t.sendLongRequests("before", calmTime)
	if trouble {
		t.store.put("config", "main", configuration(11, shortTimeout))
		r.printf("config   version 11 acknowledged: time limit of the route %d ms", shortTimeout)
	}
	after := t.sendLongRequests("after", planned)
	r.printf("verdict  before: %d of %d cut; after: %d of %d cut", before.cut, before.sent, after.cut, after.sent)
	often := float64(after.cut)/float64(after.sent) > 3*float64(before.cut)/float64(before.sent)
	return after.cut > 0 && often, nil
}

// sendLongRequests sends requests over one kept connection to each daemon, one after the other, for
// some time.
func (t *site) sendLongRequests(name string, length time.Duration) cuts {
	var mu sync.Mutex
	var out cuts
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i, d := range t.daemons {
		wg.Go(func() {
			kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
			defer kept.CloseIdleConnections()
			for n := 0; time.Now().Add(longWait).Before(end); n++ {
				cut := t.sendLongRequest(kept, d, fmt.Sprintf("%s-%d-%d", name, i, n))
				mu.Lock()
				out.sent++
				if cut {
					out.cut++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out
}

// sendLongRequest sends one request and reports whether its connection ended without a complete
// answer although less than seven tenths of its time were used.
func (t *site) sendLongRequest(kept *http.Client, d *daemon, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), longWait)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.callers+longPath+id, nil)
	if err != nil {
		t.record.fail("%v", err)
		return false
	}
	q.Host = hostName
	q.Header.Set(headerAttempt, id)
	q.Header.Set(headerDeadline, fmt.Sprint(longWait.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+key)
	sent := time.Now()
	resp, err := kept.Do(q)
	if err != nil {
		t.record.printf("answer   %s: none, %v", id, err)
		return time.Since(sent) < shortTimeout*7/10*time.Millisecond
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	took := time.Since(sent)
	t.record.printf("answer   %s: %d, %d of %d bytes after %d ms, %v", id, resp.StatusCode, len(body), longPieces*len(longPiece), took.Milliseconds(), err)
	return err != nil && took < shortTimeout*7/10*time.Millisecond
}
