package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/imitator"
	"oleandercove.example/prover/launcher"
)

const (
	// faultFreeTime is how long the routing daemons serve without faults.
	faultFreeTime = time.Minute
	// callPause is the time between two calls of a client.
	callPause = 200 * time.Millisecond
	// callLimit is the time limit of a call.
	callLimit = 9 * time.Second
	// streamEvents is the number of events of a stream.
	streamEvents = 40
)

// routerSite is a set of routing daemons on the simulated users' platform.
type routerSite struct {
	*imitator.Site
	routers []*launcher.Router
}

// faultFreeMinute starts the daemons that route on the users' platform and checks that they
// serve every call for faultFreeTime.
func (d *demo) faultFreeMinute(ctx context.Context) (err error) {
	simulated, err := imitator.New(imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 2})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, simulated.Close()) }()
	simulated.Configure(imitator.Key)
	s := &routerSite{Site: simulated}
	for i := range 3 {
		endpoint, err := s.OpenEndpoint("127.0.0.1:0")
		if err != nil {
			return err
		}
		r, err := d.l.Router(launcher.RouterSpec{Host: unit.HostID(fmt.Sprintf("router-%d", i+1)), DataCentre: "x", Store: endpoint.Address})
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	if err := s.waitServing(ctx); err != nil {
		return err
	}
	fmt.Println("started 3 routing daemons, 8 engines and 2 servers on a stand-in of the users' platform")
	return s.serve(ctx)
}

// waitServing blocks until each daemon serves a stream, for up to 20 s each.
func (s *routerSite) waitServing(ctx context.Context) error {
	for i, r := range s.routers {
		err := launcher.Wait(20*time.Second, "stream through each routing daemon", func() bool {
			return s.stream(ctx, r, fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano())) == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// serve sends calls of each kind through each daemon for faultFreeTime. It returns an error
// if a call fails or the simulated platform saw a violation of its contract.
func (s *routerSite) serve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, faultFreeTime+callLimit)
	defer cancel()
	end := time.Now().Add(faultFreeTime)
	kinds := []func(context.Context, *launcher.Router, string) error{s.book, s.read, s.stream}
	failures := make(chan error, len(s.routers)*len(kinds))
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i, r := range s.routers {
		for k, call := range kinds {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					if err := call(ctx, r, fmt.Sprintf("call-%d-%d-%d", i, k, n)); err != nil {
						failures <- err
						return
					}
					mu.Lock()
					served++
					mu.Unlock()
					time.Sleep(callPause)
				}
			})
		}
	}
	wg.Wait()
	close(failures)
	for err := range failures {
		return err
	}
	if f := s.Violations(); len(f) > 0 {
		return fmt.Errorf("simulated platform saw contract violations: %v", f)
	}
	fmt.Printf("served all %d bookings, reads and streams of a calm minute\n", served)
	return nil
}

func (s *routerSite) book(ctx context.Context, r *launcher.Router, id string) error {
	if _, err := do(ctx, r, imitator.Call{ID: id, Method: http.MethodPost, Path: imitator.BookPath, Body: "drum"}); err != nil {
		return err
	}
	if n := len(s.Runs.ByAttempt(id)); n != 1 {
		return fmt.Errorf("booking %s ran %d times", id, n)
	}
	return nil
}

func (s *routerSite) read(ctx context.Context, r *launcher.Router, id string) error {
	_, err := do(ctx, r, imitator.Call{ID: id, Method: http.MethodGet, Path: imitator.StatusPath})
	return err
}

func (s *routerSite) stream(ctx context.Context, r *launcher.Router, id string) error {
	body, err := do(ctx, r, imitator.Call{ID: id, Method: http.MethodPost, Path: imitator.ModelPath, Tokens: streamEvents})
	if err == nil && !imitator.IsCompleteStream(body, id, streamEvents) {
		err = fmt.Errorf("stream %s is incomplete", id)
	}
	return err
}

// do sends a call and returns the body of the response. A status other than 200 is an
// error.
func do(ctx context.Context, r *launcher.Router, c imitator.Call) (string, error) {
	c.Key, c.Timeout = imitator.Key, callLimit
	req, err := c.Request(ctx, r.CallerAddress)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("call %s: status %d, %s", c.ID, resp.StatusCode, body)
	}
	return string(body), nil
}
